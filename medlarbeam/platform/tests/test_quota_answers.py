"""Requests over the quota of their organisation, through two gateways on loopback.

Guards against a refused request that has run, and against an answer without the time at which its
caller may return.
"""

import asyncio

import pytest
from aiohttp import ClientSession
from orjson import loads

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.platform.documents import encode_node
from medlarbeam.platform.tests.test_caller_keys import adopt, list_received
from medlarbeam.platform.tests.test_whole_path import HOST, Deployment, run, wait_until

RATE = 2000.0
ORGANISATION = {"name": "acme", "apiKeys": ["key"], "unit": "token_stream", "plainTokens": 100}
ORGANISATION |= {"ratePerS": RATE, "burst": RATE, "priority": 2}
WINDOW_TOKENS = 9 * RATE * 1.1  # of eight seconds


async def read(deployment, session, attempt, **headers):
    """Send an idempotent request and return its status, headers and body."""
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Key": "key"} | headers
    url = f"http://{deployment.front}/read/x"
    async with session.get(url, headers=headers) as response:
        return response.status, response.headers, await response.read()


def test_refused_requests_have_not_run_and_say_when_to_return():
    async def execute():
        async with Deployment() as first, Deployment("n2") as second:
            both = [first, second]
            for deployment in both:
                for peer in both:
                    node = NodeRegistration(peer.name, "z1", peer.shell.node.settings.address, 5)
                    deployment.store.put(f"medlarbeam/node/{peer.name}", encode_node(node))
            await adopt(both, 4, [ORGANISATION])
            await wait_until(lambda: all(len(d.shell.node.fleet.nodes) == 2 for d in both))
            async with ClientSession() as session:
                answers = await asyncio.gather(
                    *(
                        read(both[n % 2], session, f"id-{n}", **{"X-Token-Usage": "60,40"})
                        for n in range(200)
                    )
                )
            refused = [(f"id-{n}", a) for n, a in enumerate(answers) if a[0] == 429]
            ran = [n for n in range(200) if list_received(both, f"id-{n}")]
            return refused, [n for n, _ in refused if list_received(both, n)], len(ran)

    refused, refused_and_run, ran = asyncio.run(execute())
    assert refused and not refused_and_run
    assert 0 < 100 * ran <= WINDOW_TOKENS
    for _, (_, headers, body) in refused:
        assert 0.0 < float(headers["Retry-After"]) <= 6.5
        assert loads(body)["error"] == "quota_exceeded"
        assert loads(body)["run"] == "not_run"


USAGES = {
    "negative": ("-5,80", 400),
    "no-number": ("many", 400),
    "enormous": ("1" + 30 * "0" + ",1", 400),
    "three-numbers": ("1,2,3", 400),
    "beyond-the-quota": ("99999999,1", 429),
    "readable": ("60,40", 200),
}


@pytest.mark.parametrize(("usage", "status"), USAGES.values(), ids=USAGES)
def test_token_usage_has_a_stated_answer(usage, status):
    async def scenario(deployment, session):
        await adopt([deployment], 4, [ORGANISATION])
        answer = await read(deployment, session, "odd", **{"X-Token-Usage": usage})
        next_status, _, _ = await read(deployment, session, "next")
        return answer[0], bool(list_received([deployment], "odd")), next_status

    assert run(scenario) == (status, status == 200, 200)


def test_priority_of_the_organisation_reaches_the_server():
    async def scenario(deployment, session):
        other = {"name": "bolt", "apiKeys": ["urgent"], "priority": 0}
        await adopt([deployment], 4, [ORGANISATION, other])
        await read(deployment, session, "later")
        await read(deployment, session, "first", **{"X-Key": "urgent"})
        (later,), (first,) = (list_received([deployment], a) for a in ("later", "first"))
        return [int(r.read_values("X-Request-Priority")[0]) for r in (first, later)]

    first, later = run(scenario)
    assert first < later
