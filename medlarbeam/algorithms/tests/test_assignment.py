"""Backend servers are spread evenly, and few move when a member comes or goes."""

import pytest

from medlarbeam.algorithms.assignment import assign_servers
from medlarbeam.classes.cells import BackendServer

KINDS = {"engine": "", "till": "till"}


def make_servers(engines, tills):
    names = [f"engine{i}" for i in range(engines)] + [f"till{i}" for i in range(tills)]
    return [BackendServer(n, "", "d", "c", KINDS[n.rstrip("0123456789")]) for n in names]


SPREADS = [
    ("no-nodes", 3, 1, [], {}),
    ("one-node-gets-all", 3, 1, ["a"], {"a": (3, 1)}),
    ("odd-count-differs-by-one", 5, 0, ["a", "b"], {}),
    ("each-kind-is-spread-by-itself", 4, 2, ["a", "b"], {"a": (2, 1), "b": (2, 1)}),
    ("more-nodes-than-servers", 2, 0, ["a", "b", "c"], {}),
    ("cell-of-the-target", 30, 4, list("abcdefgh"), {}),
]


@pytest.mark.parametrize(
    ("engines", "tills", "nodes", "expected"),
    [s[1:] for s in SPREADS],
    ids=[s[0] for s in SPREADS],
)
def test_spread(engines, tills, nodes, expected):
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
    "lost", list("abcdefgh"), ids=lambda n: f"most-servers-move-after-loss-{n}"
)
def test_loss_of_a_node_moves_few(lost):
    servers = make_servers(30, 0)
    before = assign_servers(servers, list("abcdefgh"))
    after = assign_servers(servers, [n for n in "abcdefgh" if n != lost])
    moved = sum(before[s] != after[s] for s in before if before[s] != lost)
    assert moved <= 8
