"""Gateways without sockets whose callers belong to organisations with a quota."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import RefuseRequest, SendDatagram, StartFleetRun
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    GatewayRequest,
    LeaseRenewed,
    NodeDatagram,
    RunCompleted,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.classes.organisations import CallerCredential
from medlarbeam.gateway.gateway import Gateway
from medlarbeam.gateway.tests.fleet_samples import make_server, make_settings
from medlarbeam.platform.documents import decode_config
from medlarbeam.readwrite.peer_frames import decode_datagram, encode_datagram

WINDOW_S = 8.0
OVERSHOOT = 0.1
SLACK = 110_000.0
DATAGRAM_S = 0.002
RUN_S = 0.2
STORE_LAG_S = 0.5
PRIORITIES = {"urgent": 0, "bulk": 3}
CONFIG_KEY = "op/config"


def make_quota_config(version, rates, **fields):
    """Return a configuration whose organisations may use `rates` (tokens/s by name)."""
    tenants = [
        {"name": name, "apiKeys": [f"key-{name}"], "unit": "token_stream", "plainTokens": 200}
        | {"ratePerS": rate, "burst": rate, "priority": 1}
        | fields
        for name, rate in rates.items()
    ]
    routes = [
        {"name": name, "host": "host", "pathPrefix": f"/{name}/", "routeKind": "idempotent"}
        | {"timeoutMs": 5000, "goalLatencyMs": 500, "service": "ledger", "priority": priority}
        for name, priority in PRIORITIES.items()
    ]
    services = [{"name": "ledger"}]
    document = {"version": version, "tenants": tenants, "routes": routes, "services": services}
    return decode_config("", document, version)


class SentRequest:
    """A request of a caller and what became of it.

    Attributes
    ----------
    ran : bool
        Whether a backend server ran it.
    refusal : RefuseRequest or None
    answered_at : float or None
        Time (s) at which it was refused or sent to a backend server.
    """

    __slots__ = ("answered_at", "organisation", "ran", "refusal", "route", "sent_at", "tokens")

    def __init__(self, organisation, route, tokens, sent_at):
        self.organisation = organisation
        self.route = route
        self.tokens = tokens
        self.sent_at = sent_at
        self.ran = False
        self.refusal = None
        self.answered_at = None


class QuotaFleet:
    """Gateways, callers and the store, with one clock and one queue of events.

    Parameters
    ----------
    seed : int
    rates : dict of str to float
        Limit of each organisation (tokens/s), which is its burst as well.
    gateways : int
    slack : float
        What may run beyond the quotas in a window.

    Attributes
    ----------
    sides : dict of str to int
        Side of the cut on which a gateway is; datagrams do not pass between sides.
    frozen : dict of str to list
        Messages that a frozen gateway has not received yet.
    loss, repeat : float
        Shares of the datagrams that are lost, and that arrive twice.
    delay_s : float
        Longest additional delay of a datagram.
    """

    __slots__ = (
        "config",
        "delay_s",
        "events",
        "frozen",
        "gateways",
        "log",
        "loss",
        "now",
        "repeat",
        "requests",
        "revision",
        "rng",
        "serial",
        "sides",
        "slack",
        "store",
    )

    def __init__(self, seed, rates, gateways=12, slack=SLACK):
        self.rng = Random(seed)
        self.slack = slack
        self.loss = 0.0
        self.repeat = 0.0
        self.delay_s = 0.0
        self.now = 100.0
        self.serial = count(1)
        self.revision = 10
        self.events = []
        self.requests = {}
        self.log = []
        self.sides = {}
        self.frozen = {}
        self.config = make_quota_config(1, rates)
        server = make_server("l1", "ledger")
        server.concurrency = 100_000
        self.store = {CONFIG_KEY: self.config, "servers/l1": server}
        self.gateways = {}
        names = [f"n{index}" for index in range(gateways)]
        for name in names:
            self.store[f"node/{name}"] = NodeRegistration(name, "z1", f"{name}:7000", 5)
        for name in names:
            self.start_gateway(name)

    # Gateways

    def start_gateway(self, name, incarnation=None):
        """Start a gateway that knows only what is in the store."""
        key = f"node/{name}"
        if key not in self.store:
            self.write_entry(key, NodeRegistration(name, "z1", f"{name}:7000", 5))
        settings = make_settings(name, "z1")
        settings.address = f"{name}:7000"
        settings.quota_slack = self.slack
        settings.incarnation = int(self.now * 1000) if incarnation is None else incarnation
        gateway = self.gateways[name] = Gateway(settings, Random(f"{name}-{self.rng.random()}"))
        entries = [EntryUpdated(key, value, 1) for key, value in self.store.items()]
        for message in (
            StoreSnapshot(entries, self.revision),
            LeaseRenewed(self.now, True, 0),
            StoreSynced(self.now),
        ):
            self._carry_out(name, gateway.handle(message, self.now))

    def kill(self, name):
        """Kill a gateway; its registration stays."""
        self.gateways.pop(name, None)
        self.frozen.pop(name, None)

    def freeze(self, name, for_s):
        """Let a gateway stand still, with all that arrives meanwhile."""
        if name in self.gateways and name not in self.frozen:
            self.frozen[name] = []
            self.call_at(self.now + for_s, self.thaw, name)

    def thaw(self, name):
        """Deliver what has arrived at a frozen gateway."""
        for message in self.frozen.pop(name, ()):
            self.deliver(name, message)

    def cut(self, names, side=1):
        """Cut gateways off from those on other sides."""
        self.sides |= {name: side for name in names}

    def heal(self):
        """End all cuts."""
        self.sides.clear()

    def write_entry(self, key, value):
        """Write or, if `value` is None, delete an entry; gateways see it after a while."""
        self.revision += 1
        if value is None:
            self.store.pop(key, None)
            message = EntryDeleted(key, self.revision)
        else:
            self.store[key] = value
            message = EntryUpdated(key, value, self.revision)
        for name in self.gateways:
            self.call_at(self.now + STORE_LAG_S * self.rng.random(), self.deliver, name, message)

    def set_back_store(self, lost, for_s):
        """Set the store back to a copy without the entries `lost`, written again after `for_s`."""
        written = {key: self.store[key] for key in lost}
        kept = [EntryUpdated(k, v, 1) for k, v in self.store.items() if k not in written]
        for name in self.gateways:
            self.deliver(name, StoreSetBack(1))
            self.deliver(name, StoreSnapshot(kept, self.revision, 1))
        for key, value in written.items():
            self.call_at(self.now + for_s, self.write_entry, key, value)

    def set_rates(self, version, rates):
        """Write a configuration with other limits."""
        self.write_entry(CONFIG_KEY, make_quota_config(version, rates))

    # Events

    def call_at(self, at, action, *args):
        """Schedule ``action(*args)`` at `at` (s)."""
        heappush(self.events, (at, next(self.serial), action, args))

    def deliver(self, name, message):
        """Pass a message to a gateway, later if it is frozen, and carry out its effects."""
        if name in self.frozen:
            self.frozen[name].append(message)
        elif name in self.gateways:
            self._carry_out(name, self.gateways[name].handle(message, self.now))

    def run_until(self, end):
        """Advance the clock to `end` (s)."""
        while True:
            awake = [n for n in self.gateways if n not in self.frozen]
            due = min(((self.gateways[n].next_deadline(), n) for n in awake), default=(end, ""))
            at = min(due[0], self.events[0][0] if self.events else end, end)
            self.now = max(self.now, at)
            if self.now >= end:
                return
            if self.events and self.events[0][0] <= due[0]:
                _, _, action, args = heappop(self.events)
                action(*args)
            else:
                self._carry_out(due[1], self.gateways[due[1]].tick(self.now))
                self.now += 0.0002

    def _carry_out(self, name, effects):
        for effect in effects:
            if isinstance(effect, StartFleetRun):
                self._start_run(name, effect)
            elif isinstance(effect, RefuseRequest):
                request = self.requests[effect.request_id]
                request.refusal, request.answered_at = effect, self.now
            elif isinstance(effect, SendDatagram):
                self._send_datagram(name, effect)
            elif hasattr(effect, "detail"):
                self.log.append((self.now, name, effect))

    def _start_run(self, name, effect):
        request = self.requests[effect.request_id]
        request.ran, request.answered_at = True, self.now
        message = RunCompleted(effect.run_id, 200, None)
        self.call_at(self.now + RUN_S, self.deliver, name, message)

    def _send_datagram(self, name, effect):
        receiver = effect.address.partition(":")[0]
        if self.sides.get(name) != self.sides.get(receiver) or self.rng.random() < self.loss:
            return
        message = NodeDatagram(decode_datagram(encode_datagram(effect.body)))
        for _ in range(2 if self.rng.random() < self.repeat else 1):
            delay_s = DATAGRAM_S + self.delay_s * self.rng.random()
            self.call_at(self.now + delay_s, self.deliver, receiver, message)

    # Callers

    def send(self, organisation, tokens=1000, route="urgent", name=None, **fields):
        """Send a request to a gateway, a random one by default."""
        ready = [n for n in sorted(self.gateways) if n not in self.frozen]
        name = name or (self.rng.choice(ready) if ready else None)
        if name not in self.gateways:
            return
        request_id = f"r{next(self.serial)}"
        self.requests[request_id] = SentRequest(organisation, route, tokens, self.now)
        credential = CallerCredential((digest_key(f"key-{organisation}"),))
        request = GatewayRequest(
            request_id,
            request_id,
            "host",
            f"/{route}/x",
            self.now + 5.0,
            None,
            tokens,
            next(self.serial),
            credential=credential,
            **fields,
        )
        self.deliver(name, request)

    def schedule(self, organisation, start, end, tokens_per_s, tokens=1000, **fields):
        """Schedule requests at random times from `start` to `end` (s); see `send`.

        With `names`, a list, they go to these gateways only.
        """
        names = fields.pop("names", None)
        at = start
        while (at := at + self.rng.expovariate(tokens_per_s / tokens)) < end:
            name = self.rng.choice(names) if names else None
            self.call_at(at, lambda n=name: self.send(organisation, tokens, name=n, **fields))

    # Results

    def list_sent(self, organisation, start=0.0, end=1e9, route=None):
        """Return the requests of an organisation that were sent from `start` to `end` (s)."""
        return [
            request
            for request in self.requests.values()
            if request.organisation == organisation
            and start <= request.sent_at < end
            and route in (None, request.route)
        ]

    def count_tokens(self, organisation, start=0.0, end=1e9, route=None):
        """Return ``(tokens sent, tokens run)`` of an organisation."""
        sent = self.list_sent(organisation, start, end, route)
        return sum(r.tokens for r in sent), sum(r.tokens for r in sent if r.ran)

    def find_peak(self, organisation, start=0.0):
        """Return the most tokens that were sent and run within `WINDOW_S`."""
        runs = [r for r in self.list_sent(organisation, start) if r.ran]
        return max(
            sum(r.tokens for r in runs if first <= r.sent_at and r.answered_at <= first + WINDOW_S)
            for first in [r.sent_at for r in runs] or [0.0]
        )


def find_allowed(rate, slack=SLACK):
    """Return the most tokens that may run within `WINDOW_S` under a limit of `rate` (tokens/s)."""
    return (rate * WINDOW_S + rate) * (1.0 + OVERSHOOT) + slack
