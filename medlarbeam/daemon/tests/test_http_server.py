import asyncio
import io
import json
import math

import pytest
from aiohttp import ClientSession
from daemon_support import RecordingDriver, make_settings, run
from yarl import URL

from medlarbeam.classes.effects import ResponseChunk, ResponseEnd, ResponseStart
from medlarbeam.classes.messages import CallerDisconnected, CallerRequest
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.daemon.http_server import HttpServer
from medlarbeam.daemon.metrics import Metrics
from medlarbeam.daemon.request_parser import MAX_BODY_BYTES
from medlarbeam.daemon.response_documents import ResponseMetadata, build_headers
from medlarbeam.exceptions import ErrorKind, Failure

COMPLETIONS = "v1/completions"
CHARGE = "v1/services/till/charge"
KEYED = {"X-Non-Idempotent": "true", "Idempotency-Key": "k1", "X-Caller": "c"}
VALID = {"model": "a@1", "prompt": "hi"}


class HttpServerHarness:
    """Runs an HTTP server whose node returns the effects of `script(request)`."""

    __slots__ = ("base", "driver", "metrics", "server", "session")

    def __init__(self, script=lambda request: [], **settings):
        self.driver = RecordingDriver(self.run_script(script))
        self.metrics = Metrics()
        checked = make_settings(**settings)
        self.server = HttpServer(self.driver, checked, self.metrics)
        self.base = f"http://127.0.0.1:{checked.http_listen.port}/"
        self.session = None

    def run_script(self, script):
        def run_effects(message):
            if isinstance(message, CallerRequest):
                for effect in script(message.request):
                    self.server.effects()[type(effect)](effect)

        return run_effects

    async def __aenter__(self):
        await self.server.start()
        self.session = ClientSession()
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        await self.server.stop()

    async def post(self, path, body, headers=None):
        data = io.BytesIO(body) if isinstance(body, bytes) else json.dumps(body).encode()
        url = URL(self.base + path, encoded=True)  # the client would resolve ".." itself
        async with self.session.post(url, data=data, headers=headers) as response:
            return response.status, response.headers, (await response.read()).decode()


BAD_INPUTS = [
    ("not-json", COMPLETIONS, {}, b"{", "body: not valid JSON"),
    ("not-utf8", COMPLETIONS, {}, b'{"prompt": "\xff"}', "body: not valid JSON"),
    ("not-an-object", COMPLETIONS, {}, [], "expected a JSON object"),
    ("field-silently-ignored", COMPLETIONS, {}, VALID | {"temperature": 1}, "fields temperature"),
    ("no-prompt", COMPLETIONS, {}, {"model": "a@1"}, "prompt:"),
    ("prompt-of-other-type", COMPLETIONS, {}, VALID | {"prompt": ["hi"]}, "prompt:"),
    ("no-model", COMPLETIONS, {}, {"prompt": "hi"}, "exactly one"),
    ("model-and-models", COMPLETIONS, {}, VALID | {"models": ["a@1"]}, "exactly one"),
    ("model-without-version", COMPLETIONS, {}, VALID | {"model": "a"}, "adapter@version"),
    ("line-break-in-model", COMPLETIONS, {}, VALID | {"model": "a@1\r\nx"}, "adapter@version"),
    ("no-models", COMPLETIONS, {}, {"models": [], "prompt": "hi"}, "1 to 64"),
    ("duplicate-model", COMPLETIONS, {}, {"models": ["a@1", "a@1"], "prompt": "hi"}, "twice"),
    ("boolean-as-number", COMPLETIONS, {}, VALID | {"max_tokens": True}, "max_tokens:"),
    ("no-tokens", COMPLETIONS, {}, VALID | {"max_tokens": 0}, "max_tokens:"),
    ("string-as-boolean", COMPLETIONS, {}, VALID | {"stream": "yes"}, "stream:"),
    ("unknown-rank", COMPLETIONS, {}, VALID | {"rank": "high"}, "rank: expected one of urgent"),
    ("zero-deadline", COMPLETIONS, {}, VALID | {"deadline_s": 0}, "deadline_s:"),
    ("deadline-above-limit", COMPLETIONS, {}, VALID | {"deadline_s": 1e9}, "deadline_s:"),
    ("body-too-large", COMPLETIONS, {}, b" " * (MAX_BODY_BYTES + 1), "limit of 1572864 bytes"),
    ("payment-without-key", CHARGE, {"X-Non-Idempotent": "true"}, {}, "Idempotency-Key: missing"),
    ("key-of-anonymous-callers-collides", CHARGE, KEYED | {"X-Caller": ""}, {}, "X-Caller"),
    ("misspelt-flag-runs-twice", CHARGE, KEYED | {"X-Non-Idempotent": "1"}, {}, "true or false"),
    ("duplicate-key", CHARGE, [*KEYED.items(), ("Idempotency-Key", "k2")], {}, "more than once"),
    ("key-too-long", CHARGE, KEYED | {"Idempotency-Key": "k" * 257}, {}, "Idempotency-Key"),
    ("path-traversal", "v1/services/till/a/%2E%2E/b", {}, {}, "path:"),
    ("request-smuggled-in-path", "v1/services/till/a%0D%0Ab", {}, {}, "path:"),
    ("query-dropped", CHARGE + "?a=1", {}, {}, "query: query parameters are not supported"),
    ("service-body-not-json", CHARGE, {}, b"x", "body: not valid JSON"),
    ("unknown-rank-of-service", CHARGE, {"X-Rank": "high"}, {}, "header X-Rank"),
    ("deadline-not-a-number", CHARGE, {"X-Deadline-S": "nan"}, {}, "header X-Deadline-S"),
]


@pytest.mark.parametrize(
    "path, headers, body, reason", [b[1:] for b in BAD_INPUTS], ids=[b[0] for b in BAD_INPUTS]
)
def test_invalid_request_is_rejected_before_it_reaches_the_node(path, headers, body, reason):
    """Guards against malformed input that reaches a backend server or is silently ignored."""

    async def check():
        async with HttpServerHarness() as harness:
            status, _, text = await harness.post(path, body, headers)
            document = json.loads(text)
            assert (status, document["error"]["kind"]) == (400, "invalid_request")
            assert document["error"]["run_state"] == "not_run"
            assert reason in document["error"]["reason"]
            assert document["medlarbeam"]["request_id"] == "n1-7-1"
            assert harness.driver.messages == []

    run(check())


INPUTS = [
    (
        "defaults",
        COMPLETIONS,
        {},
        VALID,
        Request("n1-7-1", "anonymous", Rank.ORDINARY, 130.0, ["a@1"], "hi"),
    ),
    (
        "all-fields",
        COMPLETIONS,
        KEYED,
        {"models": ["a@1", "b@2"], "prompt": "p", "max_tokens": 5, "rank": "urgent"}
        | {"deadline_s": 2.5, "stream": True},
        Request(
            "n1-7-1",
            "c",
            Rank.URGENT,
            102.5,
            ["a@1", "b@2"],
            "p",
            max_tokens=5,
            stream=True,
            non_idempotent=True,
            key="k1",
        ),
    ),
    (
        "service",
        "v1/services/till/a/charge",
        KEYED | {"X-Rank": "yielding", "X-Deadline-S": "4"},
        b'{"x": 1.0}',
        Request(
            "n1-7-1",
            "c",
            Rank.YIELDING,
            104.0,
            [],
            '{"x": 1.0}',
            service="till",
            path="a/charge",
            non_idempotent=True,
            key="k1",
        ),
    ),
]


@pytest.mark.parametrize(
    "path, headers, body, expected", [i[1:] for i in INPUTS], ids=[i[0] for i in INPUTS]
)
def test_request_reaches_the_node_unchanged(path, headers, body, expected):
    """Guards against a field or header that is lost, defaulted or assigned to another field."""

    async def check():
        async with HttpServerHarness(lambda request: [ResponseEnd(request.request_id)]) as harness:
            await harness.post(path, body, headers)
            assert harness.driver.messages == [CallerRequest(expected)]

    run(check())


START = ("a@1", "b1", 1)
FAILURE = Failure(ErrorKind.SERVER_LOST, "b1 is gone")
FAILED = {"kind": "server_lost", "reason": "b1 is gone", "run_state": "may_have_run"}
METADATA = {"request_id": "n1-7-1", "adapter": "a", "version": "1", "server": "b1", "attempts": 2}
METADATA |= {"catalog_revision": 41, "catalog_age_s": 1.5, "load_wait_s": 0.25, "replayed": False}


def respond_with(texts, failure=None, status=200):
    """Return a script that sends `texts` as chunks and then ends the request."""

    def script(request):
        i = request.request_id
        yield ResponseStart(i, *START)
        for text in texts:
            yield ResponseChunk(i, text)
        yield ResponseEnd(i, failure, "a@1", "b1", status, attempts=2, load_wait_s=0.25)

    return script


def parse_events(text):
    for block in text.split("\n\n")[:-1]:
        name, _, data = block.rpartition("data: ")
        yield name.strip(), data if data == "[DONE]" else json.loads(data)


STREAM = VALID | {"stream": True}
STREAMS = [
    ("text-lost", respond_with("xy"), ["x", "y", ""], ["", "", "", ""]),
    ("empty-completion", respond_with(""), [""], ["", ""]),
    ("failure-after-first-chunk-hidden", respond_with("x", FAILURE), ["x"], ["", "event: error"]),
]


@pytest.mark.parametrize(
    "script, texts, names", [s[1:] for s in STREAMS], ids=[s[0] for s in STREAMS]
)
def test_stream_ends_with_done_or_an_error_event(script, texts, names):
    """Guards against a stream that ends without indicating whether it is complete."""

    async def check():
        async with HttpServerHarness(script) as harness:
            status, headers, body = await harness.post(COMPLETIONS, STREAM)
            events = list(parse_events(body))
            assert (status, headers["Content-Type"]) == (200, "text/event-stream")
            assert [name for name, _ in events] == names
            documents = [data for _, data in events if data != "[DONE]"]
            chunks = [d for d in documents if "choices" in d]
            assert [d["choices"][0]["text"] for d in chunks] == texts
            assert documents[-1]["medlarbeam"] == METADATA
            is_done = events[-1][1] == "[DONE]"
            assert is_done or events[-1][1]["error"] == FAILED

    run(check())


RESPONSES = [
    ("text-lost", COMPLETIONS, VALID, respond_with(["x", "y"]), 200),
    ("failure-reported-as-success", COMPLETIONS, VALID, respond_with(["x"], FAILURE), 502),
    (
        "failure-before-first-chunk-reported-as-200",
        COMPLETIONS,
        STREAM,
        respond_with([], FAILURE),
        502,
    ),
    ("status-of-the-service-lost", CHARGE, {}, respond_with(['{"ok": 1}'], status=402), 402),
    ("failure-of-the-service", CHARGE, {}, respond_with([], FAILURE), 502),
]


@pytest.mark.parametrize(
    "path, body, script, status", [w[1:] for w in RESPONSES], ids=[w[0] for w in RESPONSES]
)
def test_response_has_status_body_and_metadata(path, body, script, status):
    """Guards against a failure sent with status 200, a changed body, or missing metadata."""

    async def check():
        async with HttpServerHarness(script) as harness:
            actual_status, headers, text = await harness.post(path, body, KEYED)
            document = json.loads(text)
            assert actual_status == status
            expected = build_headers(ResponseMetadata("n1-7-1", 41, 1.5, "a@1", "b1", 2))
            assert expected.items() <= headers.items()
            if status == 502:
                assert (document["error"], document["medlarbeam"]) == (FAILED, METADATA)
            elif path == CHARGE:
                assert document == {"ok": 1}
            else:
                assert document["choices"][0]["text"] == "xy"
                assert (document["model"], document["medlarbeam"]) == ("a@1", METADATA)

    run(check())


@pytest.mark.parametrize("body", [VALID, STREAM], ids=["caller-of-document", "caller-of-stream"])
def test_caller_disconnect_is_reported_to_the_node(body):
    """Guards against runs that continue after the caller disconnected."""

    async def check():
        async with HttpServerHarness(lambda r: [ResponseChunk(r.request_id, "x")]) as harness:
            task = asyncio.ensure_future(harness.post(COMPLETIONS, body))
            await harness.driver.wait_for(CallerRequest)
            task.cancel()
            assert (await harness.driver.wait_for(CallerDisconnected)).request_id == "n1-7-1"
            assert harness.server.open_exchanges == {}

    run(check())


OVERDUE = [("silent-node", [], 500, '"error"'), ("silent-stream", ["x"], 200, "event: error")]


@pytest.mark.parametrize(
    "texts, status, part", [o[1:] for o in OVERDUE], ids=[o[0] for o in OVERDUE]
)
def test_request_that_the_node_never_ends_gets_an_error(monkeypatch, texts, status, part):
    """Guards against a connection that stays open after the deadline and its grace period."""
    monkeypatch.setattr("medlarbeam.daemon.http_server.DEADLINE_GRACE_S", 0.01)

    async def check():
        async with HttpServerHarness(
            lambda r: [ResponseChunk(r.request_id, t) for t in texts]
        ) as harness:
            actual_status, _, text = await harness.post(COMPLETIONS, STREAM | {"deadline_s": 0.01})
            assert (actual_status, part in text, '"may_have_run"' in text) == (status, True, True)
            assert harness.driver.messages[1:] == [CallerDisconnected("n1-7-1")]

    run(check())


@pytest.mark.parametrize("body", [VALID, STREAM], ids=["document", "stream"])
def test_shutdown_waits_for_callers_that_still_read_the_response(body):
    """Guards against responses truncated because the server closes connections on shutdown."""

    async def check():
        texts = ["x" * (1 << 20)] * 8  # more than the buffers between server and caller hold
        async with HttpServerHarness(respond_with(texts)) as harness:
            data = json.dumps(body).encode()
            async with harness.session.post(harness.base + COMPLETIONS, data=data) as response:
                stopping = asyncio.ensure_future(harness.server.stop())
                await asyncio.sleep(0)
                text = (await response.read()).decode()
                await stopping
            assert text.count("x") >= 8 << 20 and '"finish_reason":"stop"' in text

    run(check())


PAGES = [
    ("healthz", 200, b'"healthy": true'),
    ("readyz", 503, b'"ready": false'),
    ("metrics", 200, b'medlarbeam_answers_total{outcome="ok",rank="urgent"} 1'),
    ("metrics", 200, b"medlarbeam_catalog_revision 41"),
    ("metrics", 200, b"medlarbeam_open_requests 0"),
    ("metrics", 200, b'medlarbeam_first_token_seconds_count{rank="urgent"} 1'),
    ("nowhere", 404, b'"kind": "not_found"'),
    ("v1/completions", 405, b'"kind": "invalid_request"'),
]


@pytest.mark.parametrize(
    "path, status, part", PAGES, ids=[f"{p[0]}-{p[2].decode()}" for p in PAGES]
)
def test_health_and_metrics_pages(path, status, part):
    """Guards against probes, metrics or error pages with a wrong status or body."""

    async def check():
        async with HttpServerHarness(respond_with("x")) as harness:
            await harness.post(COMPLETIONS, VALID | {"rank": "urgent"})
            async with harness.session.get(harness.base + path) as response:
                assert response.status == status
                assert part in await response.read()

    run(check())


def test_catalog_that_was_never_confirmed_has_no_age():
    """Guards against an infinite age, which JSON cannot represent."""
    origin = ResponseMetadata("q1", 0, math.inf)
    assert origin.build_document()["catalog_age_s"] is None
    assert build_headers(origin)["X-Catalog-Age-S"] == "unconfirmed"
