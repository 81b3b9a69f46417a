"""Naive policy for requests that crash backend servers: no tracking."""

from math import inf

from medlarbeam.node.component import Crashes

__all__ = ["NaiveCrashes"]


class NaiveCrashes(Crashes):
    """Baseline that never suspects a request, so that each one may run on any server."""

    __slots__ = ()

    name = "crashes"

    def check(self, request, now):
        """Return None: no request is refused."""

    def may_start(self, request, running, now):
        """Return True."""
        return True

    def begin_run(self, request, now):
        """Record nothing."""

    def server_died(self, server, requests, now, out):
        """Record nothing."""

    def succeeded(self, request, now, out):
        """Record nothing."""

    def tick(self, now, out):
        """Do nothing: there are no timers."""

    def next_deadline(self):
        """Return infinity: there are no timers."""
        return inf
