"""`explain` finds the cause of a failed request from its id, see docs/OPERATIONS.md."""

from io import StringIO

import pytest
from orjson import dumps, loads

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import EngineState
from medlarbeam.classes.gateway_effects import ServerOrder
from medlarbeam.classes.gateway_messages import (
    PauseRequest,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStarted,
)
from medlarbeam.classes.server_messages import EngineStateResult, ServerLeaving, ServerOrderResult
from medlarbeam.cli.explain import (
    NO_OUTCOME,
    OUTCOMES,
    PAUSED_OUTCOME,
    QUOTA_OUTCOME,
    explain_request,
    read_lines,
)
from medlarbeam.cli.main import explain
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    make_harness,
    make_server,
    own_rights,
)
from medlarbeam.gateway.tests.quota_fleet import QuotaFleet


class LogRecorder:
    """Collects the log lines of a gateway in a test harness."""

    __slots__ = ("harness", "lines")

    def __init__(self, **options):
        self.harness = make_harness(rights=own_rights(), **options)
        self.lines = []

    def write(self, effects):
        for event in effects:
            if isinstance(event, LogEvent):
                line = {"time_s": self.harness.now, "node": "n1", "event": event.name}
                line["message"] = event.detail
                if event.request_id:
                    line["request_id"] = event.request_id
                self.lines.append(line)
        return effects

    def deliver(self, message):
        return self.write(self.harness.deliver(message))

    def send_request(self, route, key=None, request_id="r1"):
        return self.write(self.harness.send_request(route, key, request_id=request_id))

    def pass_time(self, seconds):
        return self.write(self.harness.pass_time(seconds))

    def find_run_id(self):
        return next(e for e in self.harness.effects if hasattr(e, "first_event_timeout_s")).run_id


def log_refused_stream():
    """Let every load order for the adapter time out on the only engine."""
    log = LogRecorder(servers=[make_server("w1", "llm")])
    log.pass_time(0.2)
    log.deliver(EngineStateResult("w1", EngineState(4, {"m0"}, {HOT: 1}, {}, False), ""))
    effects = log.send_request("chat", COLD)
    for _ in range(40):
        orders = [e for e in effects if isinstance(e, ServerOrder)]
        effects = [e for o in orders for e in log.deliver(ServerOrderResult(o, 0, "TimeoutError"))]
        effects += log.pass_time(0.1)
    return log


def log_payment_without_response():
    log = LogRecorder()
    log.send_request("pay")
    log.deliver(RunInterrupted(log.find_run_id(), "ClientOSError: reset", 0, False))
    return log


def log_broken_stream():
    """Break a stream on a backend server that is suspect because other requests failed."""
    log = LogRecorder(servers=[make_server("w1", "llm")])
    log.send_request("draft", HOT)
    run = log.find_run_id()
    for number in range(9):
        log.send_request("draft", HOT, request_id=f"other{number}")
        log.deliver(RunErrorResponse(log.find_run_id(), 500, None))
    log.deliver(RunStarted(run, None))
    log.deliver(RunInterrupted(run, "BadResponseError: the stream ended inside an event", 3, True))
    return log


def log_refusal_after_servers_left():
    """Let the servers say in answers to other requests, a while before, that they leave."""
    log = LogRecorder()
    for number, name in enumerate(("l1", "l2")):
        log.deliver(ServerLeaving(name, 1, f"other{number}", "refusal", "1"))
    log.pass_time(20.0)
    log.send_request("pay")
    return log


def log_served_request():
    log = LogRecorder()
    log.send_request("pay")
    log.deliver(RunCompleted(log.find_run_id(), 200, None))
    return log


def log_without_outcome():
    log = LogRecorder()
    log.send_request("pay")
    return log


def log_refusal_in_a_pause(age_s, pause_s, count):
    """Send a request `age_s` seconds after each of `count` servers has asked for a pause."""
    names = [f"l{number}" for number in range(count)]
    log = LogRecorder(servers=[make_server(name, "ledger") for name in names])
    log.send_request("pay", request_id="r0")
    for _ in names:
        pause = PauseRequest(str(pause_s), pause_s)
        log.deliver(RunRefused(log.find_run_id(), 503, "refused", None, pause))
    log.pass_time(age_s)
    log.send_request("pay")
    return log


PAUSED = [
    ("one-server-just-now", 0.1, 20.0, 1),
    ("pause-that-began-long-ago", 15.0, 30.0, 1),
    ("each-server-of-the-service", 1.0, 20.0, 2),
]


@pytest.mark.parametrize(
    ("age_s", "pause_s", "count"), [p[1:] for p in PAUSED], ids=[p[0] for p in PAUSED]
)
def test_pause_is_named_as_the_cause_of_a_refusal(age_s, pause_s, count):
    explanation = explain_request("r1", log_refusal_in_a_pause(age_s, pause_s, count).lines)
    assert explanation.outcome == PAUSED_OUTCOME
    lines = [line for line in explanation.context if line["event"] == "server_paused"]
    assert lines and "request=r0" in lines[0]["message"]


FAILURES = [
    ("refused-stream", log_refused_stream, "request_refused", "waited for m0/a9 on w1", ""),
    ("payment-without-response", log_payment_without_response, "request_refused", "reset", ""),
    ("stream-broken-midway", log_broken_stream, "answer_cut", "events=3", "server_trust"),
    (
        "servers-that-left",
        log_refusal_after_servers_left,
        "request_refused",
        "server=l1 said so in the answer to other0",
        "server_leaving",
    ),
    ("served-request", log_served_request, "request_served", "status=200", ""),
    ("outcome-not-in-the-log", log_without_outcome, "", "server=l", ""),
]


@pytest.mark.parametrize(
    ("record_log", "outcome", "cause", "context_event"),
    [s[1:] for s in FAILURES],
    ids=[s[0] for s in FAILURES],
)
@pytest.mark.parametrize("requested_id", ["r1", "id-1"], ids=["by-gateway-id", "by-attempt-id"])
def test_cause_is_found_by_id(record_log, outcome, cause, context_event, requested_id):
    explanation = explain_request(requested_id, record_log().lines)
    assert explanation.outcome == OUTCOMES.get(outcome, NO_OUTCOME)
    assert any(cause in line["message"] for line in explanation.lines)
    assert not context_event or context_event in [line["event"] for line in explanation.context]
    assert all(line["request_id"] == explanation.request_id for line in explanation.lines)


def make_line(time_s, node, event, message, request_id=""):
    line = {"time_s": time_s, "node": node, "event": event, "message": message}
    return {**line, "request_id": request_id} if request_id else line


FORWARDED = [
    make_line(9.0, "n1", "path_lost", "service=ledger"),
    make_line(10.0, "n1", "request_forwarded", "run=r1.f1 node=n2 attempt=id-1", "r1"),
    make_line(10.1, "n2", "run_sent", "run=q7.1 server=l1 attempt=id-1", "q7"),
    make_line(10.2, "n2", "run_refused", "run=q7.1 status=503 l1: full", "q7"),
    make_line(10.3, "n2", "request_refused", "attempt=id-1 Failure(no_server)", "q7"),
    make_line(10.4, "n1", "request_refused", "attempt=id-1 Failure(no_server)", "r1"),
    make_line(10.5, "n2", "run_sent", "run=q8.1 server=l1 attempt=id-2", "q8"),
]


@pytest.mark.parametrize("requested_id", ["r1", "id-1"], ids=["by-gateway-id", "by-attempt-id"])
def test_forwarded_request_is_followed_to_the_other_node(requested_id):
    explanation = explain_request(requested_id, FORWARDED)
    assert explanation.request_id == "r1"
    assert explanation.outcome == OUTCOMES["request_refused"]
    assert {line["request_id"] for line in explanation.lines} == {"r1", "q7"}
    assert [line["event"] for line in explanation.context] == ["path_lost"]


def log_refusal_by_a_quota():
    fleet = QuotaFleet(1, {"acme": 1000.0}, gateways=1)
    fleet.run_until(104.0)
    fleet.send("acme", 10**9)
    (request_id,) = fleet.requests
    log = LogRecorder()
    log.lines = [
        {"time_s": at, "node": name, "event": event.name, "message": event.detail}
        | {"request_id": "r1" if event.request_id == request_id else ""}
        for at, name, event in fleet.log
    ]
    return log


def test_quota_is_named_as_the_cause_of_a_refusal():
    explanation = explain_request("r1", log_refusal_by_a_quota().lines)
    assert explanation.outcome == QUOTA_OUTCOME
    assert "organisation=acme limit_per_s=1000 burst=1000 config=1" in explanation.cause


CAUSES = [
    ("leaving-servers-are-named", log_refusal_after_servers_left, ["other0", "l1", "other1", "l2"]),
    ("refusal-with-another-cause", log_refused_stream, []),
    ("no-refusal", log_served_request, []),
]


@pytest.mark.parametrize(
    ("record_log", "names"), [c[1:] for c in CAUSES], ids=[c[0] for c in CAUSES]
)
def test_leaving_servers_are_named_as_the_cause_of_a_refusal(record_log, names):
    cause = explain_request("r1", record_log().lines).cause
    assert all(name in cause for name in names)
    assert bool(cause) is bool(names)


def test_load_orders_of_the_adapter_are_shown_for_a_refused_stream():
    explanation = explain_request("r1", log_refused_stream().lines)
    (text,) = {line["message"] for line in explanation.context if line["event"] == "order_answered"}
    assert "status=0" in text


TEXTS = [
    ("prefix-before-json-is-skipped", b' 3.1 n1 {"event":"ready"}', 1),
    ("truncated-line-of-an-exited-process", b'{"event":"rea', 0),
    ("line-without-json", b"Traceback", 0),
    ("json-object-without-event", b'{"a":1}', 0),
]


@pytest.mark.parametrize(("text", "count"), [t[1:] for t in TEXTS], ids=[t[0] for t in TEXTS])
def test_only_event_lines_are_read(text, count):
    assert len(list(read_lines([text.decode()]))) == count


COMMANDS = [
    ("known-request-id", "r1", True, 0, ""),
    ("unknown-request-id", "r2", True, 1, "no line has the id 'r2'"),
    ("missing-log-file", "r1", False, 1, "No such file"),
]


@pytest.mark.parametrize(
    ("requested_id", "exists", "code", "error"),
    [c[1:] for c in COMMANDS],
    ids=[c[0] for c in COMMANDS],
)
@pytest.mark.parametrize("json", [False, True], ids=["table", "json"])
def test_explain_command_exit_code(tmp_path, requested_id, exists, code, error, json):
    path = tmp_path / "node.log"
    if exists:
        path.write_bytes(b"\n".join(dumps(line) for line in log_served_request().lines))
    out, err = StringIO(), StringIO()
    assert explain(requested_id, str(path), json, out, err) == code
    assert error in err.getvalue()
    if code == 0 and json:
        assert loads(out.getvalue())["request"] == "r1"
    elif code == 0:
        assert "request_served" in out.getvalue()
