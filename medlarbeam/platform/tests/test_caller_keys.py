"""Requests of callers with and without keys, on each way to a backend server.

Guards against backend servers that receive a caller's key or an organisation that the system has
not set, and against requests that run although no configuration in force allows it.
"""

import asyncio

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout
from orjson import dumps

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.record import Record
from medlarbeam.platform.documents import encode_node
from medlarbeam.platform.tests.raw_caller import RawCaller
from medlarbeam.platform.tests.test_forwarding import run_stranded
from medlarbeam.platform.tests.test_whole_path import (
    BROKEN,
    CONFIG,
    HOST,
    Deployment,
    route,
    run,
    wait_until,
)

ORGANISATIONS = [
    {"name": "acme", "apiKeys": ["key-of-acme", "second-key-of-acme"], "priority": 1},
    {"name": "bolt", "apiKeys": ["key-of-bolt", "clé-de-bolt"], "priority": 0},
    {"name": "without-keys", "apiKeys": []},
]
PUBLIC_ROUTE = route("open", "idempotent", "ledger", public=True)


def write_config(deployment, version, organisations=ORGANISATIONS):
    routes = [*CONFIG["routes"], PUBLIC_ROUTE]
    document = {**CONFIG, "version": version, "routes": routes, "tenants": organisations}
    deployment.store.put("op/config", dumps(document))


async def adopt(deployments, version, organisations=ORGANISATIONS):
    for deployment in deployments:
        write_config(deployment, version, organisations)
    for deployment in deployments:
        fleet = deployment.shell.node.fleet
        await wait_until(lambda fleet=fleet, version=version: fleet.config.version == version)


def list_received(deployments, attempt):
    """Return the requests with an attempt id that reached backend servers."""
    workers = [w for deployment in deployments for w in deployment.workers.values()]
    received = [request for worker in workers for request in worker.received]
    # One without an id would be of any request.
    return [r for r in received if r.read_values("X-Attempt-Id") in ([attempt], [])]


class Outcome(Record):
    """What became of the request of a caller.

    Parameters
    ----------
    caller : str
    is_unauthorised : bool
        Whether it was answered 401.
    organisations : set of str
        Values of the header with the organisation, as backend servers received it.
    is_key_passed : bool
        Whether a backend server received a key.
    """

    __slots__ = ("caller", "is_key_passed", "is_unauthorised", "organisations")

    def __init__(self, caller, is_unauthorised, organisations, is_key_passed):
        self.caller = caller
        self.is_unauthorised = is_unauthorised
        self.organisations = organisations
        self.is_key_passed = is_key_passed


def prepare_nothing(deployment):
    pass


def fail_all_runs(deployment):
    deployment.set_response_mode("error")


def misdirect_at_one_server(deployment):
    for name in ("l1", "w1"):
        deployment.workers[name].response_mode = "misdirect"


def break_streams(deployment):
    deployment.set_response_mode("half")


# Way to a backend server: name of the route, what the servers do, headers of the caller, whether
# the request goes through another gateway.
TAKE_UP = [("Last-Event-Id", "1"), ("Resumes", "id-0")]
WAYS = [
    ("first-run", "pay", prepare_nothing, [], False),
    ("stream", "chat", prepare_nothing, [], False),
    ("retry", "read", fail_all_runs, [], False),
    ("resumed-stream", "chat", break_streams, [], False),
    ("taken-up-stream", "chat", prepare_nothing, TAKE_UP, False),
    ("refused-as-misdirected", "pay", misdirect_at_one_server, [], False),
    ("forwarded", "pay", prepare_nothing, [], True),
    ("forwarded-and-retried", "read", fail_all_runs, [], True),
    ("forwarded-stream", "chat", prepare_nothing, [], True),
]
FORGED = [("X-Tenant", "bolt"), ("x-tenant", "bolt"), ("X-TENANT", "acme")]
KEY = ("X-Key", "key-of-acme")

# Headers of the caller, and what it gets: the organisation that backend servers are told, "" for
# none, or `REFUSED`.
REFUSED = None
CALLERS = [
    ("key", [KEY], "acme"),
    ("second-key", [("x-key", "second-key-of-acme")], "acme"),
    ("key-that-is-not-ascii", [("X-Key", "clé-de-bolt")], "bolt"),
    ("forged-organisation", [KEY, *FORGED], "acme"),
    ("options-that-name-the-headers", [KEY, ("Connection", "X-Tenant, X-Key")], "acme"),
    ("no-key", [], REFUSED),
    ("forged-organisation-without-a-key", FORGED, REFUSED),
    ("empty-key", [("X-Key", "")], REFUSED),
    ("unknown-key", [("X-Key", "k" * 3000)], REFUSED),
    ("two-keys", [KEY, ("X-Key", "key-of-bolt")], REFUSED),
    ("two-keys-in-one-header", [("X-Key", "key-of-acme, key-of-bolt")], REFUSED),
    ("name-of-an-organisation", [("X-Key", "acme")], REFUSED),
    ("withdrawn-key", [("X-Key", "former-key-of-acme")], REFUSED),
]
PUBLIC_CALLERS = [
    ("no-key", [], ""),
    ("key", [KEY], ""),
    ("unknown-key", [("X-Key", "unknown-key")], ""),
    ("forged-organisation", FORGED, ""),
]


@pytest.mark.parametrize(
    ("name", "prepare", "extra_headers", "is_forwarded"),
    [w[1:] for w in WAYS],
    ids=[w[0] for w in WAYS],
)
def test_backend_server_is_told_the_organisation_and_no_key(
    name, prepare, extra_headers, is_forwarded
):
    async def scenario(deployments, session):
        await withdraw_key(deployments)
        prepare(deployments[-1])
        return [
            await call(deployments, session, name, caller, headers + extra_headers)
            for caller, headers, _ in CALLERS
        ]

    outcomes = run_ways(scenario, is_forwarded)
    assert outcomes == [expect_outcome(*caller) for caller in CALLERS]


@pytest.mark.parametrize("is_forwarded", [False, True], ids=["direct", "forwarded"])
def test_public_route_needs_no_key_and_passes_none(is_forwarded):
    async def scenario(deployments, session):
        await adopt(deployments, 4)
        return [
            await call(deployments, session, "open", caller, headers)
            for caller, headers, _ in PUBLIC_CALLERS
        ]

    outcomes = run_ways(scenario, is_forwarded)
    assert outcomes == [expect_outcome(*caller) for caller in PUBLIC_CALLERS]


def run_ways(scenario, is_forwarded):
    """Run a scenario with one gateway, or two of which the first reaches no backend server."""
    if is_forwarded:
        return run_stranded(lambda first, other, session: scenario([first, other], session))
    return run(lambda deployment, session: scenario([deployment], session))


async def withdraw_key(deployments):
    """Write a configuration with one more key, and one without it."""
    acme, *others = ORGANISATIONS
    former = [{**acme, "apiKeys": [*acme["apiKeys"], "former-key-of-acme"]}, *others]
    await adopt(deployments, 4, former)
    await adopt(deployments, 5)


async def call(deployments, session, name, caller, headers):
    """Send a request; return its `Outcome`."""
    method = "GET" if name in ("read", "open") else "POST"
    attempt = f"id-{caller}"
    fields = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2000"), *headers]
    fields += [("X-Model", "m0/a1")] if name == "chat" else []
    url = f"http://{deployments[0].front}/{name}/{caller}"
    try:
        async with session.request(method, url, headers=fields, data=b"order") as response:
            await response.read()
            status = response.status
    except ClientError:
        status = BROKEN
    received = list_received(deployments, attempt)
    organisations = {",".join(request.read_values("X-Tenant")) for request in received}
    has_key = any(request.read_values("X-Key") for request in received)
    return Outcome(caller, status == 401, organisations, has_key)


def expect_outcome(caller, headers, organisation):
    if organisation is REFUSED:
        return Outcome(caller, True, set(), False)
    return Outcome(caller, False, {organisation}, False)


def test_key_is_refused_where_the_store_turns_a_gateway_away_when_it_is_withdrawn():
    async def execute():
        async with Deployment() as first, Deployment("n2") as other:
            for deployment, peer in ((first, other), (other, first)):
                address = peer.shell.node.settings.address
                node = NodeRegistration(peer.name, "z1", address, 5)
                deployment.store.put(f"medlarbeam/node/{peer.name}", encode_node(node))
            await withdraw_key([first, other])
            await wait_until(lambda: "n1" in other.shell.node.fleet.nodes)
            first.store.injected_fault = "busy"
            fleet = first.shell.node.fleet
            await wait_until(lambda: fleet.store_unavailable_since is not None)
            acme, *others = ORGANISATIONS
            await adopt([other], 6, [{**acme, "apiKeys": ["key-of-acme"]}, *others])
            await wait_until(lambda: fleet.config.version == 6)
            async with ClientSession(timeout=ClientTimeout(total=8)) as session:
                return [
                    await call([first], session, "pay", caller, headers)
                    for caller, headers, _ in CALLERS
                ]

    expected = [expect_outcome(*caller) for caller in CALLERS]
    expected[1] = expect_outcome("second-key", [], REFUSED)
    assert asyncio.run(execute()) == expected


# Header lines of a request that the parser refuses.
MALFORMED = [
    ("space-before-the-colon", "X-Key : secret"),
    ("space-before-the-name", " X-Key: secret"),
    ("line-that-is-folded", "X-Key: a\r\n secret"),
    ("bare-carriage-return", "X-Key: secret\rX-A: secret"),
    ("bare-line-feed", "X-A: 1\nX-Key: secret"),
    ("two-hosts", "Host: secret"),
    ("two-lengths", "Content-Length: 7\r\nX-Key: secret"),
    ("no-colon", "X-Key secret"),
]


@pytest.mark.parametrize("line", [m[1] for m in MALFORMED], ids=[m[0] for m in MALFORMED])
def test_key_is_in_no_log_line_and_no_answer_to_a_malformed_request(line, caplog):
    async def scenario(deployment, session):
        caller = RawCaller(deployment.front, HOST)
        caller.send_request("pay", "id-1", headers=f"{line}\r\n")
        answer = await caller.receive()
        caller.close()
        return answer

    with caplog.at_level("DEBUG"):
        status, head, body = run(scenario)
    assert status == 400
    assert "secret" not in head + body.decode() + caplog.text


def test_key_is_in_no_log_line_of_requests_and_configurations(caplog):
    async def scenario(deployment, session):
        await withdraw_key([deployment])
        conflict = {"name": "late", "apiKeys": ["key-of-acme"]}
        await adopt([deployment], 6, [*ORGANISATIONS, conflict])
        write_config(deployment, 7, [{"name": "acme", "apiKeys": ["key-of-acme", 5]}])
        return [
            await call([deployment], session, "pay", caller, headers)
            for caller, headers, _ in CALLERS
        ]

    with caplog.at_level("DEBUG"):
        outcomes = run(scenario)
    assert outcomes == [expect_outcome(*caller) for caller in CALLERS]
    assert "a key of 'late' is held by 'acme'" in caplog.text
    keys = [key for organisation in ORGANISATIONS for key in organisation["apiKeys"]]
    assert not [key for key in [*keys, "former-key-of-acme", "k" * 3000] if key in caplog.text]
