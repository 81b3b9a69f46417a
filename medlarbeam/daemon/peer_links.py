"""TCP links between nodes.

Each pair of nodes shares one link, which the node with the lexicographically smaller name dials.
With one connection for both directions, both ends see the link go down, and no message waits in a
direction that the other end has already closed.
"""

import asyncio
import logging

from mode import Service

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.daemon.link_auth import (
    NONCE_BYTES,
    challenge_mac,
    is_equal_mac,
    new_nonce,
    proof_mac,
)
from medlarbeam.daemon.peer_link import Peer, PeerLink
from medlarbeam.exceptions import FormatError, SettingsError
from medlarbeam.readwrite.peer_frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    encode_peer_message,
)
from medlarbeam.readwrite.value_codecs import format_value
from medlarbeam.readwrite.vm_list import AddressCodec

__all__ = ["PeerLinks", "backoff_delay", "parse_address"]

log = logging.getLogger(__name__)

_MAX_DOUBLINGS = 16


def backoff_delay(attempt, base_s, max_s, rng):
    """Return the delay (s) before the next attempt to connect.

    Parameters
    ----------
    attempt : int
        Number of consecutive failures.
    base_s, max_s : float
    rng : random.Random

    Returns
    -------
    float
        A random time between half of the exponential delay and the full delay.
    """
    delay = min(max_s, base_s * 2 ** min(attempt, _MAX_DOUBLINGS))
    return delay * rng.uniform(0.5, 1.0)


def parse_address(text):
    """Return the host and port of ``ip:port``; raise SettingsError for any other text."""
    errors = []
    # Port 0 is valid here: the system assigns a port. AddressCodec rejects it.
    checked = f"{text[:-2]}:1" if text.endswith(":0") else text
    AddressCodec().from_json(checked, "address", errors)
    if errors:
        raise SettingsError(f"address {format_value(text)} is not ip:port")
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class PeerLinks(Service):
    """All peer links of a node.

    Parameters
    ----------
    settings : LinkSettings
    secret : bytes
        Secret that all nodes share; authenticates the handshakes.
    rng : random.Random
        Source of the backoff jitter.
    listener : LinkListener

    Attributes
    ----------
    port : int
        Port of the listening socket, assigned by the system if the settings have port 0.
    dropped : int
        Number of messages that were not written to a link.
    """

    def __init__(self, settings, secret, rng, listener, **kwargs):
        if not secret:
            raise SettingsError("the secret of the peer links is empty")
        if settings.queue_bytes < MAX_FRAME_BYTES + LENGTH_BYTES:
            raise SettingsError(f"queue_bytes is below the maximum frame size of {MAX_FRAME_BYTES}")
        self.settings = settings
        self.secret = secret
        self.rng = rng
        self.listener = listener
        self.address = parse_address(settings.listen)
        self.port = self.address[1]
        self.peers = {
            name: Peer(name, *parse_address(text))
            for name, text in settings.peers.items()
            if name != settings.name
        }
        self.links = set()
        self.server = None
        self.dropped = 0
        super().__init__(**kwargs)

    # Service

    async def on_start(self):
        """Listen, and dial the peers with lexicographically greater names."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: PeerLink(self, _CHART.initial), *self.address
        )
        self.port = self.server.sockets[0].getsockname()[1]
        for peer in self.peers.values():
            if peer.name > self.settings.name:
                self.add_future(self._maintain_link(peer))

    async def on_stop(self):
        """Close all links, allowing `flush_timeout_s` for queued messages to be sent."""
        if self.server is None:
            return
        self.server.close()
        links = list(self.links)
        for link in links:
            self.fire(link, "stop", None)
        waits = [asyncio.ensure_future(link.closed.wait()) for link in links]
        if waits:
            await asyncio.wait(waits, timeout=self.settings.flush_timeout_s)
        for link, wait in zip(links, waits, strict=True):
            wait.cancel()
            link.transport.abort()
        await self.server.wait_closed()

    def send(self, node, message):
        """Write a message to the link to `node`, without waiting.

        Parameters
        ----------
        node : str
        message : Record
            Instance of a class of `medlarbeam.classes.peer_messages`.

        Returns
        -------
        bool
            False if the message was dropped, in which case it is certain not to arrive.
        """
        peer = self.peers.get(node)
        link = peer.link if peer is not None else None
        if link is None or not _CHART.has_tag(link, "up") or link.transport.is_closing():
            self.dropped += 1
            return False
        try:
            frame = encode_peer_message(message)
        except FormatError as error:
            self.dropped += 1
            log.error("message to node %s dropped: %s", node, error)
            return False
        if link.transport.get_write_buffer_size() + len(frame) > self.settings.queue_bytes:
            self.dropped += 1
            self.fire(link, "overflow", None)
            return False
        link.transport.write(frame)
        return True

    # Outgoing connections

    async def _maintain_link(self, peer):
        attempt = 0
        while not self.should_stop:
            link = await self._dial(peer)
            if link is not None:
                await link.closed.wait()
            attempt = 0 if link is not None and link.was_up else attempt + 1
            s = self.settings
            await self.sleep(backoff_delay(attempt, s.backoff_base_s, s.backoff_max_s, self.rng))

    async def _dial(self, peer):
        """Return a new link to `peer`, or None if the connection failed."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: PeerLink(self, _CHART.initial, peer), peer.host, peer.port
        )
        try:
            _, link = await asyncio.wait_for(connecting, self.settings.connect_timeout_s)
        except (OSError, TimeoutError) as error:
            if not peer.is_failure_logged:
                peer.is_failure_logged = True
                reason = str(error) or "no answer"
                log.warning("peer link to %s: cannot connect: %s", peer.name, reason)
            return None
        return link

    # Events of connections

    def fire(self, link, event, argument):
        """Fire an event of the chart of `link`."""
        _CHART.fire(link, event, self, argument)

    def start_handshake(self, link):
        """Register a new connection and start its handshake and the handshake timeout."""
        self.links.add(link)
        link.timer = asyncio.get_running_loop().call_later(
            self.settings.handshake_timeout_s, self.fire, link, "fail", "handshake timed out"
        )
        unauthenticated = sum(1 for other in self.links if not other.was_up)
        if self.should_stop:
            self.fire(link, "stop", None)
        elif link.peer is not None:
            self.fire(link, "dialled", None)
        elif unauthenticated > self.settings.max_handshakes:
            self.fire(
                link, "fail", f"more than {self.settings.max_handshakes} handshakes in progress"
            )
        else:
            self.fire(link, "accepted", None)

    # Guards of the chart

    def is_valid_hello(self, link, hello):
        """Return whether `hello` is from a known peer and addressed to this node."""
        return not self.find_hello_error(hello)

    def is_valid_challenge(self, link, challenge):
        """Return whether `challenge` authenticates the dialled peer."""
        return not self.find_challenge_error(link, challenge)

    def is_valid_proof(self, link, proof):
        """Return whether `proof` authenticates the peer that dialled."""
        return not self.find_proof_error(link, proof)

    def find_hello_error(self, hello):
        """Return the reason for rejecting `hello`, "" if it is valid."""
        peer = self.peers.get(hello.node)
        if peer is None:
            return f"node {format_value(hello.node)} is not a known peer"
        if hello.peer != self.settings.name:
            return f"hello of node {hello.node} is meant for node {format_value(hello.peer)}"
        if hello.node > self.settings.name:
            return f"node {hello.node} must not dial this node: its name is the greater one"
        return _find_sender_error(peer, hello)

    def find_challenge_error(self, link, challenge):
        """Return the reason for rejecting `challenge`, "" if it is valid."""
        if challenge.node != link.peer.name:
            return f"node {format_value(challenge.node)} answers instead of {link.peer.name}"
        error = _find_sender_error(link.peer, challenge)
        if error:
            return error
        expected = challenge_mac(self.secret, link.hello, challenge)
        return "" if is_equal_mac(expected, challenge.mac) else "MAC mismatch: secrets may differ"

    def find_proof_error(self, link, proof):
        """Return the reason for rejecting `proof`, "" if it is valid."""
        # A newer incarnation of the peer may have completed its handshake since this Hello.
        error = _find_sender_error(link.peer, link.hello)
        if error:
            return error
        expected = proof_mac(self.secret, link.hello, link.challenge)
        return "" if is_equal_mac(expected, proof.mac) else "MAC mismatch: secrets may differ"

    # Actions of the chart

    def send_hello(self, link, _):
        """Start the handshake as the dialling node."""
        s = self.settings
        link.hello = Hello(s.name, s.incarnation, link.peer.name, new_nonce())
        link.transport.write(encode_peer_message(link.hello))

    def send_challenge(self, link, hello):
        """Send a `Challenge` in response to a valid `Hello`."""
        s = self.settings
        link.peer = self.peers[hello.node]
        link.hello = hello
        link.challenge = Challenge(s.name, s.incarnation, new_nonce(), b"")
        link.challenge.mac = challenge_mac(self.secret, hello, link.challenge)
        link.transport.write(encode_peer_message(link.challenge))

    def send_proof(self, link, challenge):
        """Send a `Proof` in response to a valid `Challenge`."""
        link.challenge = challenge
        mac = proof_mac(self.secret, link.hello, challenge)
        link.transport.write(encode_peer_message(Proof(mac)))

    def activate(self, link, _):
        """Make `link` the link in use of its peer, in place of any earlier one."""
        peer = link.peer
        if peer.link is not None:
            self.fire(peer.link, "fail", f"replaced by a link from {link.remote_address}")
        # The peer sent the Hello if it dialled, the Challenge if this node did.
        is_outgoing = link.hello.node == self.settings.name
        peer.incarnation = (link.challenge if is_outgoing else link.hello).incarnation
        peer.link = link
        peer.is_failure_logged = False
        link.was_up = True
        link.timer.cancel()
        link.reader.max_frame_bytes = MAX_FRAME_BYTES
        log.info("peer link to %s is up: incarnation %d", peer.name, peer.incarnation)
        self.listener.on_link_up(peer.name, peer.incarnation)

    def deliver(self, link, message):
        """Pass a message of the peer to the listener."""
        self.listener.on_message(link.peer.name, message)

    def schedule_abort(self, link, _):
        """Abort the link in the next iteration of the event loop."""
        reason = f"send queue exceeds {self.settings.queue_bytes} bytes"
        asyncio.get_running_loop().call_soon(self.fire, link, "fail", reason)

    def unregister(self, link, _):
        """Remove a closed link, and notify the listener if it was in use."""
        self.links.discard(link)
        link.timer.cancel()
        if link.peer is not None and link.peer.link is link:
            link.peer.link = None
            self.listener.on_link_down(link.peer.name)

    def abort(self, link, _):
        """Close the connection immediately and discard its send queue."""
        link.transport.abort()
        link.closed.set()

    def flush(self, link, _):
        """Close this direction once its send queue is written; the peer then closes the other one.

        Closing both directions while received data are unread resets the connection, and a reset
        discards data that the peer has not read yet.
        """
        link.transport.write_eof()

    def log_failure(self, link, reason):
        """Log the reason why the link is closed."""
        node = link.peer.name if link.peer is not None else "unknown node"
        log.warning("peer link %s (%s) closed: %s", node, link.remote_address, reason)

    def log_unexpected(self, link, message):
        """Log a message that is not allowed in the current state."""
        self.log_failure(link, f"unexpected {type(message).__name__}")

    def log_rejected_hello(self, link, hello):
        """Log the reason for rejecting a `Hello`."""
        self.log_failure(link, f"handshake rejected: {self.find_hello_error(hello)}")

    def log_rejected_challenge(self, link, challenge):
        """Log the reason for rejecting a `Challenge`."""
        self.log_failure(link, f"handshake rejected: {self.find_challenge_error(link, challenge)}")

    def log_rejected_proof(self, link, proof):
        """Log the reason for rejecting a `Proof`."""
        self.log_failure(link, f"handshake rejected: {self.find_proof_error(link, proof)}")


def _find_sender_error(peer, message):
    """Return the reason for rejecting a `Hello` or `Challenge` of `peer`, "" if it is valid."""
    if len(message.nonce) != NONCE_BYTES:
        return f"nonce has {len(message.nonce)} bytes instead of {NONCE_BYTES}"
    if message.incarnation < peer.incarnation:
        return f"incarnation {message.incarnation} is older than {peer.incarnation}"
    return ""


_CHART = load_chart("peer_link", PeerLinks)
