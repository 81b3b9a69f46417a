"""Messages of the mutual authentication handshake on a peer link."""

from medlarbeam.classes.record import Record

__all__ = ["Challenge", "Hello", "Proof"]


class Hello(Record):
    """First message, sent by the node that opened the connection.

    Parameters
    ----------
    node : str
        Name of the sender.
    incarnation : int
    peer : str
        Name of the node that the sender intends to connect to.
    nonce : bytes
    """

    __slots__ = ("incarnation", "node", "nonce", "peer")

    def __init__(self, node, incarnation, peer, nonce):
        self.node = node
        self.incarnation = incarnation
        self.peer = peer
        self.nonce = nonce


class Challenge(Record):
    """Response to `Hello`; `mac` proves that the sender knows the shared secret."""

    __slots__ = ("incarnation", "mac", "node", "nonce")

    def __init__(self, node, incarnation, nonce, mac):
        self.node = node
        self.incarnation = incarnation
        self.nonce = nonce
        self.mac = mac


class Proof(Record):
    """Response to `Challenge`; `mac` proves that the connecting node knows the shared secret."""

    __slots__ = ("mac",)

    def __init__(self, mac):
        self.mac = mac
