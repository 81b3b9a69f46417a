"""Workers of the soak send the late bytes that the faults are made for."""

import asyncio
from random import Random

import pytest

from medlarbeam.soak import long_streams
from medlarbeam.soak.worker import SoakWorker

REQUEST = (
    "POST /story/x HTTP/1.1\r\nX-Expect-Instance: engine-0\r\nX-Attempt-Id: {}\r\n"
    "Last-Event-Id: 14\r\nContent-Length: 1\r\n\r\ns"
)
CHUNK = b"1e\r\nid: 16\ndata: v1 engine-0 1 s\n\n\r\n"
END = b"0\r\n\r\n"

# What the second answer on a connection begins with.
CASES = [
    ("no-late-bytes", "", b"HTTP/1.1 200 X\r\nX-Attempt-Id: a.2\r\n"),
    ("late-end", "end", END + b"HTTP/1.1 200 X\r\nX-Attempt-Id: a.2\r\n"),
    ("late-event", "event", CHUNK + END + b"HTTP/1.1 200 X\r\nX-Attempt-Id: a.2\r\n"),
    ("late-answer", "answer", b"HTTP/1.1 200 X\r\nX-Attempt-Id: a.1\r\n"),
    ("stalled-stream-goes-on", "stall", b"HTTP/1.1 200 X\r\nX-Attempt-Id: a.2\r\n"),
]


@pytest.mark.parametrize(("kind", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_bytes_before_the_second_answer(kind, expected, monkeypatch):
    monkeypatch.setattr(long_streams, "LONG_EVENT_PAUSE_S", 0.0)
    monkeypatch.setattr(long_streams, "MAX_STALL_S", 0.01)
    monkeypatch.setattr(long_streams, "BREAK_SHARE", 0.0)
    monkeypatch.setattr(long_streams, "UNFRAMED_SHARE", 0.0)
    monkeypatch.setattr(long_streams, "choose_late", lambda worker: kind)

    async def run():
        worker = SoakWorker("engine-0", Random(1), [], [], [])
        await worker.start()
        host, _, port = worker.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(5.0):
            writer.write(REQUEST.format("a.1").encode())
            first = await reader.readuntil(END)
            writer.write(REQUEST.format("a.2").encode())
            second = await reader.readexactly(len(expected))
        writer.close()
        worker.stop()
        return first, second

    first, second = asyncio.run(run())
    assert first.count(b"id: ") == 2
    assert second == expected
