"""Message authentication codes (MACs) of the peer link handshake.

The dialling node sends `Hello`, the accepting node responds with `Challenge`, and the dialling node
sends `Proof`. Both MACs cover the names, incarnations and nonces of both nodes and the role of the
author, so that neither can be replayed on another link or reflected to its author. The handshake
authenticates both ends; the frames that follow are neither encrypted nor signed.
"""

import hmac
import secrets

__all__ = ["NONCE_BYTES", "challenge_mac", "is_equal_mac", "new_nonce", "proof_mac"]

NONCE_BYTES = 32
_PROTOCOL = b"medlarbeam peer link 1"


def new_nonce():
    """Return a random nonce.

    It is read from the system, as a nonce from the node's seeded source would be predictable.
    """
    return secrets.token_bytes(NONCE_BYTES)


def _compute_mac(secret, side, hello, challenge):
    fields = [_PROTOCOL, side]
    for message in (hello, challenge):
        fields += [message.node.encode(), b"%d" % message.incarnation, message.nonce]
    # Length prefixes keep two different lists of fields from giving the same bytes.
    text = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
    return hmac.digest(secret, text, "sha256")


def challenge_mac(secret, hello, challenge):
    """Return the MAC of the `Challenge` that the accepting node sends.

    Parameters
    ----------
    secret : bytes
    hello : Hello
    challenge : Challenge
        The `mac` field is not covered.

    Returns
    -------
    bytes
    """
    return _compute_mac(secret, b"accepting", hello, challenge)


def proof_mac(secret, hello, challenge):
    """Return the MAC of the `Proof` that the dialling node sends; see `challenge_mac`."""
    return _compute_mac(secret, b"dialling", hello, challenge)


def is_equal_mac(a, b):
    """Return whether two MACs are equal, in constant time."""
    return hmac.compare_digest(a, b)
