"""Independent checker of the responses to non-idempotent requests."""

from collections import defaultdict

from medlarbeam.exceptions import ErrorKind, RunState

__all__ = ["ClaimChecker", "ViolationError"]


class ViolationError(AssertionError):
    """A rule of at-most-once execution was broken."""


class RequestRecord:
    """One request, its runs and its response."""

    __slots__ = ("body", "decisions", "host", "key", "ran", "receipt", "state")

    def __init__(self, key, body, host):
        self.key, self.body, self.host = key, body, host
        self.ran = 0
        self.decisions = 0  # number of decisions of the claims component
        self.state = None  # run state in the response to the caller
        self.receipt = None


class ClaimChecker:
    """Checks requests, runs and responses as they are reported to it."""

    __slots__ = ("crash_affected", "kinds", "records", "replays", "runs", "unrecorded")

    def __init__(self):
        self.records = {}
        self.runs = defaultdict(list)
        self.crash_affected = set()  # keys of requests at a crashed node
        self.unrecorded = set()  # keys whose recorded outcome is "may have run"
        self.kinds = defaultdict(int)
        self.replays = 0

    def require(self, condition, text):
        if not condition:
            raise ViolationError(text)

    def note_request(self, request, host):
        self.records[request.request_id] = RequestRecord(request.key, request.body, host)

    def note_crash(self, host):
        self.crash_affected |= {a.key for a in self.records.values() if a.host == host}

    def note_run(self, request_id):
        record = self.records[request_id]
        record.ran += 1
        self.runs[record.key].append(request_id)
        runs = self.runs[record.key]
        self.require(len(runs) == 1, f"key {record.key} ran {len(runs)} times: {runs}")
        self.require(record.state is not RunState.NOT_RUN, f"{request_id} ran after 'not run'")

    def note_decision(self, request_id, what):
        record = self.records[request_id]
        record.decisions += 1
        self.require(record.decisions == 1, f"{request_id} got a second response: {what}")
        self.kinds[what] += 1

    def note_answered(self, request_id, state, receipt=None):
        record = self.records[request_id]
        record.state, record.receipt = state, receipt
        self.require(state is not RunState.NOT_RUN or not record.ran, f"{request_id} had run")
        if state is RunState.MAY_HAVE_RUN:
            self.unrecorded.add(record.key)

    def note_refused(self, request_id, failure):
        self.note_decision(request_id, failure.kind.value)
        record = self.records[request_id]
        record.state = failure.run_state
        other = [a for a in self.records.values() if a.key == record.key and a.body != record.body]
        reused = failure.kind is ErrorKind.KEY_REUSED
        self.require(not reused or other, f"{request_id}: no other body was sent with this key")

    def note_replayed(self, request_id, outcome):
        self.note_decision(request_id, "replayed")
        record = self.records[request_id]
        self.replays += 1
        repeats = [a for a in self.records.values() if (a.key, a.body) == (record.key, record.body)]
        if outcome.failure is None and not outcome.truncated:
            receipts = [a.receipt for a in repeats if a.ran]
            self.require(outcome.body in receipts, f"{request_id} got {outcome.body!r} replayed")
        state = RunState.MAY_HAVE_RUN if outcome.failure else RunState.RAN
        self.require(
            state is RunState.MAY_HAVE_RUN or any(a.ran for a in repeats), "nothing had run"
        )
        record.state = state

    def check_settled(self, crashed):
        """Check that each request at a node that did not crash got one response."""
        for request_id, record in self.records.items():
            if request_id not in crashed:
                self.require(record.decisions == 1, f"{request_id} got no response")

    def check_probe(self, probe_id):
        """Check the response to a final request of the key, after all faults have ended."""
        probe = self.records[probe_id]
        earlier = [a for i, a in self.records.items() if a.key == probe.key and i != probe_id]
        runs = [a for a in earlier if a.ran]
        if probe.key in self.crash_affected:
            return
        granted = probe.state is None
        if not runs and probe.key not in self.unrecorded:
            self.require(granted, f"{probe.key} never ran, but {probe_id} was refused")
        elif runs and runs[0].receipt and runs[0].body == probe.body:
            self.require(
                probe.state is RunState.RAN, f"{probe_id} did not get the recorded outcome"
            )
        else:
            self.require(not granted, f"{probe_id} was granted after {probe.key} may have run")
