"""Which organisation a request belongs to, and whether it is authorised."""

from abc import ABC, abstractmethod
from hashlib import sha256

from medlarbeam.exceptions import ErrorKind, Failure

__all__ = ["CallerAccess", "KeyedAccess", "OpenAccess", "build_access", "digest_key"]


def digest_key(key):
    """Return the digest by which a key is compared, as hexadecimal digits.

    Parameters
    ----------
    key : str
        Bytes that are not UTF-8 are surrogate escapes.
    """
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class CallerAccess(ABC):
    """Decides on behalf of which organisation a request runs.

    Attributes
    ----------
    conflicts : sequence of tuple
        Pairs of names of organisations that have a key in common.
    """

    __slots__ = ()

    conflicts = ()

    @abstractmethod
    def identify(self, credential, route):
        """Return the name of the organisation, "" for none, or the `Failure` of the request.

        Parameters
        ----------
        credential : CallerCredential
        route : ServiceRoute
        """


class OpenAccess(CallerAccess):
    """Access under a configuration without organisations: no request needs a key."""

    __slots__ = ()

    def identify(self, credential, route):
        """Return "" for each request."""
        return ""


class KeyedAccess(CallerAccess):
    """Access under a configuration with organisations.

    Parameters
    ----------
    organisations : list of Organisation

    Attributes
    ----------
    names : dict of str to str
        Name of the organisation by digest of a key. A key of several organisations counts as that
        of the first one.
    """

    __slots__ = ("conflicts", "names")

    def __init__(self, organisations):
        self.names = {}
        self.conflicts = []
        for organisation in organisations:
            for digest in organisation.key_digests:
                name = self.names.setdefault(digest, organisation.name)
                if name != organisation.name:
                    self.conflicts.append((name, organisation.name))

    def identify(self, credential, route):
        """Return the organisation that holds the key, "" on a route that needs none."""
        if route.is_public:
            return ""
        digests = credential.key_digests
        if len(digests) != 1:
            reason = "the request has more than one key" if digests else "the request has no key"
            return Failure(ErrorKind.NOT_AUTHORIZED, reason)
        name = self.names.get(digests[0])
        if name is None:
            return Failure(ErrorKind.NOT_AUTHORIZED, "no organisation holds the key")
        return name


def build_access(config):
    """Return the `CallerAccess` of a `FleetConfig`."""
    if config.organisations is None:
        return OpenAccess()
    return KeyedAccess(config.organisations)
