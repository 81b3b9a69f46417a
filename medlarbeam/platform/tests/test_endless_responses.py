"""Backend servers whose responses do not end, to many requests at once.

Guards against a faulty backend server that takes the event loop for itself, so that requests to
other servers get no response in time.
"""

import asyncio

import pytest

from medlarbeam.algorithms.read_pacing import (
    BURST_EVENTS,
    EVENTS_PER_S,
    READ_AHEAD_BYTES,
    ReadPacing,
)
from medlarbeam.daemon import http_client
from medlarbeam.platform.tests.test_whole_path import BROKEN, run

STREAMS = 16
PAYMENTS = 12
PAYMENT_INTERVAL_S = 0.1

ENDLESS_STREAMS = [
    ("line-feeds", "endless_line_feeds"),
    ("events-without-ids", "endless_events_without_id"),
    ("events-with-ids", "endless_events"),
    ("interim-responses", "endless_early_hints"),
    ("further-responses", "endless_responses"),
    ("header-lines", "endless_head"),
    ("one-event", "endless_body"),
    ("chunks-of-one-byte", "endless_small_chunks"),
]


async def pay_beside_streams(deployment, session, response_mode):
    """Return the statuses of payments to sound servers while streams do not end, and of these."""
    await deployment.call(session, "chat", "id-0")
    for name, worker in deployment.workers.items():
        worker.response_mode = response_mode if name.startswith("w") else "good"
    streams = [
        asyncio.create_task(deployment.call(session, "draft", f"stream-{number}"))
        for number in range(STREAMS)
    ]
    payments = []
    for number in range(PAYMENTS):
        await asyncio.sleep(PAYMENT_INTERVAL_S)
        payments.append(asyncio.create_task(deployment.call(session, "pay", f"id-{number}")))
    payments = await asyncio.gather(*payments)
    streams = [status for status, _ in await asyncio.gather(*streams)]
    refused = [number for number, status in enumerate(streams) if status == 503]
    assert not any(deployment.count_runs(f"stream-{number}") for number in refused)
    return [status for status, _ in payments], set(streams)


@pytest.mark.parametrize(
    "response_mode", [e[1] for e in ENDLESS_STREAMS], ids=[e[0] for e in ENDLESS_STREAMS]
)
def test_payments_are_served_beside_streams_without_end(response_mode):
    async def scenario(deployment, session):
        return await pay_beside_streams(deployment, session, response_mode)

    payments, streams = run(scenario)
    assert payments == [200] * PAYMENTS
    assert streams <= {BROKEN, 200, 502, 503, 504}


MAX_HEADS = [
    ("one-interim-response-is-skipped", 1, True),
    ("interim-responses-up-to-the-limit", http_client.MAX_MESSAGES - 1, True),
    ("interim-responses-above-the-limit", http_client.MAX_MESSAGES, False),
]


@pytest.mark.parametrize(
    ("count", "is_served"), [m[1:] for m in MAX_HEADS], ids=[m[0] for m in MAX_HEADS]
)
def test_number_of_interim_responses_is_bounded(count, is_served):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 103 X\r\n\r\n" * count)
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
        await reader.read()
        writer.close()

    async def execute():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, http_client.open_session(None) as session:
            with http_client.apply_send_guard(http_client.SendGuard()):
                try:
                    async with session.get(f"http://127.0.0.1:{port}/") as response:
                        return await response.text()
                except http_client.CALL_ERRORS:
                    return ""

    assert asyncio.run(execute()) == ("ok" if is_served else "")


# Blocks: events, bytes of text and from the network, and the pause (s) before each; the wait (s)
# after the last one.
ONE_SECOND = int(EVENTS_PER_S)
BURST = int(BURST_EVENTS)
BLOCKS = [
    ("usual-stream-is-never-delayed", [(1, 900, 930, 0.04)] * 5000, 0.0),
    ("large-events-are-not-delayed", [(1, 1 << 20, 1 << 20, 0.04)] * 500, 0.0),
    ("text-that-was-read-ahead-is-no-framing", [(0, 1 << 14, 1 << 19, 0.0)], 0.0),
    ("as-much-text-as-a-connection-reads-ahead", [(0, 1 << 14, 768 << 10, 0.0)], 0.0),
    ("events-that-have-piled-up-come-at-once", [(BURST, 0, 0, 0.0)], 0.0),
    ("more-events-than-the-burst", [(BURST, 0, 0, 0.0), (ONE_SECOND, 0, 0, 0.0)], 1.0),
    ("wait-is-over-after-its-time", [(BURST + ONE_SECOND, 0, 0, 0.0), (0, 0, 0, 1.0)], 0.0),
    ("idle-time-saves-no-more-than-a-burst", [(0, 0, 0, 60.0), (2 * BURST, 0, 0, 0.0)], 1.0),
    ("chunks-of-one-byte", [(0, 1 << 16, 6 << 16, 0.0)] * 8, 1.0),
]


@pytest.mark.parametrize(("blocks", "wait_s"), [b[1:] for b in BLOCKS], ids=[b[0] for b in BLOCKS])
def test_stream_is_read_at_a_bounded_pace(blocks, wait_s):
    now = 7.0
    pacing = ReadPacing(now)
    received = 0
    for event_count, text_bytes, received_bytes, pause_s in blocks:
        now += pause_s
        received += received_bytes
        result = pacing.record(event_count, text_bytes, received, now)
    assert result == 0.0 if wait_s == 0.0 else result >= wait_s


LARGE_BODY_BYTES = 4 << 20
BODY_FRAMINGS = [
    ("with-a-length", b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES, b""),
    (
        "in-one-chunk",
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % LARGE_BODY_BYTES,
        b"\r\n0\r\n\r\n",
    ),
]


@pytest.mark.parametrize(
    ("head_end", "body_end"), [f[1:] for f in BODY_FRAMINGS], ids=[f[0] for f in BODY_FRAMINGS]
)
def test_text_that_a_connection_reads_ahead_is_never_taken_for_framing(head_end, body_end):
    """Guards against delays of sound streams of large events, which were taken for stalled runs."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\n" + head_end + bytes(LARGE_BODY_BYTES) + body_end)
        await reader.read()
        writer.close()

    async def read_slowly(response):
        text_bytes = ahead_bytes = 0
        while text_bytes < LARGE_BODY_BYTES:
            protocol = response.connection.protocol if response.connection else None
            if protocol is not None:
                ahead_bytes = max(ahead_bytes, protocol.received_bytes - text_bytes)
            text_bytes += len(await response.content.read(1 << 14))
            await asyncio.sleep(0.001)  # for what can be read ahead to arrive
        return ahead_bytes

    async def execute():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, http_client.open_session(None) as session:
            with http_client.apply_send_guard(http_client.SendGuard()):
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    return await read_slowly(response)

    head_bytes = 1 << 10
    assert 1 << 18 < asyncio.run(execute()) <= READ_AHEAD_BYTES + head_bytes
