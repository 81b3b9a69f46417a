import json

import pytest
from daemon_support import (
    RecordingDriver,
    ScriptedServer,
    event_stream,
    find_free_port,
    make_backend,
    make_settings,
    reply,
    run,
)

from medlarbeam.classes.effects import (
    CancelOnServer,
    LoadAdapter,
    PollServer,
    RunOnServer,
    UnloadAdapter,
)
from medlarbeam.classes.messages import (
    EngineChunk,
    EngineEnd,
    EngineReport,
    LoadResult,
    UnloadResult,
)
from medlarbeam.classes.peer_messages import ModelCount
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.daemon.backend_client import BackendClient
from medlarbeam.exceptions import ErrorKind, RunState
from medlarbeam.standins.early_worker import EarlyAnswer, EarlyWorker

CLOSE = "Connection: close"
MODEL = "a@1"
REFUSED = ("failure", ErrorKind.SERVER_REFUSED, RunState.NOT_RUN)
LOST = ("failure", ErrorKind.SERVER_LOST, RunState.MAY_HAVE_RUN)
ERROR = ("failure", ErrorKind.SERVER_ERROR, RunState.MAY_HAVE_RUN)
DONE = b"[DONE]"


def event(text, model=MODEL):
    return json.dumps({"model": model, "choices": [{"index": 0, "text": text}]}).encode()


def make_run(port, run_id="r1", service="", **fields):
    request = Request("q1", "caller", Rank.URGENT, 130.0, [MODEL], "hi", service=service, **fields)
    return RunOnServer(run_id, make_backend(port, service), MODEL, request, prefix="so far")


def summarize(message):
    if isinstance(message, EngineChunk):
        return ("chunk", message.position, message.text, message.model)
    if isinstance(message, EngineEnd):
        return ("end", message.chunks, message.model, message.status)
    return ("failure", message.failure.kind, message.failure.run_state)


class BackendClientHarness:
    """Runs a backend client with a recording driver."""

    __slots__ = ("client", "driver")

    def __init__(self, **settings):
        self.driver = RecordingDriver()
        self.client = BackendClient(self.driver, make_settings(**settings))

    async def __aenter__(self):
        await self.client.start()
        return self

    async def __aexit__(self, *error):
        await self.client.stop()

    async def perform(self, effect):
        """Carry out an effect, wait until it has ended and return the delivered messages."""
        self.driver.messages.clear()
        task = self.client.effects()[type(effect)](effect) or self.client.runs[effect.run_id]
        await task
        return self.driver.messages


TRUNCATED_STREAM = event_stream(event("x"))[:-7].replace(
    b"\r\n\r\n", f"\r\n{CLOSE}\r\n\r\n".encode(), 1
)
ENGINE_RUNS = [
    (
        "text-lost-or-out-of-order",
        event_stream(event("x"), event(""), event("y"), DONE),
        [("chunk", 0, "x", MODEL), ("chunk", 1, "y", MODEL), ("end", 2, MODEL, 200)],
    ),
    (
        "model-of-request-reported-instead-of-response",
        event_stream(event("x", "b@2"), DONE),
        [("chunk", 0, "x", "b@2"), ("end", 1, "b@2", 200)],
    ),
    ("refusal-reported-as-may-have-run", reply(503, b"", "X-Not-Run: true"), [REFUSED]),
    ("overloaded-engine-reported-as-may-have-run", reply(429), [REFUSED]),
    ("unloaded-model-reported-as-may-have-run", reply(404), [REFUSED]),
    ("503-without-header-reported-as-not-run", reply(503), [ERROR]),
    ("server-error-reported-as-not-run", reply(500), [ERROR]),
    ("redirect-sends-body-twice", reply(307, b"", "Location: /v1/completions"), [ERROR]),
    ("closed-before-response-reported-as-not-run", b"", [LOST]),
    ("truncated-stream-reported-as-complete", TRUNCATED_STREAM, [("chunk", 0, "x", MODEL), LOST]),
    (
        "stream-without-done-reported-as-complete",
        event_stream(event("x")),
        [("chunk", 0, "x", MODEL), LOST],
    ),
    ("error-event-reported-as-text", event_stream(b'{"error": {"message": "x"}}'), [ERROR]),
    ("not-json-raises", event_stream(b"{"), [ERROR]),
    ("choice-without-text-raises", event_stream(b'{"model": "a@1", "choices": [1]}'), [ERROR]),
    ("invalid-utf8-raises", event_stream(b"\xff"), [ERROR]),
]


@pytest.mark.parametrize(
    "server_reply, expected", [r[1:] for r in ENGINE_RUNS], ids=[r[0] for r in ENGINE_RUNS]
)
def test_engine_run(server_reply, expected):
    """Guards against lost text, a wrong run state and a request that is sent twice."""

    async def check():
        async with ScriptedServer([server_reply]) as server, BackendClientHarness() as harness:
            messages = await harness.perform(make_run(server.port, max_tokens=9))
            assert [summarize(m) for m in messages] == expected
            assert len(server.requests) == 1
            head, body = server.requests[0]
            assert "X-Request-Id: r1\r\n" in head
            assert json.loads(body) == {
                "model": MODEL,
                "prompt": "hi",
                "max_tokens": 9,
                "stream": True,
                "priority": 0,
                "continue_from": "so far",
            }

    run(check())


PLAIN_RUNS = [
    ("body-lost", reply(200, b'{"ok": 1}'), [("chunk", 0, '{"ok": 1}', ""), ("end", 1, "", 200)]),
    ("declined-payment-hidden", reply(402, b"{}"), [("chunk", 0, "{}", ""), ("end", 1, "", 402)]),
    ("404-of-service-reported-as-not-run", reply(404), [("chunk", 0, "", ""), ("end", 1, "", 404)]),
    ("server-error-reported-as-ran", reply(500), [ERROR]),
    ("refusal-reported-as-may-have-run", reply(503, b"", "X-Not-Run: true"), [REFUSED]),
    ("closed-connection-reported-as-not-run", b"", [LOST]),
    ("truncated-response-reported-as-complete", reply(200, b"abc", CLOSE)[:-1], [LOST]),
]


@pytest.mark.parametrize(
    "server_reply, expected", [r[1:] for r in PLAIN_RUNS], ids=[r[0] for r in PLAIN_RUNS]
)
def test_plain_run(server_reply, expected):
    """Guards against a result of a plain service that is lost or has a wrong run state."""

    async def check():
        async with ScriptedServer([server_reply]) as server, BackendClientHarness() as harness:
            effect = make_run(
                server.port, service="till", path="charge", non_idempotent=True, key="k"
            )
            messages = await harness.perform(effect)
            assert [summarize(m) for m in messages] == expected
            assert [r[0].split()[:2] for r in server.requests] == [["POST", "/charge"]]
            assert server.requests[0][1] == b"hi"

    run(check())


LONG = 8 << 20  # bytes of a request, more than the buffers of a connection hold
UNREAD = [
    ("reset-reported-as-complete", 2, EarlyAnswer("none", "reset", read_bytes=2)),
    ("reset-under-an-upload-reported-as-complete", LONG, EarlyAnswer("none", "reset")),
    ("reset-after-a-turn-reported-as-complete", LONG, EarlyAnswer("none", "reset", turns=1)),
    ("reset-of-a-payment-that-is-declined", LONG, EarlyAnswer("none", "reset", status=402)),
    ("end-of-a-process-reported-as-complete", LONG, EarlyAnswer("none", "exhaust")),
    ("half-close-reported-as-complete", LONG, EarlyAnswer("none", "half_close")),
    ("part-of-a-length-reported-as-complete", LONG, EarlyAnswer("length", "reset")),
    ("part-of-chunks-reported-as-complete", LONG, EarlyAnswer("chunks", "reset")),
]


@pytest.mark.parametrize("size, answer", [u[1:] for u in UNREAD], ids=[u[0] for u in UNREAD])
def test_plain_run_that_is_answered_early_and_cut_short(size, answer):
    """Guards against a part of a result that is taken for the whole."""

    async def check():
        worker = EarlyWorker("b1")
        worker.early_answer = answer
        await worker.start()
        port = int(worker.address.rpartition(":")[2])
        async with BackendClientHarness() as harness:
            effect = make_run(port, service="till", path="charge", non_idempotent=True, key="k")
            effect.request.body = "x" * size
            messages = await harness.perform(effect)
        worker.stop()
        assert [summarize(m) for m in messages] == [LOST]

    run(check())


STALE = [
    ("idempotent-run-sent-twice", False, 1, [b""], [LOST]),
    # A payment uses a new connection, so the closed one does not affect it.
    (
        "payment-on-stale-connection",
        True,
        2,
        [reply(200)],
        [("chunk", 0, "", ""), ("end", 1, "", 200)],
    ),
]


@pytest.mark.parametrize(
    "single, connections, second, expected", [s[1:] for s in STALE], ids=[s[0] for s in STALE]
)
def test_stale_connection(single, connections, second, expected):
    """Guards against duplicate runs and unknown outcomes after a reused connection was closed."""

    async def check():
        async with (
            ScriptedServer([reply(200), *second]) as server,
            BackendClientHarness() as harness,
        ):
            await harness.perform(make_run(server.port, service="till", path="stock"))
            effect = make_run(
                server.port, "r2", service="till", path="charge", non_idempotent=single, key="k"
            )
            messages = await harness.perform(effect)
            assert [summarize(m) for m in messages] == expected
            assert [r[0].split()[1] for r in server.requests] == ["/stock", "/charge"]
            assert server.connections == connections

    run(check())


@pytest.mark.parametrize("service", ["", "till"], ids=["engine", "plain-service"])
def test_refused_connection_is_reported_as_not_run(service):
    """Guards against a request that is not retried although nothing was sent."""

    async def check():
        async with BackendClientHarness() as harness:
            messages = await harness.perform(
                make_run(find_free_port(), service=service, path="charge")
            )
            assert [summarize(m) for m in messages] == [REFUSED]

    run(check())


def test_idle_stream_is_reported_as_lost():
    """Guards against a run that waits forever for an engine that stopped sending."""

    async def check():
        async with (
            ScriptedServer([None]) as server,
            BackendClientHarness(idle_timeout_s="0.1") as harness,
        ):
            assert [summarize(m) for m in await harness.perform(make_run(server.port))] == [LOST]

    run(check())


def test_cancelled_run_closes_its_connection_without_a_message():
    """Guards against an engine that generates tokens for a cancelled run."""

    async def check():
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = b"data: " + event("x") + b"\n\n"
        opened = start + b"%x\r\n%s\r\n" % (len(data), data)
        async with ScriptedServer([opened]) as server, BackendClientHarness() as harness:
            harness.client.start_run(make_run(server.port))
            await harness.driver.wait_for(EngineChunk)
            harness.client.cancel_run(CancelOnServer("r1"))
            await server.closed.wait()
            assert [type(m) for m in harness.driver.messages] == [EngineChunk]
            assert harness.client.runs == {}

    run(check())


LOAD = "load"
ORDERS = [
    ("success-reported-as-failure", LOAD, reply(200), None),
    ("failed-load-reported-as-success", LOAD, reply(500), ErrorKind.LOAD_FAILED),
    ("load-with-stale-fencing-token", LOAD, reply(412), ErrorKind.NOT_OWNER),
    ("adapter-already-loaded", LOAD, reply(400, b"has already been loaded"), ErrorKind.LOAD_FAILED),
    ("bad-path-reported-as-loaded", LOAD, reply(400, b"no such path"), ErrorKind.LOAD_FAILED),
    ("connection-lost-during-load", LOAD, b"", ErrorKind.SERVER_LOST),
    ("valid-unload-dropped", 100.0, reply(200), None),
    ("expired-unload-sent", 99.9, None, ErrorKind.SERVER_REFUSED),
    ("adapter-already-unloaded", 100.0, reply(404), ErrorKind.SERVER_REFUSED),
    ("unload-with-stale-fencing-token", 100.0, reply(412), ErrorKind.NOT_OWNER),
    ("connection-lost-during-unload", 100.0, b"", ErrorKind.SERVER_LOST),
]


@pytest.mark.parametrize(
    "not_after, server_reply, kind", [o[1:] for o in ORDERS], ids=[o[0] for o in ORDERS]
)
def test_load_or_unload_order(not_after, server_reply, kind):
    """Guards against a wrong result of an order, and an unload sent after its expiry."""

    async def check():
        async with ScriptedServer([server_reply]) as server, BackendClientHarness() as harness:
            backend = make_backend(server.port)
            effect = UnloadAdapter(backend, MODEL, 12, not_after)
            document, result = {"lora_name": MODEL}, UnloadResult
            if not_after is LOAD:
                effect = LoadAdapter(backend, MODEL, "w/a", 12)
                document, result = {"lora_name": MODEL, "lora_path": "w/a"}, LoadResult
            (message,) = await harness.perform(effect)
            assert (type(message), message.server, message.model) == (result, "b1", MODEL)
            assert (message.failure.kind if message.failure else None) is kind
            if not_after is LOAD:
                assert message.already_loaded is (b"has already been loaded" in server_reply)
            assert len(server.requests) == (server_reply is not None)
            for head, body in server.requests:
                assert "X-Fencing-Number: 12\r\n" in head
                assert json.loads(body) == document

    run(check())


GOOD_REPORT = {"incarnation": "i", "resident": [MODEL], "running": {MODEL: 2}, "leaving": True}
REPORTS = [
    ("valid-report-lost", reply(200, json.dumps(GOOD_REPORT).encode()), None),
    ("unreachable-server-reported-as-idle", b"", ErrorKind.SERVER_LOST),
    ("server-error-reported-as-idle", reply(500), ErrorKind.SERVER_ERROR),
    ("not-json", reply(200, b"{"), ErrorKind.SERVER_ERROR),
    ("no-incarnation", reply(200, b"{}"), ErrorKind.SERVER_ERROR),
    (
        "count-is-a-string",
        reply(200, json.dumps(GOOD_REPORT | {"running": {"a": "2"}}).encode()),
        ErrorKind.SERVER_ERROR,
    ),
]


@pytest.mark.parametrize(
    "server_reply, kind", [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_load_report(server_reply, kind):
    """Guards against an unreachable or failing server that is reported as idle."""

    async def check():
        # The second reply is for the GET that the library may resend on a closed connection.
        async with (
            ScriptedServer([server_reply, server_reply]) as server,
            BackendClientHarness() as harness,
        ):
            (report,) = await harness.perform(PollServer(make_backend(server.port), 99.5))
            assert (report.failure.kind if report.failure else None) is kind
            if kind is None:
                expected = EngineReport(
                    "b1", 99.5, "i", [MODEL], [ModelCount("b1", MODEL, 2)], True
                )
                assert report == expected

    run(check())
