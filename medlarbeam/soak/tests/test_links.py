"""Each gateway of the soak reads the addresses of its own links, which can be cut."""

import asyncio
from base64 import b64decode, b64encode

import pytest
from orjson import dumps, loads

from medlarbeam.soak.links import GatewayLink, WorkerLinks, replace_addresses


def make_item(key, value):
    return {"key": key, "value": b64encode(value).decode(), "revision": 7}


def make_link(address):
    link = GatewayLink("127.0.0.1:1")
    link.address = address
    return link


DOCUMENT = dumps({"address": "127.0.0.1:1", "zone": "a"})
WORKERS = {"engine-0": make_link("127.0.0.1:2")}
PEERS = {"gw-1": make_link("127.0.0.1:3")}

# Guards against gateways that share one link, and against changes of what others wrote.
ADDRESSES = [
    ("worker", "servers/engine-0", DOCUMENT, "127.0.0.1:2"),
    ("other-gateway", "medlarbeam/node/gw-1", DOCUMENT, "127.0.0.1:3"),
    ("gateway-itself", "medlarbeam/node/gw-0", DOCUMENT, "127.0.0.1:1"),
    ("worker-with-the-name-of-a-gateway", "servers/gw-1", DOCUMENT, "127.0.0.1:1"),
    ("other-key", "medlarbeam/right/engine-0", DOCUMENT, "127.0.0.1:1"),
]


@pytest.mark.parametrize("field", ["items", "events"])
@pytest.mark.parametrize(
    ("key", "value", "address"), [a[1:] for a in ADDRESSES], ids=[a[0] for a in ADDRESSES]
)
def test_addresses_that_a_gateway_reads(field, key, value, address):
    document = {field: [make_item(key, value)], "storeRevision": 9}
    replaced = replace_addresses(document, WORKERS, PEERS)
    (item,) = replaced[field]
    assert loads(b64decode(item["value"])) == {"address": address, "zone": "a"}
    assert (item["key"], item["revision"], replaced["storeRevision"]) == (key, 7, 9)
    assert document[field] == [make_item(key, value)]


UNCHANGED = [
    ("removal", {"events": [{"key": "servers/engine-0", "revision": 7, "deleted": True}]}),
    ("value-that-is-no-document", {"items": [make_item("servers/engine-0", b"\xff{")]}),
    ("value-that-is-no-object", {"items": [make_item("servers/engine-0", b"[1]")]}),
    ("malformed-response", {"items": 5, "events": [{"key": 7}], "storeRevision": "?"}),
]


@pytest.mark.parametrize("document", [u[1] for u in UNCHANGED], ids=[u[0] for u in UNCHANGED])
def test_what_names_no_address_stays_as_it_is(document):
    assert replace_addresses(document, WORKERS, PEERS) == document


# Steps, and whether gw-0 and gw-1 reach the worker after them.
STATES = [
    ("as-started", [], (True, True)),
    ("worker-is-down", ["down"], (False, False)),
    ("worker-is-back", ["down", "up"], (True, True)),
    ("one-gateway-is-cut-off", ["cut"], (False, True)),
    ("cut-has-ended", ["cut", "restore"], (True, True)),
    ("worker-comes-back-during-a-cut", ["cut", "down", "up"], (False, True)),
    ("cut-ends-while-the-worker-is-down", ["cut", "down", "restore"], (False, False)),
    ("cut-ends-after-the-worker-is-back", ["down", "cut", "up", "restore"], (True, True)),
]


async def reaches(link):
    """Return whether a byte sent over a link comes back within a short time."""
    try:
        async with asyncio.timeout(0.3):
            host, _, port = link.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"x")
            is_reached = await reader.read(1) == b"x"
            writer.transport.abort()
            return is_reached
    except (OSError, TimeoutError):
        return False


async def echo(reader, writer):
    writer.write(await reader.read(1))
    writer.close()


@pytest.mark.parametrize("kind", ["silent", "refused"])
@pytest.mark.parametrize(("steps", "expected"), [s[1:] for s in STATES], ids=[s[0] for s in STATES])
def test_which_gateways_reach_a_worker(kind, steps, expected):
    async def run():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        group = WorkerLinks(f"127.0.0.1:{port}", ["gw-0", "gw-1"])
        await group.start()
        for step in steps:
            if step == "cut":
                group.links["gw-0"].cut(kind)
            elif step == "restore":
                await group.links["gw-0"].restore()
            elif step == "up":
                await group.start()
            else:
                group.stop()
        reached = [await reaches(link) for link in group.links.values()]
        group.stop()
        server.close()
        return tuple(reached)

    assert asyncio.run(run()) == expected
