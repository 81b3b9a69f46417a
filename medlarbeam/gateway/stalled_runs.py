"""Runs that send no data for too long."""

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import CancelFleetRun
from medlarbeam.classes.gateway_messages import RunInterrupted, RunStalled
from medlarbeam.gateway.run_plan import has_attempt_left
from medlarbeam.node.component import Component

__all__ = ["StalledRuns"]


class StalledRuns(Component):
    """Moves stalled runs to other backend servers, or to other nodes if the path is lost."""

    __slots__ = ()

    def handlers(self):
        """Return the handler method of each message class."""
        return {RunStalled: self.handle_run_stalled}

    def handle_run_stalled(self, message, now, out):
        """Move a stalled run to another backend server if that is likely to be faster.

        A server that has responded since may only be busy: its run moves only to a server that can
        start it at once. The run of an unresponsive server also moves where a load is needed first.
        """
        relays = self.node.relays
        relay = relays.relays_by_run.get(message.run_id)
        if relay is None:
            return
        self.node.inquiries.record_silent_run(
            relay, now - message.idle_s, message.last_event_id > 0, now, out
        )
        may_move = (
            has_attempt_left(relay)
            and not self.node.origins.is_unknown(relay)
            and relays.may_retry(relay, now, out, message)
        )
        better = relays.selector.find_better_server(relay, now) if may_move else ""
        out.emit(
            LogEvent(
                "run_stalled",
                f"run={message.run_id} server={relay.server.name} quiet_s={message.idle_s:.3f} "
                f"may_move={may_move} better={better}",
                relay.request.request_id,
            )
        )
        is_path_lost = self.node.paths.is_lost(relay.service)
        if not better and not (may_move and is_path_lost):
            return
        self.node.inquiries.record_cancelled_run(relay, now)
        out.emit(CancelFleetRun(message.run_id))
        reason = f"no data for {message.idle_s:.3f} s"
        interruption = RunInterrupted(
            message.run_id, reason, message.last_event_id, relay.is_response_started, True
        )
        relays.handle_run_interrupted(interruption, now, out)

    def tick(self, now, out):
        """Do nothing; the shell measures the time without data."""
