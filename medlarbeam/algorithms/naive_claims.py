"""Naive claims on idempotency keys, kept in the memory of each node."""

from math import inf

from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node.component import Claims

__all__ = ["NaiveClaims"]


class NaiveClaims(Claims):
    """Baseline that keeps claims in memory, so duplicates at other nodes or after restarts run."""

    __slots__ = ("key_by_request", "outcomes")

    name = "claims"

    def __init__(self, node):
        super().__init__(node)
        self.outcomes = {}  # by (caller, key); None while the request is running
        self.key_by_request = {}  # (caller, key) by request id

    def begin(self, request, now, out):
        """Grant the claim to the first request with a key, and replay or refuse later ones."""
        key = (request.caller, request.key)
        if key not in self.outcomes:
            self.outcomes[key] = None
            self.key_by_request[request.request_id] = key
            self.node.requests.claim_granted(request.request_id, now, out)
        elif self.outcomes[key] is not None:
            self.node.requests.claim_replayed(request.request_id, self.outcomes[key], now, out)
        else:
            failure = Failure(
                ErrorKind.DUPLICATE_UNRESOLVED,
                "a request with the same idempotency key is running on this node",
            )
            self.node.requests.claim_refused(request.request_id, failure, now, out)

    def finish(self, request_id, outcome, now, out):
        """Store the outcome, or release the key if the request certainly did not run."""
        key = self.key_by_request.pop(request_id, None)
        if key is None:
            return
        if outcome.failure is not None and outcome.failure.run_state is RunState.NOT_RUN:
            del self.outcomes[key]
        else:
            self.outcomes[key] = outcome

    def is_idle(self):
        """Return True: there are no writes to wait for."""
        return True

    def tick(self, now, out):
        """Do nothing: there are no timers."""

    def next_deadline(self):
        """Return infinity: there are no timers."""
        return inf
