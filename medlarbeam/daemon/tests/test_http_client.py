"""Client sessions of all outside systems.

Guards against servers whose faulty status is taken for that of an answer.
"""

import asyncio

import pytest
from aiohttp import ClientTimeout

from medlarbeam.daemon.http_client import (
    InvalidStatusError,
    SendGuard,
    apply_send_guard,
    open_session,
)

STATUSES = [
    ("success", "200", None),
    ("last-server-error", "599", None),
    ("below-informational", "000", InvalidStatusError),
    ("switching-protocols", "101", InvalidStatusError),
    ("above-server-errors", "600", InvalidStatusError),
    ("largest", "999", InvalidStatusError),
]


@pytest.mark.parametrize(
    ("status", "error"), [s[1:] for s in STATUSES], ids=[s[0] for s in STATUSES]
)
def test_status_of_no_final_response_is_an_error(status, error):
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode())
        await reader.read()
        closed.set()
        writer.close()

    async def call():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            async with open_session(ClientTimeout(total=5)) as session:
                with apply_send_guard(SendGuard()):
                    async with session.get(f"http://127.0.0.1:{port}/") as response:
                        return response.status, await response.read()
        finally:
            async with asyncio.timeout(5):
                await closed.wait()
            server.close()

    if error is None:
        assert asyncio.run(call()) == (int(status), b"ok")
    else:
        with pytest.raises(error):
            asyncio.run(call())
