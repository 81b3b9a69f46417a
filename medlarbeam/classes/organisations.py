"""Organisations of callers, and what a request states about its caller."""

from medlarbeam.classes.record import Record

__all__ = ["NO_CREDENTIAL", "CallerCredential", "Organisation", "Quota"]


class Quota(Record):
    """What the requests of an organisation may use, over all nodes together.

    Parameters
    ----------
    rate : float
        Tokens or requests per second, more than 0.
    burst : float
        Tokens or requests beyond the rate, once.
    plain_tokens : float or None
        Tokens of a request that states none; None if requests are counted in place of tokens.
    """

    __slots__ = ("burst", "plain_tokens", "rate")

    def __init__(self, rate, burst, plain_tokens=None):
        self.rate = rate
        self.burst = burst
        self.plain_tokens = plain_tokens

    def find_cost(self, request):
        """Return the cost of a `GatewayRequest` in the unit of the quota."""
        if self.plain_tokens is None:
            return 1.0
        return float(request.tokens) if request.states_tokens else self.plain_tokens


class Organisation(Record):
    """An organisation whose callers identify themselves with its keys.

    Parameters
    ----------
    name : str
    key_digests : list of str
        Digests of its keys, see `digest_key`. Keys themselves are not kept, so that no log line or
        error can contain them.
    priority : int or None
        Priority of its requests in place of their routes' priority, None for the latter.
    quota : Quota or None
        None for no limit.
    quota_problem : str
        Why a quota in the configuration cannot be used, "" otherwise.
    """

    __slots__ = ("key_digests", "name", "priority", "quota", "quota_problem")

    def __init__(self, name, key_digests, priority=None, quota=None, quota_problem=""):
        self.name = name
        self.key_digests = key_digests
        self.priority = priority
        self.quota = quota
        self.quota_problem = quota_problem


class CallerCredential(Record):
    """What a request states about its caller.

    Parameters
    ----------
    key_digests : tuple of str
        Digest of each key in the request.
    config_version : int or None
        Version of the configuration in which a node that forwards the request found the key; None
        if the request comes from a caller, or from a node that does not state it.
    """

    __slots__ = ("config_version", "key_digests")

    def __init__(self, key_digests=(), config_version=None):
        self.key_digests = key_digests
        self.config_version = config_version


NO_CREDENTIAL = CallerCredential()
