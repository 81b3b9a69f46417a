"""TCP links between nodes.

Each pair of nodes shares one link, which the node with the smaller name dials. Both ends thus see
the link go down together, and no message waits on a direction that the other end has given up.
"""

import asyncio
import logging

from mode import Service

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.daemon.link_auth import (
    NONCE_BYTES,
    accepting_mac,
    dialling_mac,
    is_same_mac,
    new_nonce,
)
from medlarbeam.daemon.peer_link import Peer, PeerLink
from medlarbeam.exceptions import FormatError, SettingsError
from medlarbeam.readwrite.peer_frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    encode_peer_message,
)
from medlarbeam.readwrite.value_kinds import show
from medlarbeam.readwrite.vm_list import AddressKind

__all__ = ["PeerLinks", "backoff_delay", "split_address"]

LOG = logging.getLogger(__name__)

_MAX_DOUBLINGS = 16


def backoff_delay(attempt, base_s, max_s, rng):
    """Return the wait (s) before the next attempt to dial.

    Parameters
    ----------
    attempt : int
        Number of failures in a row.
    base_s, max_s : float
    rng : random.Random

    Returns
    -------
    float
        A random time from half of the full delay to the full delay.
    """
    delay = min(max_s, base_s * 2 ** min(attempt, _MAX_DOUBLINGS))
    return delay * rng.uniform(0.5, 1.0)


def split_address(text):
    """Return host and port of ``ip:port``; raise SettingsError if it is none."""
    faults = []
    # Port 0 is allowed here, as it lets the system choose.
    checked = f"{text[:-2]}:1" if text.endswith(":0") else text
    AddressKind().read(checked, "address", faults)
    if faults:
        raise SettingsError(f"address {show(text)} is not ip:port")
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class PeerLinks(Service):
    """All links of a node.

    Parameters
    ----------
    settings : LinkSettings
    secret : bytes
        Shared by all nodes.
    rng : random.Random
        For the jitter of the backoff.
    listener : LinkListener

    Attributes
    ----------
    port : int
        Port that the service listens on, once it has started.
    dropped : int
        Number of messages that were not handed to a link.
    """

    def __init__(self, settings, secret, rng, listener, **kwargs):
        if not secret:
            raise SettingsError("the secret of the peer links is empty")
        if settings.queue_bytes < MAX_FRAME_BYTES + LENGTH_BYTES:
            raise SettingsError(f"queue_bytes is below the longest frame of {MAX_FRAME_BYTES}")
        self.settings = settings
        self.secret = secret
        self.rng = rng
        self.listener = listener
        self.address = split_address(settings.listen)
        self.port = self.address[1]
        self.peers = {
            name: Peer(name, *split_address(text))
            for name, text in settings.peers.items()
            if name != settings.name
        }
        self.links = set()
        self.server = None
        self.dropped = 0
        super().__init__(**kwargs)

    # Service

    async def on_start(self):
        """Listen, and dial the peers with greater names."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: PeerLink(self, _CHART.initial), *self.address
        )
        self.port = self.server.sockets[0].getsockname()[1]
        for peer in self.peers.values():
            if peer.name > self.settings.name:
                self.add_future(self._keep_dialling(peer))

    async def on_stop(self):
        """Close all links after their last messages were sent."""
        if self.server is None:
            return
        self.server.close()
        links = list(self.links)
        for link in links:
            self.fire(link, "stop", None)
        waits = [asyncio.ensure_future(link.closed.wait()) for link in links]
        if waits:
            await asyncio.wait(waits, timeout=self.settings.flush_s)
        for link, wait in zip(links, waits, strict=True):
            wait.cancel()
            link.transport.abort()
        await self.server.wait_closed()

    def send(self, node, body):
        """Hand a message to the link to `node`, without waiting.

        Parameters
        ----------
        node : str
        body : Record
            Instance of a class of `medlarbeam.classes.peer_messages`.

        Returns
        -------
        bool
            False if the message was dropped, so that it surely never arrives.
        """
        peer = self.peers.get(node)
        link = peer.link if peer is not None else None
        if link is None or not _CHART.has_tag(link, "up") or link.transport.is_closing():
            self.dropped += 1
            return False
        try:
            frame = encode_peer_message(body)
        except FormatError as error:
            self.dropped += 1
            LOG.error("message to node %s dropped: %s", node, error)
            return False
        if link.transport.get_write_buffer_size() + len(frame) > self.settings.queue_bytes:
            self.dropped += 1
            self.fire(link, "overflow", None)
            return False
        link.transport.write(frame)
        return True

    # Dialling

    async def _keep_dialling(self, peer):
        attempt = 0
        while not self.should_stop:
            link = await self._dial(peer)
            if link is not None:
                await link.closed.wait()
            attempt = 0 if link is not None and link.was_up else attempt + 1
            s = self.settings
            await self.sleep(backoff_delay(attempt, s.backoff_base_s, s.backoff_max_s, self.rng))

    async def _dial(self, peer):
        """Return a new link to `peer`, or None."""
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(
            lambda: PeerLink(self, _CHART.initial, peer), peer.host, peer.port
        )
        try:
            _, link = await asyncio.wait_for(connecting, self.settings.connect_timeout_s)
        except (OSError, TimeoutError) as error:
            if not peer.is_reported:
                peer.is_reported = True
                reason = str(error) or "no answer"
                LOG.warning("peer link to %s: cannot connect: %s", peer.name, reason)
            return None
        return link

    # Connections

    def fire(self, link, event, argument):
        """Pass an event to the chart of `link`."""
        _CHART.fire(link, event, self, argument)

    def start_handshake(self, link):
        """Take a new connection."""
        self.links.add(link)
        link.timer = asyncio.get_running_loop().call_later(
            self.settings.handshake_timeout_s, self.fire, link, "fail", "handshake timed out"
        )
        waiting = sum(1 for other in self.links if not other.was_up)
        if self.should_stop:
            self.fire(link, "stop", None)
        elif link.peer is not None:
            self.fire(link, "dialled", None)
        elif waiting > self.settings.max_handshakes:
            self.fire(link, "fail", f"more than {self.settings.max_handshakes} handshakes")
        else:
            self.fire(link, "accepted", None)

    # Guards of the chart

    def is_good_hello(self, link, hello):
        """Return whether `hello` may be answered."""
        return not self.find_hello_fault(hello)

    def is_good_challenge(self, link, challenge):
        """Return whether `challenge` comes from the peer that was dialled."""
        return not self.find_challenge_fault(link, challenge)

    def is_good_proof(self, link, proof):
        """Return whether `proof` completes the handshake."""
        return not self.find_proof_fault(link, proof)

    def find_hello_fault(self, hello):
        """Return why `hello` is refused, "" if it is good."""
        peer = self.peers.get(hello.node)
        if peer is None:
            return f"node {show(hello.node)} is not a known peer"
        if hello.peer != self.settings.name:
            return f"node {hello.node} means to reach node {show(hello.peer)}"
        if hello.node > self.settings.name:
            return f"node {hello.node} has to be dialled from here"
        return _find_end_fault(peer, hello)

    def find_challenge_fault(self, link, challenge):
        """Return why `challenge` is refused, "" if it is good."""
        if challenge.node != link.peer.name:
            return f"node {show(challenge.node)} answers instead of {link.peer.name}"
        fault = _find_end_fault(link.peer, challenge)
        if fault:
            return fault
        expected = accepting_mac(self.secret, link.hello, challenge)
        return "" if is_same_mac(expected, challenge.mac) else "the secret is another one"

    def find_proof_fault(self, link, proof):
        """Return why `proof` is refused, "" if it is good."""
        # A newer incarnation may have completed its handshake since the Hello.
        fault = _find_end_fault(link.peer, link.hello)
        if fault:
            return fault
        expected = dialling_mac(self.secret, link.hello, link.challenge)
        return "" if is_same_mac(expected, proof.mac) else "the secret is another one"

    # Actions of the chart

    def send_hello(self, link, _):
        """Say who dials."""
        s = self.settings
        link.hello = Hello(s.name, s.incarnation, link.peer.name, new_nonce())
        link.transport.write(encode_peer_message(link.hello))

    def send_challenge(self, link, hello):
        """Answer a good `Hello`."""
        s = self.settings
        link.peer = self.peers[hello.node]
        link.hello = hello
        link.challenge = Challenge(s.name, s.incarnation, new_nonce(), b"")
        link.challenge.mac = accepting_mac(self.secret, hello, link.challenge)
        link.transport.write(encode_peer_message(link.challenge))

    def send_proof(self, link, challenge):
        """Answer a good `Challenge`."""
        link.challenge = challenge
        mac = dialling_mac(self.secret, link.hello, challenge)
        link.transport.write(encode_peer_message(Proof(mac)))

    def take_over(self, link, _):
        """Make `link` the one that messages are sent on."""
        peer = link.peer
        if peer.link is not None:
            self.fire(peer.link, "fail", f"replaced by a link from {link.remote}")
        # Of Hello and Challenge, this is the one that the peer sent.
        is_dialled = link.hello.node == self.settings.name
        peer.incarnation = (link.challenge if is_dialled else link.hello).incarnation
        peer.link = link
        peer.is_reported = False
        link.was_up = True
        link.timer.cancel()
        link.reader.limit = MAX_FRAME_BYTES
        LOG.info("peer link to %s is up: incarnation %d", peer.name, peer.incarnation)
        self.listener.on_up(peer.name, peer.incarnation)

    def deliver(self, link, body):
        """Pass a message of the peer to the listener."""
        self.listener.on_message(link.peer.name, body)

    def schedule_close(self, link, _):
        """Close the link on the loop's next turn."""
        reason = f"send queue is above {self.settings.queue_bytes} bytes"
        asyncio.get_running_loop().call_soon(self.fire, link, "fail", reason)

    def drop_link(self, link, _):
        """Forget a closed link and tell the listener."""
        self.links.discard(link)
        link.timer.cancel()
        if link.peer is not None and link.peer.link is link:
            link.peer.link = None
            self.listener.on_down(link.peer.name)

    def abort(self, link, _):
        """Close the connection at once; what waits in its queue is not sent."""
        link.transport.abort()
        link.closed.set()

    def flush(self, link, _):
        """Close this direction once its queue is sent; the peer then closes the other one.

        A close of both directions resets the connection if unread data are left, and the reset
        discards what the peer has not read yet.
        """
        link.transport.write_eof()

    def log_failure(self, link, reason):
        """Log why the link is closed."""
        node = link.peer.name if link.peer is not None else "unknown node"
        LOG.warning("peer link %s (%s) closed: %s", node, link.remote, reason)

    def log_unexpected(self, link, body):
        """Log a message that does not belong here."""
        self.log_failure(link, f"unexpected {type(body).__name__}")

    def log_bad_hello(self, link, hello):
        """Log a refused `Hello`."""
        self.log_failure(link, f"refused: {self.find_hello_fault(hello)}")

    def log_bad_challenge(self, link, challenge):
        """Log a refused `Challenge`."""
        self.log_failure(link, f"refused: {self.find_challenge_fault(link, challenge)}")

    def log_bad_proof(self, link, proof):
        """Log a refused `Proof`."""
        self.log_failure(link, f"refused: {self.find_proof_fault(link, proof)}")


def _find_end_fault(peer, message):
    """Return why a `Hello` or `Challenge` of `peer` is refused, "" if it is good."""
    if len(message.nonce) != NONCE_BYTES:
        return f"nonce has {len(message.nonce)} bytes instead of {NONCE_BYTES}"
    if message.incarnation < peer.incarnation:
        return f"incarnation {message.incarnation} is older than {peer.incarnation}"
    return ""


_CHART = load_chart("peer_link", PeerLinks)
