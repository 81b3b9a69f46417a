"""Tests of server assignment: even distribution, and few moves when a member is lost."""

import pytest

from medlarbeam.algorithms.assignment import assign_servers
from medlarbeam.classes.cells import BackendServer

KINDS = {"engine": "", "till": "till"}


def make_servers(engines, tills):
    names = [f"engine{i}" for i in range(engines)] + [f"till{i}" for i in range(tills)]
    return [BackendServer(n, "", "d", "c", KINDS[n.rstrip("0123456789")]) for n in names]


DISTRIBUTIONS = [
    ("no-owners-without-nodes", 3, 1, [], {}),
    ("single-node-owns-all-servers", 3, 1, ["a"], {"a": (3, 1)}),
    ("remainder-goes-to-one-node", 5, 0, ["a", "b"], {}),
    ("each-service-is-distributed-separately", 4, 2, ["a", "b"], {"a": (2, 1), "b": (2, 1)}),
    ("more-nodes-than-servers", 2, 0, ["a", "b", "c"], {}),
    ("thirty-engines-on-eight-nodes", 30, 4, list("abcdefgh"), {}),
]


@pytest.mark.parametrize(
    ("engines", "tills", "nodes", "expected"),
    [d[1:] for d in DISTRIBUTIONS],
    ids=[d[0] for d in DISTRIBUTIONS],
)
def test_servers_are_distributed_evenly(engines, tills, nodes, expected):
    servers = make_servers(engines, tills)
    owners = assign_servers(servers, nodes)
    assert owners == assign_servers(servers[::-1], nodes[::-1])
    assert len(owners) == (len(servers) if nodes else 0)
    counts = {n: [0, 0] for n in nodes}
    for server, node in owners.items():
        counts[node][server.startswith("till")] += 1
    for kind in (0, 1) if nodes else ():
        numbers = [c[kind] for c in counts.values()]
        assert max(numbers) - min(numbers) <= 1
    assert all(tuple(counts[n]) == share for n, share in expected.items())


@pytest.mark.parametrize(
    "lost", list("abcdefgh"), ids=lambda n: f"servers-of-other-nodes-move-after-loss-of-{n}"
)
def test_loss_of_node_moves_few_servers(lost):
    servers = make_servers(30, 0)
    before = assign_servers(servers, list("abcdefgh"))
    after = assign_servers(servers, [n for n in "abcdefgh" if n != lost])
    moved = sum(before[s] != after[s] for s in before if before[s] != lost)
    assert moved <= 8
