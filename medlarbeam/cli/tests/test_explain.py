"""The path from the id of a failed request to its cause, see docs/OPERATIONS.md."""

from io import StringIO

import pytest
from orjson import dumps, loads

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import EngineState
from medlarbeam.classes.gateway_effects import ServerOrder
from medlarbeam.classes.gateway_messages import (
    EngineStateResult,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunStarted,
    ServerOrderResult,
)
from medlarbeam.cli.explain import NO_OUTCOME, OUTCOMES, explain_request, read_lines
from medlarbeam.cli.main import explain
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    make_harness,
    make_server,
    own_rights,
)


class Log:
    """Collects the log lines of a driven gateway."""

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

    def find_run(self):
        return next(e for e in self.harness.effects if hasattr(e, "first_event_timeout_s")).run_id


def refuse_a_stream():
    """Leave each order to load the adapter without an answer, on the only engine."""
    log = Log(servers=[make_server("w1", "llm")])
    log.pass_time(0.2)
    log.deliver(EngineStateResult("w1", EngineState(4, {"m0"}, {HOT: 1}, {}, False), ""))
    effects = log.send_request("chat", COLD)
    for _ in range(40):
        orders = [e for e in effects if isinstance(e, ServerOrder)]
        effects = [e for o in orders for e in log.deliver(ServerOrderResult(o, 0, "TimeoutError"))]
        effects += log.pass_time(0.1)
    return log


def lose_the_answer_of_a_payment():
    log = Log()
    log.send_request("pay")
    log.deliver(RunInterrupted(log.find_run(), "ClientOSError: reset", 0, False))
    return log


def break_a_stream_midway():
    """Break a stream of a backend server that fails other requests and is suspected."""
    log = Log(servers=[make_server("w1", "llm")])
    log.send_request("draft", HOT)
    run = log.find_run()
    for number in range(9):
        log.send_request("draft", HOT, request_id=f"other{number}")
        log.deliver(RunErrorResponse(log.find_run(), 500, None))
    log.deliver(RunStarted(run, None))
    log.deliver(RunInterrupted(run, "BadResponseError: the stream ended inside an event", 3, True))
    return log


def serve():
    log = Log()
    log.send_request("pay")
    log.deliver(RunCompleted(log.find_run(), 200, None))
    return log


def lose_the_end():
    log = Log()
    log.send_request("pay")
    return log


STORIES = [
    ("refused-stream", refuse_a_stream, "request_refused", "waited for m0/a9 on w1", ""),
    ("payment-without-an-answer", lose_the_answer_of_a_payment, "request_refused", "reset", ""),
    ("stream-that-broke-midway", break_a_stream_midway, "answer_cut", "events=3", "server_trust"),
    ("served-request", serve, "request_served", "status=200", ""),
    ("end-is-missing", lose_the_end, "", "server=l", ""),
]


@pytest.mark.parametrize(
    ("play", "outcome", "cause", "around"), [s[1:] for s in STORIES], ids=[s[0] for s in STORIES]
)
@pytest.mark.parametrize("wanted", ["r1", "id-1"], ids=["by-gateway-id", "by-attempt-id"])
def test_cause_is_found_from_the_id(play, outcome, cause, around, wanted):
    found = explain_request(wanted, play().lines)
    assert found.outcome == OUTCOMES.get(outcome, NO_OUTCOME)
    assert any(cause in line["message"] for line in found.lines)
    assert not around or around in [line["event"] for line in found.around]
    assert all(line["request_id"] == found.request_id for line in found.lines)


def test_orders_for_the_adapter_of_a_refused_stream_are_shown():
    found = explain_request("r1", refuse_a_stream().lines)
    (text,) = {line["message"] for line in found.around if line["event"] == "order_answered"}
    assert "status=0" in text


TEXTS = [
    ("text-before-a-line-is-skipped", b' 3.1 n1 {"event":"ready"}', 1),
    ("line-cut-by-the-end-of-a-process", b'{"event":"rea', 0),
    ("line-of-another-program", b"Traceback", 0),
    ("object-that-is-no-event", b'{"a":1}', 0),
]


@pytest.mark.parametrize(("text", "count"), [t[1:] for t in TEXTS], ids=[t[0] for t in TEXTS])
def test_lines_are_read_from_any_log(text, count):
    assert len(list(read_lines([text.decode()]))) == count


COMMANDS = [
    ("id-is-found", "r1", True, 0, ""),
    ("id-is-not-in-the-log", "r2", True, 1, "no line has the id 'r2'"),
    ("log-file-is-missing", "r1", False, 1, "No such file"),
]


@pytest.mark.parametrize(
    ("wanted", "is_there", "code", "error"), [c[1:] for c in COMMANDS], ids=[c[0] for c in COMMANDS]
)
@pytest.mark.parametrize("json", [False, True], ids=["table", "json"])
def test_command(tmp_path, wanted, is_there, code, error, json):
    path = tmp_path / "node.log"
    if is_there:
        path.write_bytes(b"\n".join(dumps(line) for line in serve().lines))
    out, err = StringIO(), StringIO()
    assert explain(wanted, str(path), json, out, err) == code
    assert error in err.getvalue()
    if code == 0 and json:
        assert loads(out.getvalue())["request"] == "r1"
    elif code == 0:
        assert "request_served" in out.getvalue()
