"""Popular adapters get a local replica; others must not cause loads that do not pay off."""

import pytest

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import SendDatagram, StartFleetRun
from medlarbeam.classes.gateway_messages import NodeDatagram, RunCompleted
from medlarbeam.classes.peer_messages import AdapterDemand, AdapterHolding, HoldingReport
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server, own_rights

OTHERS = [NodeRegistration(f"n{i}", "z1", f"10.0.0.{i}:7000", 5) for i in (2, 3, 4, 5)]


def send_remote_requests(requests, pause_s, nodes, spare, held):
    """Send requests for an adapter held in another domain; return the demands for a replica."""
    servers = [
        make_server("remote", "llm", domain="z2"),
        make_server("local", "llm", adapters=[HOT] if held else []),
    ]
    harness = make_harness(
        servers=servers, rights=own_rights(["local"], "n2"), nodes=OTHERS[: max(1, nodes - 1)]
    )
    report = HoldingReport(
        "n2", "local", 3, 1, [AdapterHolding(HOT, 1, 9.0)] if held else [], spare=spare
    )
    demands = []
    for number in range(requests):
        harness.deliver(NodeDatagram(report))
        effects = harness.send_request("chat", HOT, request_id=f"r{number}")
        (run,) = [e for e in effects if isinstance(e, StartFleetRun)]
        assert run.server.name == "remote"
        demands += [e.body for e in effects if isinstance(e, SendDatagram)]
        harness.deliver(RunCompleted(run.run_id, 200, None))
        harness.now += pause_s
    return [d for d in demands if isinstance(d, AdapterDemand)]


REPLICAS = [
    ("popular-adapter-gets-a-replica", 12, 0.2, 2, 5, False, True),
    ("rarely-used-adapter-gets-no-replica", 12, 30.0, 2, 5, False, False),
    ("requests-are-extrapolated-to-the-nodes-of-the-domain", 3, 0.1, 5, 5, False, True),
    ("single-request-is-not-enough", 1, 0.1, 5, 5, False, False),
    ("engine-without-spare-slots-gets-no-replica", 12, 0.2, 2, 1, False, False),
    ("replica-in-transit-is-not-requested-again", 12, 0.2, 2, 5, True, False),
]


@pytest.mark.parametrize(
    ("requests", "pause_s", "nodes", "spare", "held", "is_requested"),
    [c[1:] for c in REPLICAS],
    ids=[c[0] for c in REPLICAS],
)
def test_replica_is_requested_where_it_pays_off(
    requests, pause_s, nodes, spare, held, is_requested
):
    demands = send_remote_requests(requests, pause_s, nodes, spare, held)
    assert bool(demands) is is_requested
    assert all(d.server == "local" and d.key == HOT and d.priority == 99 for d in demands)
