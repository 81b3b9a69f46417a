"""Versions of the configuration that nodes learn from one another.

Guards against a node that the store turns away and that goes on with an old configuration, such as
keys that were withdrawn, and against false versions that hold requests up.
"""

import pytest

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import FetchConfig, SendDatagram, SyncStore
from medlarbeam.classes.gateway_messages import (
    ConfigFetched,
    NodeDatagram,
    StoreSetBack,
    StoreUnavailable,
)
from medlarbeam.classes.peer_messages import PathReport
from medlarbeam.gateway.config_versions import REPEAT_S, STATED_S, STORE_ANSWER_S
from medlarbeam.gateway.tests.fleet_samples import make_config, make_harness

OTHERS = [NodeRegistration(name, "z2", f"10.0.0.{name[1]}:7", 5) for name in ("n2", "n3")]
NEW = 4


def hear(harness, node="n2", version=NEW):
    harness.deliver(NodeDatagram(PathReport(node, [], version)))


def lose_store(harness):
    harness.deliver(StoreUnavailable("HTTP 503"))


def read_newer(harness):
    harness.write_entry("op/config", make_config(NEW))


def fetch(version):
    return lambda harness: harness.deliver(ConfigFetched("n2", make_config(version)))


def fail_to_fetch(harness):
    harness.deliver(ConfigFetched("n2", None, "HTTP 404"))


def set_back(harness):
    harness.deliver(StoreSetBack(1))


def wait(seconds):
    return lambda harness: harness.pass_time(seconds)


# Steps, number of nodes that are asked in them, version known and version applied at the end.
PLAYS = [
    ("store-brings-it-in-time", [hear, read_newer, wait(2.0)], 0, NEW, NEW),
    ("store-is-silent", [hear, wait(STORE_ANSWER_S + 0.1), fetch(NEW)], 1, NEW, NEW),
    ("store-turns-this-node-away", [lose_store, hear, wait(0.1), fetch(NEW)], 1, NEW, NEW),
    ("node-has-an-older-one", [lose_store, hear, wait(0.1), fetch(2), wait(1.1)], 2, 2, NEW),
    ("node-has-none", [lose_store, hear, wait(0.1), fail_to_fetch, wait(1.1)], 2, 1, NEW),
    ("false-version-is-forgotten", [hear, wait(STATED_S + 0.1)], 10, 1, 1),
    ("version-is-lost-with-the-store", [hear, set_back], 0, 1, 1),
    ("older-version-than-this-node-s", [lambda h: hear(h, version=1), wait(1.0)], 0, 1, 1),
    ("node-of-an-earlier-build", [lambda h: hear(h, version=0), wait(1.0)], 0, 1, 1),
    ("node-that-is-not-registered", [lambda h: hear(h, "n9"), wait(STORE_ANSWER_S)], 0, 1, NEW),
]


@pytest.mark.parametrize(
    ("steps", "asked", "known", "applied"), [p[1:] for p in PLAYS], ids=[p[0] for p in PLAYS]
)
def test_node_catches_up_with_the_version_of_another(steps, asked, known, applied):
    harness = make_harness(nodes=OTHERS)
    asked_nodes = []
    for step in steps:
        step(harness)
        asked_nodes += harness.find(FetchConfig)
    versions = harness.gateway.config_versions
    assert len(asked_nodes) == asked
    assert {effect.node.name for effect in asked_nodes} <= {"n2"}
    assert (versions.find_version(), versions.find_applied()) == (known, applied)
    assert versions.is_behind() is (applied > known)


def find_reports(harness):
    bodies = [effect.body for effect in harness.find(SendDatagram)]
    return [body.config_version for body in bodies if isinstance(body, PathReport)]


def test_new_version_is_announced_twice():
    harness = make_harness(nodes=OTHERS)
    assert not find_reports(harness)  # of the version with which it has started
    read_newer(harness)
    assert find_reports(harness) == [NEW] * len(OTHERS)
    harness.pass_time(REPEAT_S + 0.1)
    assert find_reports(harness) == [NEW] * len(OTHERS)
    harness.pass_time(REPEAT_S + 0.1)
    assert not find_reports(harness)


def test_store_is_asked_once_for_a_version():
    harness = make_harness(nodes=OTHERS)
    hear(harness)
    assert len(harness.find(SyncStore)) == 1
    hear(harness, "n3")
    assert not harness.find(SyncStore)
    assert harness.gateway.config_versions.sources == ["n2", "n3"]
