"""Processes of the case beside the script, so that their work doesn't delay what it measures.

``worker PORT TROUBLE`` is a worker of the streaming service. With TROUBLE 1 the body of its answers
is a line feed without end, until the caller closes; else it is a stream of ten events.
``client HOST PORT ATTEMPT`` asks for one stream, reads it as it comes, and prints how long it took
and how it ended.
"""

import asyncio
import json
import socket
import sys
import time

EVENTS = 10
EVENT_PAUSE_S = 0.03
GARBAGE = b"\n" * 65536
REPORT = {
    "phase": "colocated",
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "busy": False,
    "seq": 0,
    "queued": 0,
    "active": 0,
    "kvInUse": 0,
    "kvLimit": 90000,
    "handles": 0,
    "coming": [],
}


async def answer(writer, path, attempt, has_trouble):
    """Write the answer to one request."""
    if path == "/order":  # no request asks for an adapter, so none is due
        writer.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
        return
    if path == "/report":
        body = json.dumps(REPORT).encode()
        head = f"HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
        writer.write(f"{head}\r\n\r\n".encode() + body)
        return
    print(f"runs {attempt}", flush=True)
    writer.write(
        f"HTTP/1.1 200 X\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: s.{attempt}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )
    if has_trouble:
        while not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(GARBAGE), GARBAGE))
            await writer.drain()
        return
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_PAUSE_S)
        event = b"id: %d\ndata: token\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def serve(reader, writer, has_trouble):
    """Serve the requests of one connection."""
    try:
        while True:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            await reader.readexactly(int(headers.get("content-length") or 0))
            path = lines[0].split(" ")[1]
            await answer(writer, path, headers.get("x-attempt-id", ""), has_trouble)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def run_worker(port, has_trouble):
    """Listen until the process is ended."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, has_trouble), "127.0.0.1", port
    )
    await server.serve_forever()


def run_client(host, port, attempt):
    """Ask for one stream and print how it ended."""
    began = time.monotonic()
    size = 0
    start = b""
    with socket.create_connection((host, port)) as connection:
        connection.settimeout(7.0)
        connection.sendall(
            f"POST /chat/2f HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: {attempt}\r\n"
            "X-Deadline-Ms: 5000\r\nX-Model: m0\r\nConnection: close\r\n"
            "Content-Length: 8\r\n\r\nquestion".encode()
        )
        end = "closed"
        try:
            while data := connection.recv(1 << 18):
                start = (start + data)[:12]
                size += len(data)
        except OSError as error:
            end = type(error).__name__
    seconds = time.monotonic() - began
    print(f"{seconds:.3f}")
    print(f"{attempt}: {start.decode('latin-1')}, {size} bytes, {end} after {seconds:.2f} s")


if __name__ == "__main__":
    if sys.argv[1] == "worker":
        asyncio.run(run_worker(int(sys.argv[2]), sys.argv[3] == "1"))
    else:
        run_client(sys.argv[2], int(sys.argv[3]), sys.argv[4])
