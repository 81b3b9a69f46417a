"""Organisations of callers, and what a request states about its caller."""

from medlarbeam.classes.record import Record

__all__ = ["NO_CREDENTIAL", "CallerCredential", "Organisation"]


class Organisation(Record):
    """An organisation whose callers identify themselves with its keys.

    Parameters
    ----------
    name : str
    key_digests : list of str
        Digests of its keys, see `digest_key`. Keys themselves are not kept, so that no log line or
        error can contain them.
    """

    __slots__ = ("key_digests", "name")

    def __init__(self, name, key_digests):
        self.name = name
        self.key_digests = key_digests


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
