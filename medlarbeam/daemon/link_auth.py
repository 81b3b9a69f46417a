"""Proofs of the handshake of peer links.

The node that dials sends `Hello`, the other answers with `Challenge`, and the first sends `Proof`.
Both MACs cover the names, incarnations and nonces of both nodes, and each is bound to its side, so
that neither can be replayed on another link or sent back to its author. The handshake
authenticates the two ends; the frames after it are neither encrypted nor signed.
"""

import hmac
import secrets

__all__ = ["NONCE_BYTES", "accepting_mac", "dialling_mac", "is_same_mac", "new_nonce"]

NONCE_BYTES = 32
_PROTOCOL = b"medlarbeam peer link 1"


def new_nonce():
    """Return random bytes; a nonce from the node's seeded source could be foretold."""
    return secrets.token_bytes(NONCE_BYTES)


def _mac(secret, side, hello, challenge):
    fields = [_PROTOCOL, side]
    for message in (hello, challenge):
        fields += [message.node.encode(), b"%d" % message.incarnation, message.nonce]
    # Each field has its length in front, so that no two lists of fields give the same bytes.
    text = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
    return hmac.digest(secret, text, "sha256")


def accepting_mac(secret, hello, challenge):
    """Return the MAC for the `Challenge` of the node that accepted the connection.

    Parameters
    ----------
    secret : bytes
    hello : Hello
    challenge : Challenge
        Its `mac` field does not count.

    Returns
    -------
    bytes
    """
    return _mac(secret, b"accepting", hello, challenge)


def dialling_mac(secret, hello, challenge):
    """Return the MAC for the `Proof` of the node that dialled; see `accepting_mac`."""
    return _mac(secret, b"dialling", hello, challenge)


def is_same_mac(a, b):
    """Return whether two MACs are equal, in constant time."""
    return hmac.compare_digest(a, b)
