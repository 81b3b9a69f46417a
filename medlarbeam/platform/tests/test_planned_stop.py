"""A planned stop of a gateway loses no request whose bytes have arrived.

Guards against requests on kept and new connections that get no response because they arrive just
when idle connections are closed.
"""

import asyncio
import signal
from random import Random

import pytest
from aiohttp import ClientSession, ClientTimeout

from medlarbeam.classes.messages import Shutdown
from medlarbeam.platform.tests.raw_caller import RawCaller
from medlarbeam.platform.tests.test_whole_path import HOST, run
from medlarbeam.soak.deployment import HOST as SOAK_HOST
from medlarbeam.soak.deployment import ROUTES, build_route
from medlarbeam.soak.deployment import Deployment as ProcessDeployment


def reach_end_of_listening(deployment):
    """Let the gateway close its listener and the idle connections now, in this turn."""
    lifecycle = deployment.shell.node.lifecycle
    lifecycle.leaving_at -= 2.7
    lifecycle.next_check = 0.0
    deployment.shell.run_tick()


async def open_kept_connection(deployment):
    """Return a connection on which a request was served before the stop, long enough ago."""
    caller = RawCaller(deployment.front, HOST)
    caller.send_request("pay", "id-0")
    assert (await caller.receive())[0] == 200
    await asyncio.sleep(0.25)  # after a shorter pause the connection does not count as idle
    return caller


async def open_new_connection(deployment):
    """Return a connection that the gateway has not accepted yet."""
    return RawCaller(deployment.front, HOST)


ARRIVALS = [
    *(
        (f"{name}-{turns}-turns-before-the-close", opener, turns)
        for name, opener in (
            ("kept-connection", open_kept_connection),
            ("new-connection", open_new_connection),
        )
        for turns in range(6)
    ),
]


@pytest.mark.parametrize(
    ("open_connection", "turns"), [a[1:] for a in ARRIVALS], ids=[a[0] for a in ARRIVALS]
)
def test_request_that_arrives_before_idle_connections_are_closed_is_served(open_connection, turns):
    async def scenario(deployment, session):
        caller = await open_connection(deployment)
        deployment.shell.deliver(Shutdown())
        caller.send_request("pay", "id-1")
        for _ in range(turns):
            await asyncio.sleep(0)
        reach_end_of_listening(deployment)
        status, head, body = await caller.receive()
        return status, body, "connection: close" in head, await caller.is_closed_cleanly()

    assert run(scenario) == (200, b"paid", True, True)


def test_request_whose_body_arrives_after_idle_connections_are_closed_is_served():
    """The HTTP library drops what arrives on a connection that is marked to be closed."""

    async def scenario(deployment, session):
        caller = await open_kept_connection(deployment)
        deployment.shell.deliver(Shutdown())
        head, body = caller.build_request("pay", "id-1")
        caller.send(head + body[:2])
        await asyncio.sleep(0.1)
        reach_end_of_listening(deployment)
        caller.send(body[2:])
        status, head, body = await caller.receive()
        return status, body, "connection: close" in head, await caller.is_closed_cleanly()

    assert run(scenario) == (200, b"paid", True, True)


def test_request_after_a_stream_that_began_before_the_stop_is_served():
    """The head of the stream does not announce the close, so its caller reuses the connection."""

    async def scenario(deployment, session):
        await deployment.call(session, "draft", "id-0")
        deployment.set_response_mode("paced")
        caller = RawCaller(deployment.front, HOST)
        caller.send_request("draft", "id-1", headers="X-Model: m0/a1\r\n")
        while b"data: x1" not in caller.received:
            caller.received += await caller.read()
        deployment.shell.deliver(Shutdown())
        reach_end_of_listening(deployment)
        first = (await caller.receive())[0]
        caller.send_request("pay", "id-2")
        status, head, body = await caller.receive()
        return first, status, body, "connection: close" in head, await caller.is_closed_cleanly()

    assert run(scenario) == (200, 200, b"paid", True, True)


def test_stream_that_begins_in_the_stop_announces_the_close():
    async def scenario(deployment, session):
        await deployment.call(session, "draft", "id-0")
        deployment.shell.deliver(Shutdown())
        caller = RawCaller(deployment.front, HOST)
        caller.send_request("draft", "id-1", headers="X-Model: m0/a1\r\n")
        status, head, _ = await caller.receive()
        return status, "connection: close" in head, await caller.is_closed_cleanly()

    assert run(scenario) == (200, True, True)


def test_gateway_exits_when_the_last_connection_is_closed():
    async def scenario(deployment, session):
        callers = [await open_kept_connection(deployment) for _ in range(2)]
        deployment.shell.deliver(Shutdown())
        reach_end_of_listening(deployment)
        closed = [await caller.is_closed_cleanly() for caller in callers]
        async with asyncio.timeout(5):
            await deployment.shell.exited.wait()
        return closed

    assert run(scenario) == [True, True]


async def wait_until_refused(address):
    """Connect to `address` until nothing listens there."""
    async with asyncio.timeout(10):
        while True:
            try:
                RawCaller(address, SOAK_HOST).close()
            except ConnectionRefusedError:
                return
            await asyncio.sleep(0.02)


async def wait_status(session, url, expected):
    """Call `url` until its status is `expected`."""
    async with asyncio.timeout(10):
        while True:
            async with session.get(url) as response:
                if response.status == expected:
                    return
            await asyncio.sleep(0.02)


STARVED_CALLERS = 4


def run_processes(scenario, folder):
    """Run a scenario with a deployment of one gateway process, which is ready, and its callers."""

    async def execute():
        async with (
            ProcessDeployment(folder, Random(9), gateways=1, engines=1) as deployment,
            ClientSession(timeout=ClientTimeout(total=2)) as session,
        ):
            gateway = deployment.gateways["gw-0"]
            await wait_status(session, f"http://{gateway.ready_address}/readyz", 200)
            return await scenario(deployment, gateway, session)

    return asyncio.run(execute())


def test_requests_that_arrive_while_a_stopping_process_gets_no_processor_time_are_served(tmp_path):
    """Soak seed 9: requests were read in the same turn in which idle connections were closed."""

    async def scenario(deployment, gateway, session):
        callers = [RawCaller(gateway.front_address, SOAK_HOST) for _ in range(STARVED_CALLERS)]
        for number, caller in enumerate(callers):
            caller.send_request("pay", f"before-{number}")
            assert (await caller.receive())[0] == 200
        gateway.send_signal(signal.SIGTERM)
        await wait_status(session, f"http://{gateway.ready_address}/readyz", 503)
        gateway.send_signal(signal.SIGSTOP)
        for number, caller in enumerate(callers):
            caller.send_request("pay", f"during-{number}", deadline_ms=9000)
        await asyncio.sleep(3.0)  # beyond the time at which idle connections are closed
        gateway.send_signal(signal.SIGCONT)
        responses = [await caller.receive() for caller in callers]
        status = await asyncio.wait_for(gateway.process.wait(), 10)
        return [(status, body) for status, _, body in responses], status

    expected = [(200, b"paid during-%d" % number) for number in range(STARVED_CALLERS)]
    assert run_processes(scenario, tmp_path) == (expected, 0)


def test_requests_that_outlast_the_grace_get_a_true_response(tmp_path):
    """A payment that is open at the end may have run; one that comes late must not be sent."""

    async def scenario(deployment, gateway, session):
        slow = {"timeoutMs": 20000, "goalLatencyMs": 15000}
        route = build_route("slow", "non_idempotent", "ledger", attempts=1, **slow)
        deployment.write_config([*ROUTES, route])
        probe = RawCaller(gateway.front_address, SOAK_HOST)
        status = 404
        async with asyncio.timeout(10):
            while status == 404:  # until the route is known
                probe.send_request("slow", "probe")
                status, *_ = await probe.receive()
        early, late = (RawCaller(gateway.front_address, SOAK_HOST) for _ in range(2))
        for name in ("ledger-0", "ledger-1"):
            deployment.proxies[name].mode = "cut_to_client"
        early.send_request("slow", "early", 20000)
        head, body = late.build_request("slow", "late", 20000)
        late.send(head + body[:2])
        gateway.send_signal(signal.SIGTERM)
        await wait_until_refused(gateway.front_address)
        late.send(body[2:])
        results = []
        for caller in (late, early):
            status, head, _ = await caller.receive()
            is_closed = "connection: close" in head and await caller.is_closed_cleanly()
            results.append((status, is_closed))
        ran = {r.attempt for r in deployment.runs}
        exit_status = await asyncio.wait_for(gateway.process.wait(), 10)
        return results, "early" in ran, "late" in ran, exit_status

    expected = ([(503, True), (502, True)], True, False, 0)
    assert run_processes(scenario, tmp_path) == expected
