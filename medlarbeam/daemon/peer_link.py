"""Connection between two nodes, and the settings of the peer links of a node."""

import asyncio
import socket
from abc import ABC, abstractmethod

from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.peer_frames import FrameReader

__all__ = ["LinkListener", "LinkSettings", "Peer", "PeerLink"]

# Frame limit until the handshake is complete; a Hello with two names of 128 bytes fits in.
MAX_HANDSHAKE_FRAME_BYTES = 1024

_HANDSHAKE_EVENTS = {Hello: "hello", Challenge: "challenge", Proof: "proof"}


class LinkListener(ABC):
    """Receiver of the events of the peer links."""

    __slots__ = ()

    @abstractmethod
    def on_message(self, sender, message):
        """Handle a message from the node `sender`."""

    @abstractmethod
    def on_link_up(self, node, incarnation):
        """Handle the completed handshake of the link to `node`."""

    @abstractmethod
    def on_link_down(self, node):
        """Handle the loss of the link to `node`; called once after each `on_link_up`."""


class LinkSettings(Record):
    """Settings of the peer links of a node.

    Parameters
    ----------
    name : str
        Name of this node.
    incarnation : int
        Incarnation of this node.
    listen : str
        ``ip:port`` of the listening socket; with port 0 the system assigns a port.
    peers : dict of str to str
        ``ip:port`` of each peer, by the name of the peer.
    queue_bytes : int
        Limit of the send queue of a link; at least the size of the longest frame.
    connect_timeout_s, handshake_timeout_s : float
    backoff_base_s, backoff_max_s : float
        First and maximum delay before a new attempt to connect.
    user_timeout_s : float
        Time after which the kernel closes a connection whose data are not acknowledged.
    flush_timeout_s : float
        Maximum time for which a stopping node waits until its peers have read its last messages.
    max_handshakes : int
        Maximum number of simultaneous connections whose handshake is not complete.
    """

    __slots__ = (
        "backoff_base_s",
        "backoff_max_s",
        "connect_timeout_s",
        "flush_timeout_s",
        "handshake_timeout_s",
        "incarnation",
        "listen",
        "max_handshakes",
        "name",
        "peers",
        "queue_bytes",
        "user_timeout_s",
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
        user_timeout_s=10.0,
        flush_timeout_s=1.0,
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
        self.user_timeout_s = user_timeout_s
        self.flush_timeout_s = flush_timeout_s
        self.max_handshakes = max_handshakes


class Peer:
    """State of the peer connection to another node.

    Parameters
    ----------
    name, host : str
    port : int
    """

    __slots__ = ("host", "incarnation", "is_failure_logged", "link", "name", "port")

    def __init__(self, name, host, port):
        self.name = name
        self.host = host
        self.port = port
        self.incarnation = 0  # the highest authenticated incarnation
        self.link = None  # the authenticated link in use
        self.is_failure_logged = False  # a failure to connect was logged


class PeerLink(asyncio.Protocol):
    """Connection to another node, with the state chart ``peer_link``.

    Parameters
    ----------
    owner : PeerLinks
    state : str
        Initial state of the chart.
    peer : Peer or None
        The node that was dialled; None for an accepted connection until its Hello arrives.
    """

    __slots__ = (
        "challenge",
        "closed",
        "hello",
        "owner",
        "peer",
        "reader",
        "remote_address",
        "state",
        "timer",
        "transport",
        "was_up",
    )

    def __init__(self, owner, state, peer=None):
        self.owner = owner
        self.state = state
        self.peer = peer
        self.reader = FrameReader(MAX_HANDSHAKE_FRAME_BYTES)
        self.hello = None
        self.challenge = None
        self.transport = None
        self.timer = None
        self.remote_address = ""
        self.was_up = False
        self.closed = asyncio.Event()

    def connection_made(self, transport):
        """Start the handshake."""
        self.transport = transport
        host, port = transport.get_extra_info("peername")[:2]
        self.remote_address = f"{host}:{port}"
        # After a network partition, the default TCP retransmission may pause for minutes.
        milliseconds = round(self.owner.settings.user_timeout_s * 1000)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        self.owner.start_handshake(self)

    def data_received(self, data):
        """Pass each message of the peer to the chart until the link is closed."""
        messages = self.reader.messages(data)
        while not self.closed.is_set():
            try:
                message = next(messages, None)
            except FormatError as error:
                self.owner.fire(self, "fail", f"invalid frame: {error}")
                return
            if message is None:
                return
            self.owner.fire(self, _HANDSHAKE_EVENTS.get(type(message), "message"), message)

    def connection_lost(self, error):
        """Close the link after the connection was lost."""
        self.owner.fire(self, "fail", f"connection lost: {error or 'closed by the peer'}")
        self.closed.set()
