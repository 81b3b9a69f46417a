"""One connection between two nodes, and the settings of all of them."""

import asyncio
import socket
from abc import ABC, abstractmethod

from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.peer_frames import FrameReader

__all__ = ["LinkListener", "LinkSettings", "Peer", "PeerLink"]

# Longest frame before the handshake is complete: a Hello with two names of 128 bytes has room.
HANDSHAKE_FRAME_BYTES = 1024

_EVENT_OF = {Hello: "hello", Challenge: "challenge", Proof: "proof"}


class LinkListener(ABC):
    """Gets the events of the peer links."""

    __slots__ = ()

    @abstractmethod
    def on_message(self, sender, body):
        """Take a message of the node `sender`."""

    @abstractmethod
    def on_up(self, node, incarnation):
        """Note that the link to `node` is set up."""

    @abstractmethod
    def on_down(self, node):
        """Note that the link to `node` is closed; follows each `on_up`."""


class LinkSettings(Record):
    """Settings of the peer links of a node.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : int
    listen : str
        ``ip:port``; port 0 lets the system choose.
    peers : dict of str to str
        Name of each peer to its ``ip:port``.
    queue_bytes : int
        Bytes that wait at most on one link; at least the longest frame.
    connect_timeout_s, handshake_timeout_s : float
    backoff_base_s, backoff_max_s : float
        Wait before the first and before later attempts to dial.
    unacknowledged_s : float
        Time after which the kernel gives up a link whose data are not acknowledged.
    flush_s : float
        Time that a stopping node gives its peers to read its last messages.
    max_handshakes : int
        Accepted connections that may be unauthenticated at a time.
    """

    __slots__ = (
        "backoff_base_s",
        "backoff_max_s",
        "connect_timeout_s",
        "flush_s",
        "handshake_timeout_s",
        "incarnation",
        "listen",
        "max_handshakes",
        "name",
        "peers",
        "queue_bytes",
        "unacknowledged_s",
    )

    def __init__(
        self,
        name,
        incarnation,
        listen,
        peers,
        *,
        queue_bytes=4 * 1024 * 1024,
        connect_timeout_s=3.0,
        handshake_timeout_s=5.0,
        backoff_base_s=0.1,
        backoff_max_s=3.0,
        unacknowledged_s=10.0,
        flush_s=1.0,
        max_handshakes=64,
    ):
        self.name = name
        self.incarnation = incarnation
        self.listen = listen
        self.peers = dict(peers)
        self.queue_bytes = queue_bytes
        self.connect_timeout_s = connect_timeout_s
        self.handshake_timeout_s = handshake_timeout_s
        self.backoff_base_s = backoff_base_s
        self.backoff_max_s = backoff_max_s
        self.unacknowledged_s = unacknowledged_s
        self.flush_s = flush_s
        self.max_handshakes = max_handshakes


class Peer:
    """What this process knows of another node.

    Parameters
    ----------
    name, host : str
    port : int
    """

    __slots__ = ("host", "incarnation", "is_reported", "link", "name", "port")

    def __init__(self, name, host, port):
        self.name = name
        self.host = host
        self.port = port
        self.incarnation = 0  # the greatest that was authenticated
        self.link = None  # the link that messages are sent on
        self.is_reported = False  # the log says that it cannot be dialled


class PeerLink(asyncio.Protocol):
    """A connection to another node; its state is driven by the chart ``peer_link``.

    Parameters
    ----------
    owner : PeerLinks
    state : str
        Initial state of the chart.
    peer : Peer or None
        The node that was dialled, None for an accepted connection.
    """

    __slots__ = (
        "challenge",
        "closed",
        "hello",
        "owner",
        "peer",
        "reader",
        "remote",
        "state",
        "timer",
        "transport",
        "was_up",
    )

    def __init__(self, owner, state, peer=None):
        self.owner = owner
        self.state = state
        self.peer = peer
        self.reader = FrameReader(HANDSHAKE_FRAME_BYTES)
        self.hello = None
        self.challenge = None
        self.transport = None
        self.timer = None
        self.remote = ""
        self.was_up = False
        self.closed = asyncio.Event()

    def connection_made(self, transport):
        """Start the handshake."""
        self.transport = transport
        host, port = transport.get_extra_info("peername")[:2]
        self.remote = f"{host}:{port}"
        # After a partition, TCP alone may wait minutes until it sends again.
        milliseconds = round(self.owner.settings.unacknowledged_s * 1000)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        self.owner.start_handshake(self)

    def data_received(self, data):
        """Pass each message of the peer on until the link is closed."""
        messages = self.reader.messages(data)
        while not self.closed.is_set():
            try:
                body = next(messages, None)
            except FormatError as error:
                self.owner.fire(self, "fail", f"bad frame: {error}")
                return
            if body is None:
                return
            self.owner.fire(self, _EVENT_OF.get(type(body), "body"), body)

    def connection_lost(self, error):
        """Note that the connection is closed."""
        self.owner.fire(self, "fail", f"connection lost: {error or 'closed by the peer'}")
        self.closed.set()
