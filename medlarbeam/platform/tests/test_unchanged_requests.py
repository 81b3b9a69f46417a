"""Odd requests of callers, each on a raw connection.

Guards against backend servers that run a request with another method, path, query or body, without
a header by which it is served, or with one that the caller has forged. A request that cannot be
passed on as it is has to be refused.
"""

from gzip import compress

import pytest

from medlarbeam.platform.tests.raw_caller import RawCaller
from medlarbeam.platform.tests.test_forwarding import run_stranded
from medlarbeam.platform.tests.test_whole_path import HOST, run

PROMPT = "X-Model: m0/a1\r\nX-Token-Usage: 5,6\r\nX-Prompt-Prefix: aa:1,bb:2\r\n"
OPTIONS = "Connection: X-Model, X-Token-Usage, X-Prompt-Prefix, X-Attempt-Id, Content-Type\r\n"

TARGETS = [
    ("empty-query", "/pay/a?"),
    ("two-question-marks", "/pay/a??"),
    ("empty-path-segment", "/pay/a//b"),
    ("dot-segments", "/pay/../a/./b"),
    ("escaped-dot-segments", "/pay/%2e%2E/b"),
    ("needless-escapes", "/pay/%7Ea?b=%41+c%20d"),
    ("escape-that-is-none", "/pay/a%zz?%"),
    ("escaped-delimiters", "/pay/%2F%3F%23?a=%26&b=%3D%2B"),
    ("parameters", "/pay/a;b=c:d@e,f?g;h"),
    ("characters-that-urls-do-not-have", '/pay/1?x=[1]{2}|"<>^`\\'),
    ("empty-parameters", "/pay/1?&&=&a"),
]
METHODS = [(m.lower(), m) for m in ("PUT", "DELETE", "PATCH", "GET", "OPTIONS", "PURGE", "TRACE")]
BODIES = [
    ("gzip", "Content-Encoding: gzip\r\n", compress(b"order", mtime=0)),
    ("empty", "", b""),
    ("looks-like-a-request", "", b"\r\n\r\nPOST /pay/2 HTTP/1.1\r\nX-Attempt-Id: id-2\r\n\r\n"),
]
PASSED = [
    *((f"target-{name}", "POST", target, "", b"order") for name, target in TARGETS),
    *((f"method-{name}", method, "/pay/1", "", b"order") for name, method in METHODS),
    *((f"body-{name}", "POST", "/pay/1", headers, body) for name, headers, body in BODIES),
    ("options-that-name-headers-of-the-request", "POST", "/chat/1", PROMPT + OPTIONS, b"order"),
    ("header-twice-that-is-not-of-the-protocol", "POST", "/pay/1", "X-A: 1\r\nX-A: 2\r\n", b"x"),
    ("value-that-is-not-ascii", "POST", "/pay/1", "X-A: \u00e4\r\n", b"x"),
    ("two-codings", "POST", "/pay/1", "Content-Encoding: a\r\nContent-Encoding: b\r\n", b"x"),
    ("header-of-nodes", "POST", "/pay/1", "Medlarbeam-Later: 1\r\nX-A: 1\r\n", b"x"),
]
REMOVED = {"connection", "content-length", "medlarbeam-later", "transfer-encoding"}
SET_BY_GATEWAY = {"x-deadline-ms", "x-expect-instance", "x-request-priority"}


def list_end_to_end(lines):
    """Return the headers in the lines of a request that a backend server has to receive."""
    fields = [tuple(line.split(": ", 1)) for line in lines.split("\r\n") if line]
    return [field for field in fields if field[0].lower() not in REMOVED]


async def send(deployment, method, target, headers, body, is_chunked):
    """Send a request on a connection of its own and return the status of its answer."""
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % len(body)
    if is_chunked:
        body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
    head = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: id-1\r\n{headers}"
    caller = RawCaller(deployment.front, HOST)
    caller.send(head.encode() + framing + b"\r\n\r\n" + body)
    status, _, _ = await caller.receive()
    caller.close()
    return status


def list_runs(deployments):
    workers = [w for deployment in deployments for w in deployment.workers.values()]
    return [request for worker in workers for request in worker.received if request.is_run]


@pytest.mark.parametrize("way", ["direct", "direct-in-chunks", "forwarded"])
def test_backend_server_runs_what_the_caller_asked_for(way):
    async def play(first, other, session):
        outcomes = []
        for name, method, target, headers, body in PASSED:
            status = await send(first, method, target, headers, body, way == "direct-in-chunks")
            runs = list_runs([other])
            for worker in other.workers.values():
                worker.received.clear()
            outcomes.append((name, status, [describe(run) for run in runs]))
        return outcomes

    if way == "forwarded":
        outcomes = run_stranded(play)
    else:
        outcomes = run(lambda deployment, session: play(deployment, deployment, session))
    own = [("Host", HOST), ("X-Attempt-Id", "id-1")]
    expected = [
        (name, 200, [(method, target, [*own, *list_end_to_end(headers)], body)])
        for name, method, target, headers, body in PASSED
    ]
    assert outcomes == expected


def describe(request):
    """Return what a backend server received, without the headers that the gateway sets."""
    removed = REMOVED | SET_BY_GATEWAY
    headers = [(n, v.encode("latin-1").decode()) for n, v in request.headers]
    return (
        request.method,
        request.target,
        [field for field in headers if field[0].lower() not in removed],
        request.body,
    )


REFUSED = [
    ("fragment", "POST", "/pay/a#b", b""),
    ("fragment-behind-a-query", "POST", "/pay/a?b#c", b""),
    ("connect", "CONNECT", "/pay/a", b""),
    ("two-models", "POST", "/pay/1", b"X-Model: m0/a1\r\nx-model: m0/a2\r\n"),
    ("two-token-usages", "POST", "/pay/1", b"X-Token-Usage: 1,2\r\nX-Token-Usage: 3,4\r\n"),
    ("two-prompts", "POST", "/pay/1", b"X-Prompt-Prefix: a:1\r\nX-Prompt-Prefix: b:1\r\n"),
    ("second-attempt-id", "POST", "/pay/1", b"X-Attempt-Id: id-2\r\n"),
    ("two-last-events", "POST", "/pay/1", b"Last-Event-Id: 1\r\nLast-Event-Id: 2\r\n"),
    ("model-that-is-not-utf-8", "POST", "/pay/1", b"X-Model: m0/\xff\r\n"),
    ("value-that-is-not-utf-8", "POST", "/pay/1", b"X-A: \xff\r\n"),
    ("folded-line", "POST", "/pay/1", b"X-A: a\r\n X-Hold: b\r\n"),
    ("space-before-the-colon", "POST", "/pay/1", b"X-Hold : a\r\n"),
    ("bare-carriage-return", "POST", "/pay/1", b"X-A: a\rX-Hold: b\r\n"),
    ("bare-line-feed", "POST", "/pay/1", b"X-A: a\nX-Hold: b\r\n"),
    ("length-and-chunks", "POST", "/pay/1", b"Transfer-Encoding: chunked\r\n"),
    ("two-lengths", "POST", "/pay/1", b"Content-Length: 7\r\n"),
    ("two-hosts", "POST", "/pay/1", b"Host: other\r\n"),
]


def test_request_without_an_attempt_id_is_not_sent_to_server_after_server():
    async def play(deployment, session):
        caller = RawCaller(deployment.front, HOST)
        head = f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5\r\n\r\n"
        caller.send(head.encode() + b"order")
        status, _, _ = await caller.receive()
        return status, sum(worker.request_count for worker in deployment.workers.values())

    assert run(play) == (400, 0)


def test_request_that_cannot_be_passed_on_as_it_is_is_refused():
    async def play(deployment, session):
        outcomes = []
        for name, method, target, headers in REFUSED:
            caller = RawCaller(deployment.front, HOST)
            start = f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: id-1\r\n"
            caller.send(start.encode() + headers + b"Content-Length: 5\r\n\r\norder")
            status, _, _ = await caller.receive()
            caller.close()
            outcomes.append((name, status, len(list_runs([deployment]))))
        return outcomes

    assert run(play) == [(name, 400, 0) for name, *_ in REFUSED]
