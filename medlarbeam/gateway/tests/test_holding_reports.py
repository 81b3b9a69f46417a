"""Holding reports after a restart of the holder or the engine replace the earlier ones."""

import pytest

from medlarbeam.classes.fleet import EngineState
from medlarbeam.classes.gateway_effects import FetchEngineState, SendDatagram
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.classes.peer_messages import HoldingReport
from medlarbeam.classes.server_messages import EngineStateResult
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    NodeRegistration,
    make_harness,
    make_server,
    make_settings,
    own_rights,
)

PEER = NodeRegistration("n2", "z1", "10.0.0.2:7000", 5)


def make_holder(incarnation=5):
    settings = make_settings()
    settings.incarnation = incarnation
    harness = make_harness(settings, servers=[make_server("w1", "llm")], nodes=[PEER])
    harness.write_entry("node/n1", NodeRegistration("n1", "z1", "10.0.0.1:7000", incarnation))
    harness.write_entry("right/w1", own_rights(["w1"])[0])
    return harness


def report(harness, held, seconds=1.0):
    """Pass the engine's state to the holder; return the holder's reports to the peer."""
    effects = harness.pass_time(0.2)
    for _ in range(20):
        effects += harness.pass_time(seconds / 20)
        if any(isinstance(e, FetchEngineState) for e in effects):
            break
    state = EngineState(4, {"m0"}, dict.fromkeys(held, 1), {}, False)
    effects += harness.deliver(EngineStateResult("w1", state, "")) + harness.pass_time(seconds)
    bodies = [e.body for e in effects if isinstance(e, SendDatagram)]
    return [body for body in bodies if isinstance(body, HoldingReport)]


def restart_engine(holder):
    holder.write_entry("servers/w1", make_server("w1", "llm", started_at_ms=2))
    return holder


def restart_holder(holder):
    return make_holder(incarnation=6)


RESTARTS = [("engine-restarts", restart_engine), ("holder-restarts", restart_holder)]


@pytest.mark.parametrize("restart", [r[1] for r in RESTARTS], ids=[r[0] for r in RESTARTS])
def test_reports_after_a_restart_replace_those_before(restart):
    """A restarted holder has the same fencing token; serials from 0 were ignored as stale."""
    peer = make_harness(servers=[make_server("w1", "llm")])
    holder = make_holder()
    for held in ([HOT], [HOT, COLD], [HOT]):
        for body in report(holder, held):
            peer.deliver(NodeDatagram(body))
        holder.gateway.orders.schedulers["w1"].invalidate(holder.now)
    assert peer.gateway.holdings.find("w1", HOT) is not None
    holder = restart(holder)
    for body in report(holder, [COLD]):
        peer.deliver(NodeDatagram(body))
    assert peer.gateway.holdings.find("w1", COLD) is not None
    assert peer.gateway.holdings.find("w1", HOT) is None
    assert holder.gateway.holdings.find("w1", HOT) is None
