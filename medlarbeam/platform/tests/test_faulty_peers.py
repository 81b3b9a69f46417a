"""Faulty backend servers and callers, as operators of similar systems have reported them.

Guards against answers that belong to another request or are joined from two, refusals of requests
that ran, streams that never end, and malformed messages that end the process.
"""

import asyncio
import socket

import pytest
from orjson import dumps

from medlarbeam.gateway.server_selector import ServerSelector
from medlarbeam.platform.http_front_end import parse_address
from medlarbeam.platform.tests.raw_caller import RawCaller
from medlarbeam.platform.tests.test_forwarding import run_stranded
from medlarbeam.platform.tests.test_whole_path import (
    CONFIG,
    HOST,
    STREAM,
    route,
    run,
    wait_until,
)
from medlarbeam.standins.platform_worker import INVALID_STATUSES

ADAPTER = "X-Model: m0/a1\r\n"

REPEATS = [
    ("late-second-copy-of-a-response", "repeat", "read", b"paid"),
    ("late-second-copy-of-a-stream", "repeat", "chat", STREAM),
    ("earlier-refusal-of-a-read-once-more", "repeat_refusal", "read", b"paid"),
    ("earlier-refusal-of-a-stream-once-more", "repeat_refusal", "chat", STREAM),
]


@pytest.mark.parametrize(
    ("response_mode", "name", "body"), [r[1:] for r in REPEATS], ids=[r[0] for r in REPEATS]
)
def test_repeated_response_is_not_taken_for_that_of_the_next_request(response_mode, name, body):
    async def scenario(deployment, session):
        if name == "chat":
            await deployment.call(session, name, "id-0")
        deployment.set_response_mode(response_mode)
        results = []
        for number in range(1, 7):
            attempt = f"id-{number}"
            status, seen = await deployment.call(session, name, attempt)
            results.append((status, seen, deployment.count_runs(attempt)))
        return results

    results = run(scenario)
    assert {seen for status, seen, _ in results if status == 200} <= {body}
    assert [r for r in results if r[0] in (408, 421, 429, 503) and r[2]] == []
    assert any(runs for _, _, runs in results)


SECOND_RESPONSES = [
    "error",
    "refuse",
    "reset",
    "half",
    "other_id",
    "unsigned",
    "encoded",
    "garbage",
    "never",
    "empty_success",
    "partial_content",
    "trickle",
    "head_broken_after_length",
]


async def receive_until_closed(caller):
    """Return all bytes that arrive until the connection ends."""
    async with asyncio.timeout(10):
        while data := await caller.read():
            caller.received += data
    return caller.received


@pytest.mark.parametrize("second", SECOND_RESPONSES)
def test_broken_stream_stays_incomplete_whatever_the_next_server_answers(second):
    async def scenario(deployment, session):
        await deployment.call(session, "chat", "id-0")
        for worker in deployment.workers.values():
            worker.response_mode = "half" if "id-0" in worker.executed_attempts else second
        caller = RawCaller(deployment.front, HOST)
        caller.send_request("chat", "id-1", headers=ADAPTER)
        return await receive_until_closed(caller)

    received = run(scenario)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert not body.endswith(b"0\r\n\r\n")
    events = b"".join(body.split(b"\r\n")[1::2])  # the data of the chunks
    assert events and STREAM.startswith(events)


INVALID_STATUS_ROUTES = [("pay", {1}), ("read", {1, 2}), ("draft", {1})]


@pytest.mark.parametrize("is_forwarded", [False, True], ids=["direct", "forwarded"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_status_of_no_final_response_is_not_passed_on(status, is_forwarded):
    async def play(first, other, session):
        other.set_response_mode(f"status_{status}")
        return [
            (await first.call(session, name, f"id-{name}"), other.count_runs(f"id-{name}") in runs)
            for name, runs in INVALID_STATUS_ROUTES
        ]

    if is_forwarded:
        outcomes = run_stranded(play)
    else:
        outcomes = run(lambda deployment, session: play(deployment, deployment, session))
    assert [(answer[0], is_expected) for answer, is_expected in outcomes] == [(502, True)] * 3


ODD_HEADS = [
    ("control-character-in-a-value", "head_control_character", "pay", 502),
    ("control-character-in-the-head-of-a-stream", "head_control_character", "draft", 502),
    ("control-character-in-a-resumable-stream", "head_control_character", "chat", 502),
    ("two-signatures", "head_two_stamps", "pay", 502),
    ("signature-that-is-empty", "head_empty_stamp", "pay", 502),
    ("two-attempt-ids", "head_two_attempt_ids", "draft", 502),
    ("options-that-name-the-signature", "head_options", "draft", 200),
    ("organisation-in-an-answer", "head_organisation", "pay", 200),
]


@pytest.mark.parametrize("is_forwarded", [False, True], ids=["direct", "forwarded"])
@pytest.mark.parametrize(
    ("response_mode", "name", "status"), [h[1:] for h in ODD_HEADS], ids=[h[0] for h in ODD_HEADS]
)
def test_answer_has_a_whole_head_and_one_signature(response_mode, name, status, is_forwarded):
    async def play(first, other, session):
        other.set_response_mode(response_mode)
        caller = RawCaller(first.front, HOST)
        caller.send_request(name, "id-1", headers="" if name == "pay" else ADAPTER)
        answer = await caller.receive()
        caller.close()
        return answer

    if is_forwarded:
        answer = run_stranded(play)
    else:
        answer = run(lambda deployment, session: play(deployment, deployment, session))
    assert answer[0] == status
    assert status != 200 or answer[1].count("\r\nx-server-stamp: s.1\r\n") == 1
    assert "x-tenant" not in answer[1] and "x-key" not in answer[1]


def test_caller_of_an_earlier_protocol_version_is_refused():
    """Guards against streams whose breaking off such a caller cannot notice."""

    async def scenario(deployment, session):
        caller = RawCaller(deployment.front, HOST)
        head = f"POST /chat/1 HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: id-1\r\n{ADAPTER}"
        caller.send(f"{head}Content-Length: 5\r\n\r\norder".encode())
        answer = await caller.receive()
        return answer[0], deployment.count_runs("id-1")

    assert run(scenario) == (400, 0)


UNENDING = [
    ("trickled-response", "trickle", "pay", {504}),
    ("trickled-response-that-may-be-retried", "trickle", "read", {502, 504}),
    ("trickled-stream", "trickle", "draft", {504}),
    ("trickled-stream-that-may-be-resumed", "trickle", "chat", {502, 504}),
    ("slow-and-sound-stream", "paced", "draft", {200}),
    ("slow-and-sound-stream-that-may-be-resumed", "paced", "chat", {200}),
]


@pytest.mark.parametrize(
    ("response_mode", "name", "statuses"), [u[1:] for u in UNENDING], ids=[u[0] for u in UNENDING]
)
def test_only_streams_without_events_are_ended(response_mode, name, statuses):
    async def scenario(deployment, session):
        if name in ("chat", "draft"):
            await deployment.call(session, name, "id-0")
        deployment.set_response_mode(response_mode)
        status, body = await deployment.call(session, name, "id-1")
        return status, body, deployment.shell.node.relays.open_count()

    status, body, open_count = run(scenario)
    assert status in statuses
    assert status != 200 or body == STREAM
    assert open_count == 0


LARGE_EVENTS = 14  # of 0.9 MB each: more than the buffers of a connection on loopback hold


def test_caller_that_reads_late_gets_each_event_once(monkeypatch):
    """A caller that does not read holds the gateway up, and not the backend server."""
    # A stalled run is moved wherever it may be.
    monkeypatch.setattr(ServerSelector, "find_better_server", lambda self, relay, now: "any")

    async def scenario(deployment, session):
        await deployment.call(session, "chat", "id-0")
        slow = {"timeoutMs": 9000, "goalLatencyMs": 3000, "resumable": True, "gapAimMs": 250}
        routes = [route("chat", "streaming", "llm", **slow)]
        deployment.store.put("op/config", dumps({**CONFIG, "version": 4, "routes": routes}))
        await wait_until(lambda: deployment.shell.node.fleet.config.version == 4)
        for worker in deployment.workers.values():
            worker.events, worker.padding = LARGE_EVENTS, 900_000
        caller = RawCaller(deployment.front, HOST, receive_bytes=8192)
        caller.send_request("chat", "id-1", deadline_ms=9000, headers=ADAPTER)
        await wait_until(lambda: deployment.count_runs("id-1"))
        await asyncio.sleep(1.2)  # more than the pause of events after which a run is stalled
        received = bytearray()
        async with asyncio.timeout(10):
            while not received.endswith(b"\r\n0\r\n\r\n") and (data := await caller.read()):
                received += data
        numbers = [int(part.partition(b"\n")[0]) for part in received.split(b"id: ")[1:]]
        return numbers, deployment.count_runs("id-1")

    assert run(scenario) == (list(range(1, LARGE_EVENTS + 1)), 1)


REQUEST_LINE = b"POST /pay/1 HTTP/1.1\r\nHost: h.example\r\n"
MALFORMED = [
    ("no-http", b"\x00\xff\xfe no http\r\n\r\n"),
    ("tls-handshake", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(64)),
    ("negative-length", REQUEST_LINE + b"Content-Length: -5\r\n\r\n"),
    ("two-lengths", REQUEST_LINE + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nordero"),
    ("length-without-digits", REQUEST_LINE + b"Content-Length: five\r\n\r\n"),
    ("malformed-chunk", REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\nzz\r\norder\r\n"),
    (
        "length-and-chunks",
        REQUEST_LINE + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
    ),
    ("header-without-colon", REQUEST_LINE + b"nonsense\r\n\r\n"),
    ("long-header", REQUEST_LINE + b"X-Long: " + b"x" * 40000 + b"\r\n\r\n"),
    ("many-headers", REQUEST_LINE + b"X-A: 1\r\n" * 5000 + b"\r\n"),
    ("long-path", b"POST /" + b"p" * 40000 + b" HTTP/1.1\r\nHost: h.example\r\n\r\n"),
    ("no-host", b"POST /pay/1 HTTP/1.1\r\n\r\n"),
    ("other-version", b"POST /pay/1 HTTP/9.9\r\nHost: h.example\r\n\r\n"),
    ("invalid-target", b"POST http://[::1 HTTP/1.1\r\nHost: h.example\r\n\r\n"),
    ("upgrade", REQUEST_LINE + b"Upgrade: x\r\nConnection: upgrade\r\n\r\n\x00\x01"),
    (
        "bytes-in-headers",
        REQUEST_LINE + b"X-Attempt-Id: \xff\xfe\r\nX-Model: \xff/\xff\r\nX-Token-Usage: \xb2,,\r\n"
        b"X-Prompt-Prefix: \xff:\xff,,:\r\nX-Deadline-Ms: 9e99\r\nContent-Length: 0\r\n\r\n",
    ),
    (
        "bytes-in-the-model-of-a-stream",
        b"POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: i\r\nX-Model: m0/\xff\r\n\r\n",
    ),
    ("bytes-in-the-path", b"POST /none/\xff HTTP/1.1\r\nHost: h.example\r\n\r\n"),
    ("bytes-in-the-host", b"POST /pay/1 HTTP/1.1\r\nHost: \xff\xfe\r\n\r\n"),
    ("bytes-in-the-attempt-id", REQUEST_LINE + b"X-Attempt-Id: \xff\r\nContent-Length: 0\r\n\r\n"),
    ("line-break-in-the-path", b"POST /none/%0d%0aX: HTTP/1.1\r\nHost: h.example\r\n\r\n"),
]
FAULT_EVENTS = {"node_failed", "effect_failed", "task_failed"}


@pytest.mark.parametrize("data", [m[1] for m in MALFORMED], ids=[m[0] for m in MALFORMED])
def test_malformed_message_is_answered_and_harms_no_other(data, caplog):
    async def scenario(deployment, session):
        caller = RawCaller(deployment.front, HOST)
        caller.send(data)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(data[:1000], parse_address(deployment.addresses[2]))
        result = await deployment.call(session, "pay", "id-1")
        if b"upgrade" not in data and b"chunked" not in data:
            await caller.receive()
        caller.close()
        second = await deployment.call(session, "read", "id-2")
        await wait_until(lambda: not deployment.shell.node.relays.open_count())
        return result, second, deployment.shell.crashed

    assert run(scenario) == ((200, b"paid"), (200, b"paid"), False)
    assert FAULT_EVENTS.isdisjoint(getattr(r, "event", "") for r in caplog.records)
