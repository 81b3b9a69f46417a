"""Callers that send without end or hold open what they began must not take the process down.

Guards against a gateway that runs out of memory, runs out of descriptors or stops answering.
"""

import asyncio
import socket
import struct

import pytest

from medlarbeam.platform.tests.gateway_process import HOST, SingleGateway

CALLERS = 40
CROWD_S = 4.0
RECONNECT_S = 0.02
MAX_MEMORY_MB = 120  # of 160 MB on the smallest machine; a process starts with about 50 MB
MAX_DESCRIPTORS = 100
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20}

HEAD = f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-Fill: " + b"f" * 4086 + b"\r\n"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset
READ = HEAD.replace(b"POST", b"GET") + b"\r\n"
WHOLE = HEAD + b"Content-Length: 5\r\n\r\norder"
CONTRADICTION = (
    HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n"
)
UPGRADE = HEAD + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"


class Sender:
    """What a caller of a crowd sends; it never reads.

    Parameters
    ----------
    start, block : bytes
        `block` is repeated after `start`.
    blocks : int
        Number of blocks, after which the connection is held open.
    pause_s : float
        Pause (s) before each block.
    resets : bool
        Whether the connection is reset at the end instead.
    """

    __slots__ = ("block", "blocks", "pause_s", "resets", "start")

    def __init__(self, start, block=b"", blocks=1 << 40, pause_s=0.0, resets=False):
        self.start = start
        self.block = block
        self.blocks = blocks if block else 0
        self.pause_s = pause_s
        self.resets = resets

    async def run(self, address):
        """Send on one connection after the other until cancelled."""
        while True:
            with socket.socket() as sock:
                sock.setblocking(False)
                try:
                    await self.send(sock, address)
                except OSError:
                    pass
            await asyncio.sleep(RECONNECT_S)

    async def send(self, sock, address):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, self.start)
        for _ in range(self.blocks):
            await asyncio.sleep(self.pause_s)
            await loop.sock_sendall(sock, self.block)
        if self.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        else:
            await asyncio.sleep(3600.0)


RESETS = [b"", HEAD, HEAD + b"\r\n", CHUNKED, CHUNKED + b"5\r\nor", CHUNKED + b"0\r\nX:", WHOLE]
CROWDS = {
    "head-without-end": [Sender(HEAD, LINE)],
    "header-line-without-end": [Sender(HEAD + b"X-Fill: ", b"f" * 4096)],
    "empty-lines-without-end": [Sender(b"", b"\r\n" * 2048)],
    "one-byte-chunks-held-open": [Sender(CHUNKED, b"1\r\nx\r\n" * 1024, (4 << 10) - 1)],
    "large-chunks-held-open": [Sender(CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n", 63)],
    "chunk-extension-without-end": [Sender(CHUNKED + b"5;a=", b"e" * 4096)],
    "chunk-size-of-1000-digits": [Sender(CHUNKED + b"1" * 1000 + b"\r\n")],
    "chunk-size-of-zeros-without-end": [Sender(CHUNKED, b"0" * 1000)],
    "trailer-without-end": [Sender(CHUNKED + b"5\r\norder\r\n0\r\n", LINE)],
    "pipelined-requests-with-unread-responses": [Sender(b"", READ * 20, 500)],
    "connections-without-a-byte": [Sender(b"")],
    "trickling-heads": [Sender(HEAD + b"X-Fill: ", b"f", pause_s=0.05)],
    "length-that-contradicts-chunks": [Sender(CONTRADICTION)],
    "resets-in-each-state": [Sender(data, resets=True) for data in RESETS],
    "upgrades-with-data-behind": [Sender(UPGRADE, b"d" * 4096)],
}


@pytest.mark.parametrize("senders", CROWDS.values(), ids=CROWDS)
def test_process_survives(senders, tmp_path):
    async def execute():
        async with SingleGateway(tmp_path, LIMITS) as gateway:
            host, _, port = gateway.gateway.front_address.rpartition(":")
            crowd = [
                asyncio.create_task(senders[i % len(senders)].run((host, int(port))))
                for i in range(CALLERS)
            ]
            await asyncio.sleep(CROWD_S)
            status = await gateway.pay()
            seen = gateway.read_memory(), gateway.count_descriptors(), status
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            return gateway.gateway.process.returncode, *seen

    exit_status, memory_mb, descriptors, status = asyncio.run(execute())
    print(f"memory {memory_mb[0]} MB, peak {memory_mb[1]} MB, {descriptors} descriptors, {status}")
    assert exit_status is None
    assert max(memory_mb) <= MAX_MEMORY_MB
    assert descriptors <= MAX_DESCRIPTORS
    assert status == 200
