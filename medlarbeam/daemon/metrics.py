"""Prometheus metrics of the daemon."""

from math import inf

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

WAIT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.95, 2.0, 5.0, 15.0, 60.0, inf)


class Metrics:
    """Counters, gauges and histograms of one node, in a separate registry."""

    __slots__ = (
        "answers",
        "confirm_age",
        "events",
        "first_token",
        "load_wait",
        "open_requests",
        "registry",
        "revision",
    )

    def __init__(self):
        self.registry = Registry()
        self.events = self._register(Counter, "events_total", "Events of the node by name.")
        self.answers = self._register(Counter, "answers_total", "Answers by rank and outcome.")
        self.first_token = self._register(
            Histogram, "first_token_seconds", "Time to the first text.", buckets=WAIT_BUCKETS_S
        )
        self.load_wait = self._register(
            Histogram, "load_wait_seconds", "Wait for an adapter to load.", buckets=WAIT_BUCKETS_S
        )
        self.open_requests = self._register(
            Gauge, "open_requests", "Requests without an answer yet."
        )
        self.revision = self._register(Gauge, "catalog_revision", "Catalog revision in force.")
        self.confirm_age = self._register(
            Gauge, "catalog_confirm_age_seconds", "Time since the revision was known as the latest."
        )

    def _register(self, kind, name, doc, **options):
        return kind(f"medlarbeam_{name}", doc, registry=self.registry, **options)

    def count_event(self, name):
        """Increment the counter of the event `name`."""
        self.events.inc({"event": name})

    def count_response(self, rank, outcome, load_wait_s):
        """Count a response and observe its load wait; `outcome` is ``ok`` or an error kind."""
        self.answers.inc({"rank": rank.name.lower(), "outcome": outcome})
        self.load_wait.add({"rank": rank.name.lower()}, float(load_wait_s))

    def observe_first_token(self, rank, seconds):
        """Observe the time (s) from the arrival of a request to its first text."""
        self.first_token.add({"rank": rank.name.lower()}, float(seconds))

    def render(self, open_requests, revision, confirm_age_s, accept):
        """Set the gauges and return ``(body, headers)`` of the metrics page."""
        self.open_requests.set({}, open_requests)
        self.revision.set({}, revision)
        self.confirm_age.set({}, confirm_age_s)
        return render(self.registry, accept)
