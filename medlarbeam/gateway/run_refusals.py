"""What a refused run says about the backend server that refused it."""

__all__ = ["RunRefusals"]

NOT_READY_DELAY_S = 0.03  # before a retry if an adapter is not loaded at the expected time
LOAD_SETTLE_S = 0.6  # a refusal within this time after a load is attributed to the load


class RunRefusals:
    """Decides whether a relay may be sent again to a backend server that did not run it.

    Parameters
    ----------
    node : Gateway
    """

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node

    def record(self, relay, message, now, out):
        """Record a `RunRefused`, and exclude the backend server if it must not be tried again."""
        server = relay.server.name
        key = relay.request.key
        relay.reason = f"{server}: {message.reason}"
        relay.refused_by.add(server)
        if message.status == 503:
            self.node.refusals.record_refusal(relay.server, now)
        holding = self.node.holdings.find(server, key) if key is not None else None
        if message.status == 0:
            self.node.health.record_outcome(server, "unreachable", now, out)
            relay.excluded.add(server)
        elif self._is_paused(relay, message, now, out):
            # The request may wait for the end of one pause of a server. A second one shows that
            # the server refuses it each time.
            if server in relay.paused_by:
                relay.excluded.add(server)
            relay.paused_by.add(server)
        elif holding is not None and now - holding.ready_at < LOAD_SETTLE_S:
            self.node.holdings.delay(server, key, now + NOT_READY_DELAY_S)
            self.node.orders.handle_early_refusal(server, key, now, out)
        elif message.status == 421 and holding is not None:
            self.node.holdings.forget(server, key)
            self.node.orders.handle_missing_adapter(server, key, now, out)
        else:
            relay.excluded.add(server)

    def _is_paused(self, relay, message, now, out):
        return message.pause is not None and self.node.pauses.record_request(
            relay.server, relay.request.request_id, message.pause, now, out
        )
