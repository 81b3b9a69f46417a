"""Entries of the store by which nodes inform one another, beside registrations and rights."""

from medlarbeam.classes.record import Record

__all__ = ["Quarantine", "SettledEra"]


class SettledEra(Record):
    """The era of the store in which no holder of an order right of an earlier one is left."""

    __slots__ = ("era",)

    def __init__(self, era):
        self.era = era


class Quarantine(Record):
    """Requests with `fingerprint` crash backend servers; `node` found this out."""

    __slots__ = ("fingerprint", "node")

    def __init__(self, fingerprint, node):
        self.fingerprint = fingerprint
        self.node = node
