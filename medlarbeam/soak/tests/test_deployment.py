"""The soak's own workers keep to the states that its checker assumes."""

from base64 import b64decode
from random import Random

import pytest
from orjson import loads

from medlarbeam.soak.deployment import Deployment
from medlarbeam.soak.proxy import FaultProxy

RESTARTS = [
    ("worker-that-crashed-is-ready", False, "ready"),
    # Soak seed 204: the checker took its runs for runs of a worker that leaves.
    ("worker-that-crashed-while-it-drains-is-not-ready", True, "draining"),
]


@pytest.mark.parametrize(
    ("is_draining", "state"), [r[1:] for r in RESTARTS], ids=[r[0] for r in RESTARTS]
)
def test_state_of_a_restarted_worker(is_draining, state, tmp_path):
    deployment = Deployment(tmp_path, Random(1), gateways=0)
    deployment.proxies["engine-0"] = FaultProxy("127.0.0.1:1")
    if is_draining:
        deployment.draining.add("engine-0")
    deployment.restart_worker("engine-0")
    entry = deployment.store.items["servers/engine-0"]
    assert loads(b64decode(entry.value))["state"] == state
