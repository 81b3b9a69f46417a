"""A gateway that breaks a promise on keys is found by the odd callers and the checker of the soak.

The gateway runs in the process of the test, with workers and callers of the soak.
"""

import asyncio
from random import Random

import pytest
from aiohttp import ClientSession, ClientTimeout
from orjson import dumps

from medlarbeam.algorithms.caller_access import KeyedAccess
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.platform import header_rules
from medlarbeam.platform.header_rules import REQUEST_RULES, HeaderRule
from medlarbeam.platform.tests.test_whole_path import Deployment, wait_until
from medlarbeam.soak.checker import History, find_violations
from medlarbeam.soak.deployment import ENGINE, ROUTES
from medlarbeam.soak.key_ring import KeyRing
from medlarbeam.soak.odd_requests import KINDS, OddCaller
from medlarbeam.soak.worker import SoakWorker

# The operator's last change is recorded as if it had been made this long (s) ago, so that a
# gateway that has read it is out of all bounds of time.
CHANGE_AGE_S = 60.0


class Front:
    """The gateway in the process, as callers of the soak know it."""

    __slots__ = ("front_address", "name")

    def __init__(self, front_address):
        self.name = "gw-0"
        self.front_address = front_address


async def write_keys(deployment, key_ring, version):
    """Write the keys, and wait until the gateway has read them."""
    services = [{"name": "ledger"}, {"name": "llm", "engine": {**ENGINE, "adapterCapacity": 8}}]
    document = {"version": version, "limits": {}, "routes": ROUTES, "services": services}
    deployment.store.put("op/config", dumps({**document, "tenants": key_ring.encode()}))
    key_ring.record(version, asyncio.get_running_loop().time() - CHANGE_AGE_S)
    fleet = deployment.shell.node.fleet
    await wait_until(lambda: fleet.config.version == version)


async def play():
    """Send requests of all kinds after a change of keys, and return the `History`."""
    requests, runs, arrivals, key_ring = [], [], [], KeyRing()
    deployment = Deployment()
    for name in deployment.workers:
        deployment.workers[name] = SoakWorker(name, Random(1), runs, [], arrivals)
    async with deployment:
        await write_keys(deployment, key_ring, 4)
        moved, former, *_ = key_ring.holders
        key_ring.holders[moved] = "bolt"
        del key_ring.holders[former]
        key_ring.give("acme")
        await write_keys(deployment, key_ring, 5)
        fronts = [Front(deployment.front)]
        callers = [
            OddCaller(str(n), fronts, Random(n), requests, key_ring=key_ring, kinds=[kind])
            for n, kind in enumerate(KINDS)
        ]
        keys = list(key_ring.holders)
        async with ClientSession(timeout=ClientTimeout(total=8)) as session:
            for number, caller in enumerate(callers):
                caller.key = keys[-number % len(keys)]  # the moved one, the added one, and others
            requests += await asyncio.gather(*(c.call(session, fronts[0]) for c in callers))
    receipts = [receipt for worker in deployment.workers.values() for receipt in worker.receipts]
    return History(
        requests, runs, [], [], 0.0, arrivals=arrivals, receipts=receipts, key_ring=key_ring
    )


def test_gateway_without_a_mutant_breaks_no_rule():
    assert find_violations(asyncio.run(play())) == []


INIT, IDENTIFY = KeyedAccess.__init__, KeyedAccess.identify


def keep_keys(is_read_once):
    """Return a mutant that keeps the keys of the first configuration only, or of all."""

    def mutate(monkeypatch):
        kept = {}

        def init(access, organisations):
            INIT(access, organisations)
            if not (kept and is_read_once):
                kept.update(access.names)
            access.names = kept

        monkeypatch.setattr(KeyedAccess, "__init__", init)

    return mutate


def identify_by(decide):
    """Return a mutant whose decision is made from the proper one."""

    def identify(access, credential, route):
        return decide(IDENTIFY(access, credential, route), access, credential, route)

    return lambda monkeypatch: monkeypatch.setattr(KeyedAccess, "identify", identify)


def pass_header(name):
    return lambda monkeypatch: monkeypatch.setitem(REQUEST_RULES, name, HeaderRule.END_TO_END)


def forget_header(name):
    return lambda monkeypatch: monkeypatch.delitem(REQUEST_RULES, name)


def pass_headers_of_nodes(monkeypatch):
    monkeypatch.setattr(header_rules, "NODE_PREFIX", "none-")


def run_without_a_key(found, access, credential, route):
    return "acme" if isinstance(found, Failure) else found


def answer_that_it_has_not_run(found, access, credential, route):
    if isinstance(found, Failure):
        return Failure(ErrorKind.CATALOG_UNCONFIRMED, "no organisation holds the key")
    return found


def swap_organisations(found, access, credential, route):
    return {"acme": "bolt", "bolt": "acme"}.get(found, found) if isinstance(found, str) else found


def refuse_all(found, access, credential, route):
    return found if route.is_public else Failure(ErrorKind.NOT_AUTHORIZED, "refused")


def need_a_key_on_each_route(found, access, credential, route):
    has_key = any(digest in access.names for digest in credential.key_digests)
    return found if has_key else Failure(ErrorKind.NOT_AUTHORIZED, "no organisation holds the key")


def name_on_each_route(found, access, credential, route):
    names = [access.names[digest] for digest in credential.key_digests if digest in access.names]
    return names[0] if route.is_public and names else found


MUTANTS = [
    ("key-is-passed-on", "UNASKED", pass_header("x-key")),
    ("no-rule-for-the-key", "UNASKED", forget_header("x-key")),
    ("organisation-of-the-caller-is-passed-on", "UNASKED", pass_header("x-tenant")),
    ("digest-of-the-caller-is-passed-on", "UNASKED", pass_headers_of_nodes),
    ("option-removes-the-tokens", "UNASKED", forget_header("x-token-usage")),
    ("option-removes-the-attempt-id", "DENIED", forget_header("x-attempt-id")),
    ("organisations-are-swapped", "UNASKED", identify_by(swap_organisations)),
    (
        "organisation-on-a-public-route",
        "UNASKED",
        identify_by(name_on_each_route),
    ),
    ("requests-without-a-key-run", "ROUTE", identify_by(run_without_a_key)),
    ("withdrawn-keys-are-kept", "CONFIG", keep_keys(False)),
    ("added-keys-are-not-read", "CONFIG", keep_keys(True)),
    ("503-in-place-of-401", "DENIED", identify_by(answer_that_it_has_not_run)),
    ("keys-that-are-held-are-refused", "DENIED", identify_by(refuse_all)),
    ("public-route-needs-a-key", "DENIED", identify_by(need_a_key_on_each_route)),
]


@pytest.mark.parametrize(("rule", "mutate"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS])
def test_mutant_is_found(rule, mutate, monkeypatch):
    mutate(monkeypatch)
    found = find_violations(asyncio.run(play()))
    assert rule in {text.partition(" ")[0] for text in found}
