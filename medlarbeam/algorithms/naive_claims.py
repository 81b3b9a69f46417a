"""Naive claims, kept in the memory of each node."""

from math import inf

from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node.component import Claims

__all__ = ["NaiveClaims"]


class NaiveClaims(Claims):
    """Claims in a set of this node; for comparison, because they fail across nodes and restarts."""

    __slots__ = ("keys", "taken")

    name = "claims"

    def __init__(self, node):
        super().__init__(node)
        self.taken = {}  # outcome or None by (caller, key)
        self.keys = {}  # (caller, key) by request id

    def begin(self, request, now, out):
        """Grant the first request of a key on this node."""
        key = (request.caller, request.key)
        if key not in self.taken:
            self.taken[key] = None
            self.keys[request.request_id] = key
            self.node.requests.claim_granted(request.request_id, now, out)
        elif self.taken[key] is not None:
            self.node.requests.claim_replayed(request.request_id, self.taken[key], now, out)
        else:
            failure = Failure(ErrorKind.DUPLICATE_UNRESOLVED, "the key is in use on this node")
            self.node.requests.claim_refused(request.request_id, failure, now, out)

    def finish(self, request_id, outcome, now, out):
        """Keep the outcome, or free the key of a request that surely did not run."""
        key = self.keys.pop(request_id, None)
        if key is None:
            return
        if outcome.failure is not None and outcome.failure.run_state is RunState.NOT_RUN:
            del self.taken[key]
        else:
            self.taken[key] = outcome

    def is_idle(self):
        """Return True: nothing is written anywhere."""
        return True

    def tick(self, now, out):
        """Do nothing."""

    def next_deadline(self):
        """Return infinity."""
        return inf
