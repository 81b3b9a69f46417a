"""Metrics of a gateway and the HTTP endpoint that exposes them."""

import asyncio
from math import inf, isinf

from aiohttp.web import Response, Server
from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from medlarbeam.classes.gateway_effects import RecordRequestMetrics
from medlarbeam.daemon.effect_handlers import EffectHandlerService

__all__ = ["GatewayMetrics", "MetricsServer"]

PATH = "/metrics"
# The latency goals of routes are between 0.1 and 2 s, and deadlines between 1.5 and 10 s.
TIME_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.0, 2.0, 5.0, 10.0, inf)
# The longest pauses that routes allow are between 0.25 and 0.3 s.
PAUSE_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, inf)
MAX_PRIORITY = 9  # limits the label values; a configuration may contain any number
MAX_ORGANISATIONS = 1000  # with a label value of their own
OTHER_ORGANISATIONS = "(other)"


class GatewayMetrics:
    """Counters, gauges and histograms of a gateway, in a registry of their own.

    Notes
    -----
    Events are counted in a dict and copied to the counter when the page is rendered, since there
    are several for each request.
    """

    __slots__ = (
        "ended_requests",
        "event_counts",
        "events",
        "first_response_times",
        "gauges",
        "longest_pauses",
        "organisation_tokens",
        "organisations",
        "registry",
        "retries",
        "wait_times",
    )

    def __init__(self):
        self.registry = Registry()
        self.event_counts = {}
        self.events = self._create(Counter, "events_total", "Events of the node by name.")
        self.ended_requests = self._create(
            Counter, "answers_total", "Requests that ended, by outcome."
        )
        self.retries = self._create(Counter, "repeats_total", "Retries of requests.")
        self.organisations = set()
        self.organisation_tokens = self._create(
            Counter, "organisation_tokens_total", "Tokens of requests that ended, by organisation."
        )
        self.first_response_times = self._create(
            Histogram,
            "first_answer_seconds",
            "Time to the first part of the response.",
            buckets=TIME_BUCKETS,
        )
        self.wait_times = self._create(
            Histogram,
            "wait_seconds",
            "Time spent waiting for a backend server.",
            buckets=TIME_BUCKETS,
        )
        self.longest_pauses = self._create(
            Histogram,
            "longest_pause_seconds",
            "Longest time without an event in a complete stream.",
            buckets=PAUSE_BUCKETS,
        )
        self.gauges = {
            name: self._create(Gauge, name, doc)
            for name, doc in (
                ("open_requests", "Requests without a complete response."),
                ("config_version", "Version of the configuration in force."),
                ("store_age_seconds", "Time since the store last renewed the registration."),
                ("servers", "Backend servers that accept new requests."),
                ("leaving_servers", "Listed backend servers that have announced their leaving."),
                ("suspect_servers", "Backend servers that are suspected of being faulty."),
                ("ordered_servers", "Backend servers for which this node holds the order right."),
                ("loads_in_transit", "Adapters that are being loaded on those servers."),
                ("limited_servers", "Backend servers that name a request rate."),
                ("refusal_limits", "Services whose backend servers limit their refusals."),
                ("lost_paths", "Services whose backend servers this node does not reach."),
                ("paused_servers", "Backend servers that have asked for a pause."),
                ("quarantines", "Prompt parts and requests that are refused."),
                ("log_lines_dropped", "Log lines dropped since the start."),
                ("caller_bytes", "Memory that callers hold, in bytes."),
                ("closed_callers", "Connections of callers closed for a limit since the start."),
            )
        }

    def _create(self, kind, name, doc, **options):
        return kind(f"medlarbeam_gateway_{name}", doc, registry=self.registry, **options)

    def count_event(self, name):
        """Increment the counter of the event `name`."""
        self.event_counts[name] = self.event_counts.get(name, 0) + 1

    def count_request(self, measured):
        """Record a `RecordRequestMetrics`."""
        labels = {
            "kind": measured.kind.value,
            "priority": str(min(MAX_PRIORITY, max(0, measured.priority))),
        }
        self.ended_requests.inc({**labels, "outcome": measured.outcome})
        if measured.organisation:
            organisation = self._find_label(measured.organisation)
            labelled = {"organisation": organisation, "outcome": measured.outcome}
            self.organisation_tokens.add(labelled, measured.tokens)
        if measured.send_count > 1:
            self.retries.add(labels, measured.send_count - 1)
        self.wait_times.add(labels, measured.wait_s)
        if measured.first_response_s is not None:
            self.first_response_times.add(labels, measured.first_response_s)
        if measured.longest_pause_s is not None:
            self.longest_pauses.add(labels, measured.longest_pause_s)

    def _find_label(self, organisation):
        if organisation not in self.organisations:
            if len(self.organisations) >= MAX_ORGANISATIONS:
                return OTHER_ORGANISATIONS
            self.organisations.add(organisation)
        return organisation

    def render(self, values, accept):
        """Return ``(body, headers)`` of the metrics page.

        Parameters
        ----------
        values : dict of str to float
            Values of the gauges by name.
        accept : list of str
            Media types that the client accepts.
        """
        for name, count in self.event_counts.items():
            self.events.set({"event": name}, count)
        for name, value in values.items():
            self.gauges[name].set({}, value)
        return render(self.registry, accept)


class MetricsServer(EffectHandlerService):
    """Records requests and serves the metrics page.

    Parameters
    ----------
    driver : NodeDriver
    address : tuple of (str, int)
    metrics : GatewayMetrics
    count_dropped_lines : callable
        Returns the number of dropped log lines.
    account : CallerAccount
    """

    def __init__(self, driver, address, metrics, count_dropped_lines, account):
        super().__init__(driver)
        self.address = address
        self.metrics = metrics
        self.count_dropped_lines = count_dropped_lines
        self.account = account
        self.listener = None

    async def on_start(self):
        """Listen for metrics requests."""
        loop = asyncio.get_running_loop()
        server = Server(self.handle, access_log=None)
        self.listener = await loop.create_server(server, *self.address)

    async def on_stop(self):
        """Close the listener."""
        self.listener.close()
        await super().on_stop()

    def effects(self):
        """Return the handler of `RecordRequestMetrics`."""
        return {RecordRequestMetrics: self.metrics.count_request}

    async def handle(self, http_request):
        """Respond to a metrics request."""
        if http_request.path != PATH:
            return Response(status=404)
        body, headers = self.metrics.render(
            self._read_gauges(), http_request.headers.getall("Accept", ["*/*"])
        )
        return Response(body=body, headers=headers)

    def _read_gauges(self):
        node = self.driver.node
        now = self.driver.read_clock()
        values = dict(node.measure(now))
        values["log_lines_dropped"] = self.count_dropped_lines()
        values["caller_bytes"] = self.account.held_bytes
        values["closed_callers"] = self.account.refused_count
        return {name: value for name, value in values.items() if not isinf(value)}
