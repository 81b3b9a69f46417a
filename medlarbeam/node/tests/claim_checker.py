"""Independent checker of what callers were told about non-idempotent requests."""

from collections import defaultdict

from medlarbeam.exceptions import ErrorKind, RunState

__all__ = ["ClaimChecker", "ViolationError"]


class ViolationError(AssertionError):
    """A rule of at-most-once execution was broken."""


class Asked:
    """One request and what became of it."""

    __slots__ = ("body", "decisions", "host", "key", "ran", "receipt", "state")

    def __init__(self, key, body, host):
        self.key, self.body, self.host = key, body, host
        self.ran = 0
        self.decisions = 0  # answers of the claims component
        self.state = None  # run state that the caller was told
        self.receipt = None


class ClaimChecker:
    """Is told what was asked, what ran and what callers were told, as it happens."""

    __slots__ = ("asked", "kinds", "replays", "runs", "tainted", "unrecorded")

    def __init__(self):
        self.asked = {}
        self.runs = defaultdict(list)
        self.tainted = set()  # keys that a crashed node had something to do with
        self.unrecorded = set()  # keys whose recorded outcome is "may have run"
        self.kinds = defaultdict(int)
        self.replays = 0

    def demand(self, condition, text):
        if not condition:
            raise ViolationError(text)

    def note_asked(self, request, host):
        self.asked[request.request_id] = Asked(request.key, request.body, host)

    def note_crash(self, host):
        self.tainted |= {a.key for a in self.asked.values() if a.host == host}

    def note_run(self, request_id):
        asked = self.asked[request_id]
        asked.ran += 1
        self.runs[asked.key].append(request_id)
        runs = self.runs[asked.key]
        self.demand(len(runs) == 1, f"key {asked.key} ran {len(runs)} times: {runs}")
        self.demand(asked.state is not RunState.NOT_RUN, f"{request_id} ran after 'not run'")

    def note_decision(self, request_id, what):
        asked = self.asked[request_id]
        asked.decisions += 1
        self.demand(asked.decisions == 1, f"{request_id} got a second answer: {what}")
        self.kinds[what] += 1

    def note_told(self, request_id, state, receipt=None):
        asked = self.asked[request_id]
        asked.state, asked.receipt = state, receipt
        self.demand(state is not RunState.NOT_RUN or not asked.ran, f"{request_id} had run")
        if state is RunState.MAY_HAVE_RUN:
            self.unrecorded.add(asked.key)

    def note_refused(self, request_id, failure):
        self.note_decision(request_id, failure.kind.value)
        asked = self.asked[request_id]
        asked.state = failure.run_state
        other = [a for a in self.asked.values() if a.key == asked.key and a.body != asked.body]
        reused = failure.kind is ErrorKind.KEY_REUSED
        self.demand(not reused or other, f"{request_id}: no other body was sent with this key")

    def note_replayed(self, request_id, outcome):
        self.note_decision(request_id, "replayed")
        asked = self.asked[request_id]
        self.replays += 1
        twins = [a for a in self.asked.values() if (a.key, a.body) == (asked.key, asked.body)]
        if outcome.failure is None and not outcome.truncated:
            receipts = [a.receipt for a in twins if a.ran]
            self.demand(outcome.body in receipts, f"{request_id} got {outcome.body!r} replayed")
        state = RunState.MAY_HAVE_RUN if outcome.failure else RunState.RAN
        self.demand(state is RunState.MAY_HAVE_RUN or any(a.ran for a in twins), "nothing had run")
        asked.state = state

    def check_settled(self, crashed):
        """Check that each request on a node that lived on was answered once."""
        for request_id, asked in self.asked.items():
            if request_id not in crashed:
                self.demand(asked.decisions == 1, f"{request_id} got no answer")

    def check_probe(self, probe_id):
        """Check the answer to a last request of the key, after all faults ended."""
        probe = self.asked[probe_id]
        earlier = [a for i, a in self.asked.items() if a.key == probe.key and i != probe_id]
        runs = [a for a in earlier if a.ran]
        if probe.key in self.tainted:
            return
        granted = probe.state is None
        if not runs and probe.key not in self.unrecorded:
            self.demand(granted, f"{probe.key} never ran, but {probe_id} was refused")
        elif runs and runs[0].receipt and runs[0].body == probe.body:
            self.demand(probe.state is RunState.RAN, f"{probe_id} did not get the recorded outcome")
        else:
            self.demand(not granted, f"{probe_id} was granted after {probe.key} may have run")
