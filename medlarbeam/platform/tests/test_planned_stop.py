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


async def wait_status(session, url, expected):
    """Call `url` until its status is `expected`."""
    async with asyncio.timeout(10):
        while True:
            async with session.get(url) as response:
                if response.status == expected:
                    return
            await asyncio.sleep(0.02)


STARVED_CALLERS = 4


def test_requests_that_arrive_while_a_stopping_process_gets_no_processor_time_are_served(tmp_path):
    """Soak seed 9: requests were read in the same turn in which idle connections were closed."""

    async def execute():
        rng = Random(9)
        timeout = ClientTimeout(total=2)
        async with (
            ProcessDeployment(tmp_path, rng, gateways=1, engines=1) as deployment,
            ClientSession(timeout=timeout) as session,
        ):
            gateway = deployment.gateways["gw-0"]
            ready_url = f"http://{gateway.ready_address}/readyz"
            await wait_status(session, ready_url, 200)
            callers = [RawCaller(gateway.front_address, SOAK_HOST) for _ in range(STARVED_CALLERS)]
            for number, caller in enumerate(callers):
                caller.send_request("pay", f"before-{number}")
                assert (await caller.receive())[0] == 200
            gateway.send_signal(signal.SIGTERM)
            await wait_status(session, ready_url, 503)
            gateway.send_signal(signal.SIGSTOP)
            for number, caller in enumerate(callers):
                caller.send_request("pay", f"during-{number}", deadline_ms=9000)
            await asyncio.sleep(3.0)  # beyond the time at which idle connections are closed
            gateway.send_signal(signal.SIGCONT)
            responses = [await caller.receive() for caller in callers]
            status = await asyncio.wait_for(gateway.process.wait(), 10)
            return [(status, body) for status, _, body in responses], status

    expected = [(200, b"paid during-%d" % number) for number in range(STARVED_CALLERS)]
    assert asyncio.run(execute()) == (expected, 0)
