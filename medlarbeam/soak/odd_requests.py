"""Requests with keys that no organisation holds, forged headers and connection options."""

from abc import ABC, abstractmethod

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.classes.record import Record
from medlarbeam.soak.callers import PUBLIC_ROUTE, ROUTES, Caller

__all__ = ["KINDS", "OddCaller"]


class KeyChoice(ABC):
    """What a request has in place of its caller's key."""

    __slots__ = ()

    @abstractmethod
    def list_keys(self, caller):
        """Return the values of the header with the key.

        Parameters
        ----------
        caller : Caller
        """


class OwnKey(KeyChoice):
    """The key of the caller."""

    __slots__ = ()

    def list_keys(self, caller):
        """Return the key of the caller."""
        return [caller.key]


class FixedKeys(KeyChoice):
    """The same values in each request: none, an empty or an unknown one."""

    __slots__ = ("values",)

    def __init__(self, *values):
        self.values = values

    def list_keys(self, caller):
        """Return the values."""
        return self.values


class WithdrawnKey(KeyChoice):
    """A key that some configuration held; an unknown one as long as there is none."""

    __slots__ = ()

    def list_keys(self, caller):
        """Return a key that was withdrawn."""
        return [caller.rng.choice(caller.key_ring.list_withdrawn() or ["key-not-given-out-yet"])]


class RequestKind(Record):
    """A kind of odd request.

    Parameters
    ----------
    key_choice : KeyChoice
    headers : list of tuple
        ``(name, value)`` that the request has besides those of a proper one.
    is_public : bool
        Whether it goes to a route that needs no key.
    """

    __slots__ = ("headers", "is_public", "key_choice")

    def __init__(self, key_choice, headers=(), is_public=False):
        self.key_choice = key_choice
        self.headers = list(headers)
        self.is_public = is_public


OWN, NO_KEY, WITHDRAWN = OwnKey(), FixedKeys(), WithdrawnKey()
FORGED = [("X-Tenant", "bolt")]
FORGED_OFTEN = [*FORGED, ("x-tenant", "corp"), ("X-TENANT", "acme")]
FORGED_DIGEST = [
    ("Medlarbeam-Key-Digest", digest_key("key-1-of-acme")),
    ("Medlarbeam-Config", "1"),
    ("Medlarbeam-Runs", "0"),
]
KINDS = [
    RequestKind(OWN),
    RequestKind(OWN, FORGED),
    RequestKind(OWN, FORGED_OFTEN),
    RequestKind(OWN, [*FORGED, ("Connection", "X-Key, X-Tenant")]),
    RequestKind(OWN, [("connection", "x-model, X-Token-Usage, X-Prompt-Prefix")]),
    RequestKind(OWN, [("Connection", "X-Attempt-Id")]),
    RequestKind(NO_KEY),
    RequestKind(NO_KEY, FORGED_OFTEN),
    RequestKind(OWN, FORGED_DIGEST),
    RequestKind(NO_KEY, FORGED_DIGEST),
    RequestKind(FixedKeys("")),
    RequestKind(FixedKeys("unknown-key"), FORGED),
    RequestKind(FixedKeys("acme")),
    RequestKind(FixedKeys("key-1-of-acme", "key-5-of-bolt")),
    RequestKind(WITHDRAWN),
    RequestKind(WITHDRAWN),
    RequestKind(NO_KEY, is_public=True),
    RequestKind(OWN, FORGED, is_public=True),
    RequestKind(WITHDRAWN, [("Connection", "X-Key")], is_public=True),
]
QUERIES = ("", "?a=%2f&b", "?X-Key=1;c=%20")
TOKENS = ("X-Token-Usage", "20,6")


class OddCaller(Caller):
    """Sends proper and odd requests on the same connections, of which it has one to each gateway.

    Other callers leave gateways that fail, so that most requests soon reach the others.

    Parameters
    ----------
    args, options
        Parameters of `Caller`.
    kinds : list of RequestKind
    """

    __slots__ = ("kinds",)

    def __init__(self, *args, kinds=KINDS, **options):
        super().__init__(*args, **options)
        self.kinds = kinds

    def choose_gateway(self, gateway, record):
        """Return any gateway; see `Caller.choose_gateway`."""
        return self.rng.choice(self.gateways)

    def build_request(self, attempt):
        """Return the route and the `SentRequest` of the next request."""
        kind = self.rng.choice(self.kinds)
        route = PUBLIC_ROUTE if kind.is_public else self.rng.choice(ROUTES)
        sent = self.compose(attempt, route, kind.key_choice.list_keys(self))
        sent.target += self.rng.choice(QUERIES)
        sent.headers += [TOKENS, *kind.headers]
        return route, sent
