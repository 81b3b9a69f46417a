"""Naive crash tracking: none."""

from math import inf

from medlarbeam.node.component import Crashes

__all__ = ["NaiveCrashes"]


class NaiveCrashes(Crashes):
    """Lets every request run anywhere; for comparison."""

    __slots__ = ()

    name = "crashes"

    def check(self, request, now):
        """Return None."""

    def may_start(self, request, running, now):
        """Return True."""
        return True

    def begin_run(self, request, now):
        """Do nothing."""

    def server_died(self, server, requests, now, out):
        """Do nothing."""

    def succeeded(self, request, now, out):
        """Do nothing."""

    def tick(self, now, out):
        """Do nothing."""

    def next_deadline(self):
        """Return infinity."""
        return inf
