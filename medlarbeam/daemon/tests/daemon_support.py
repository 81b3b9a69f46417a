"""Test helpers of the daemon: a recording node driver and a scripted HTTP server."""

import asyncio
import socket

from medlarbeam.classes.cells import BackendServer
from medlarbeam.daemon.effect_handlers import NodeDriver
from medlarbeam.daemon.settings import read_settings

TEST_TIMEOUT_S = 20  # limit for a test that hangs; no result depends on it
OPERATOR_SECRET = "operator-secret-0123"


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


def find_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_settings(**changes):
    fields = {
        "name": "n1",
        "cell": "c1",
        "failure_domain": "d1",
        "http_listen": f"127.0.0.1:{find_free_port()}",
        "peer_listen": "127.0.0.1:0",
        "kv_address": "127.0.0.1:1",
        "vm_list_address": "127.0.0.1:1",
        "operator_secret": OPERATOR_SECRET,
    } | changes
    environ = {f"MEDLARBEAM_{name.upper()}": text for name, text in fields.items()}
    return read_settings([], environ, 7)


def make_backend(port, service=""):
    return BackendServer("b1", f"127.0.0.1:{port}", "d1", "c1", service)


class RecordingDriver(NodeDriver):
    """Records the delivered messages and passes each one to `script`, which may run effects."""

    __slots__ = ("clock", "messages", "received", "script")

    def __init__(self, script=None):
        self.messages = []
        self.received = asyncio.Event()
        self.clock = 100.0
        self.script = script

    def deliver(self, message):
        self.messages.append(message)
        self.received.set()
        if self.script is not None:
            self.script(message)

    async def wait_for(self, kind):
        while not any(isinstance(m, kind) for m in self.messages):
            self.received.clear()
            await self.received.wait()
        return next(m for m in self.messages if isinstance(m, kind))

    def read_clock(self):
        return self.clock

    def read_wall_clock(self):
        return 1_700_000_000.0

    def is_ready(self):
        return False

    def catalog_revision(self):
        return 41

    def confirm_age(self):
        return 1.5


class ScriptedServer:
    """Sends the nth reply (bytes) to the nth request, whatever the request is.

    Closes the connection after an empty reply and after one with ``Connection: close``. A reply of
    None leaves the request without a response.
    """

    __slots__ = ("closed", "connections", "replies", "requests", "server")

    def __init__(self, replies):
        self.replies = list(replies)
        self.requests = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.server = None

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *error):
        self.server.close()

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def handle_connection(self, reader, writer):
        self.connections += 1
        try:
            while True:
                header = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = [line for line in header.splitlines() if line.startswith("Content-Length")]
                body = await reader.readexactly(int(size[0].split()[1]) if size else 0)
                self.requests.append((header, body))
                reply = self.replies.pop(0)
                if reply is None:
                    continue
                writer.write(reply)
                await writer.drain()
                if not reply or b"Connection: close" in reply:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


def reply(status, body=b"", *headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def event_stream(*events, extra=b""):
    """Return a complete reply of server-sent events on a connection that stays open."""
    body = b"".join(b"data: " + event + b"\n\n" for event in events)
    header = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + extra
    return header + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
