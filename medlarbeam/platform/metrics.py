"""Metrics of a gateway, and the address at which they are read."""

import asyncio
from math import inf, isinf

from aiohttp.web import Response, Server
from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from medlarbeam.classes.gateway_effects import RequestMeasured
from medlarbeam.daemon.ports import PortService

__all__ = ["GatewayMetrics", "MetricsPort"]

PATH = "/metrics"
# The aims of the users' routes lie between 0.1 and 2 s, their deadlines between 1.5 and 10 s.
TIME_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.0, 2.0, 5.0, 10.0, inf)
MAX_PRIORITY = 9  # bounds the label; a configuration may state any number


class GatewayMetrics:
    """Counters, gauges and histograms of one gateway, in a registry of their own.

    Notes
    -----
    Events are counted in a dictionary and copied when the page is read, since there are several
    for each request.
    """

    __slots__ = (
        "answers",
        "events",
        "first_answer",
        "gauges",
        "registry",
        "repeats",
        "seen_events",
        "waits",
    )

    def __init__(self):
        self.registry = Registry()
        self.seen_events = {}
        self.events = self._make(Counter, "events_total", "Events of the node by name.")
        self.answers = self._make(Counter, "answers_total", "Requests that ended.")
        self.repeats = self._make(Counter, "repeats_total", "Sends beyond the first of a request.")
        self.first_answer = self._make(
            Histogram, "first_answer_seconds", "Time to the answer.", buckets=TIME_BUCKETS
        )
        self.waits = self._make(
            Histogram, "wait_seconds", "Wait for a backend server.", buckets=TIME_BUCKETS
        )
        self.gauges = {
            name: self._make(Gauge, name, doc)
            for name, doc in (
                ("open_requests", "Requests without a complete answer."),
                ("config_version", "Version of the configuration in force."),
                ("store_age_seconds", "Time since the store renewed the registration."),
                ("servers", "Backend servers that take new work."),
                ("suspect_servers", "Backend servers that are suspected."),
                ("ordered_servers", "Backend servers that this node orders."),
                ("loads_in_transit", "Adapters on their way to the ordered backend servers."),
                ("log_lines_dropped", "Log lines lost since the start."),
            )
        }

    def _make(self, kind, name, doc, **options):
        return kind(f"medlarbeam_gateway_{name}", doc, registry=self.registry, **options)

    def count_event(self, name):
        """Count an event by its name."""
        self.seen_events[name] = self.seen_events.get(name, 0) + 1

    def count_request(self, measured):
        """Count a `RequestMeasured`."""
        labels = {
            "kind": measured.kind.value,
            "priority": str(min(MAX_PRIORITY, max(0, measured.priority))),
        }
        self.answers.inc({**labels, "outcome": measured.outcome})
        if measured.sends > 1:
            self.repeats.add(labels, measured.sends - 1)
        self.waits.add(labels, measured.wait_s)
        if measured.first_s is not None:
            self.first_answer.add(labels, measured.first_s)

    def render(self, levels, accept):
        """Return ``(body, headers)`` of the metrics page.

        Parameters
        ----------
        levels : dict of str to float
            Values of the gauges.
        accept : list of str
            Media types that the reader takes.
        """
        for name, count in self.seen_events.items():
            self.events.set({"event": name}, count)
        for name, value in levels.items():
            self.gauges[name].set({}, value)
        return render(self.registry, accept)


class MetricsPort(PortService):
    """Counts requests, and serves the metrics page.

    Parameters
    ----------
    driver : NodeDriver
    address : tuple of (str, int)
    metrics : GatewayMetrics
    read_dropped : callable
        Returns the number of log lines that were lost.
    """

    def __init__(self, driver, address, metrics, read_dropped):
        super().__init__(driver)
        self.address = address
        self.metrics = metrics
        self.read_dropped = read_dropped
        self.listener = None

    async def on_start(self):
        """Listen for readers of the metrics."""
        loop = asyncio.get_running_loop()
        server = Server(self.handle, access_log=None)
        self.listener = await loop.create_server(server, *self.address)

    async def on_stop(self):
        """Close the listener."""
        self.listener.close()
        await super().on_stop()

    def effects(self):
        """Return the handler of `RequestMeasured`."""
        return {RequestMeasured: self.metrics.count_request}

    async def handle(self, http):
        """Answer a reader."""
        if http.path != PATH:
            return Response(status=404)
        body, headers = self.metrics.render(
            self._read_levels(), http.headers.getall("Accept", ["*/*"])
        )
        return Response(body=body, headers=headers)

    def _read_levels(self):
        node = self.driver.node
        now = self.driver.read_clock()
        levels = dict(node.measure(now))
        levels["log_lines_dropped"] = self.read_dropped()
        return {name: value for name, value in levels.items() if not isinf(value)}
