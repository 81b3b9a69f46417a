"""Tests that the weight store, plain service and VM list behave as the platform describes them.

They guard against a wrong rate limit, charges that are lost or deduplicated, and a VM list that
shows changes too early or accepts invalid entries.
"""

import pytest

from medlarbeam.exceptions import FormatError
from medlarbeam.standins.plain_service import PlainService
from medlarbeam.standins.vm_list import VmList
from medlarbeam.standins.weight_store import WeightStore

RATES = [
    ("queued-after-burst-of-three", [0.0] * 5, [0.0, 0.0, 0.0, 1 / 7, 2 / 7]),
    ("not-queued-at-sustained-rate", [n / 7 for n in range(9)], [n / 7 for n in range(9)]),
    ("pause-restores-burst-only", [0.0] * 3 + [60.0] * 4, [0.0] * 3 + [60.0] * 3 + [60 + 1 / 7]),
]


@pytest.mark.parametrize(("arrivals", "starts"), [r[1:] for r in RATES], ids=[r[0] for r in RATES])
def test_weight_store_rate(arrivals, starts):
    store = WeightStore()
    assert [store.begin(now).start_at for now in arrivals] == pytest.approx(starts)


SLOWDOWNS = [
    ("full-speed-at-24-in-flight", 23, 0, 0.25),
    ("half-speed-at-48-in-flight", 47, 0, 0.5),
    ("completed-loads-not-counted", 47, 24, 0.25),
]


@pytest.mark.parametrize(
    ("started", "completed", "duration"), [s[1:] for s in SLOWDOWNS], ids=[s[0] for s in SLOWDOWNS]
)
def test_weight_store_slows_down_with_loads_in_flight(started, completed, duration):
    store = WeightStore()
    for _ in range(started):
        store.begin(0.0)
    for _ in range(completed):
        store.end()
    load = store.begin(100.0)
    assert load.complete_at - load.start_at == pytest.approx(duration)
    assert store.counts()["max_in_flight"] == max(started, started - completed + 1)


def test_weight_store_fails_given_number_of_loads():
    store = WeightStore()
    store.fail_next = 2
    assert [store.begin(0.0).failed for _ in range(3)] == [True, True, False]


CHARGE = {"account": "a", "amount_cents": 500, "reference": "r"}
INVALID_CHARGES = [
    ("amount-as-string", {**CHARGE, "amount_cents": "500"}),
    ("amount-not-positive", {**CHARGE, "amount_cents": 0}),
    ("amount-as-bool", {**CHARGE, "amount_cents": True}),
    ("missing-account", {"amount_cents": 1}),
]


@pytest.mark.parametrize(
    "document", [b[1] for b in INVALID_CHARGES], ids=[b[0] for b in INVALID_CHARGES]
)
def test_invalid_charge_is_not_recorded(document):
    service = PlainService("i")
    with pytest.raises(FormatError):
        service.charge(document, 0.0)
    assert service.journal()["charges"] == []


def test_repeated_charge_is_recorded_twice():
    service = PlainService("i")
    responses = [service.charge(CHARGE, now) for now in (1.0, 2.0)]
    assert responses == [{"charged": 500, "count": 1}, {"charged": 500, "count": 2}]
    assert [c["at"] for c in service.journal()["charges"]] == [1.0, 2.0]


def test_repeated_stock_reads_agree():
    service = PlainService("i")
    assert service.read_stock("urn") == service.read_stock("urn")


VM = {
    "name": "w1",
    "state": "live",
    "failure_domain": "fd1",
    "cell": "fd1",
    "address": "127.0.0.1:1",
    "service": "",
    "slots": 4,
    "concurrency": 8,
    "fencing": True,
    "role": "backend",
}


@pytest.mark.parametrize(
    ("now", "names"),
    [(2.9, []), (3.0, ["w1"]), (5.9, ["w1"]), (6.0, ["w2"])],
    ids=["before-first-lag", "after-first-lag", "before-second-lag", "after-second-lag"],
)
def test_vm_list_shows_changes_after_lag(now, names):
    vm_list = VmList(lag_s=2.0)
    for name, at in (("w1", 1.0), ("w2", 4.0)):
        if at <= now:
            vm_list.replace([{**VM, "name": name}], at)
    assert [vm["name"] for vm in vm_list.read(now)["vms"]] == names


INVALID_VMS = [
    ("missing-field", [{k: v for k, v in VM.items() if k != "fencing"}], "fencing"),
    ("unknown-state", [{**VM, "state": "dead"}], "dead"),
    ("unknown-role", [{**VM, "role": "x"}], "role"),
    ("invalid-address", [{**VM, "address": "here"}], "not ip:port"),
    ("duplicate-name", [VM, VM], "twice"),
    ("not-an-object", ["w1"], "not a JSON object"),
]


@pytest.mark.parametrize(
    ("vms", "message"), [b[1:] for b in INVALID_VMS], ids=[b[0] for b in INVALID_VMS]
)
def test_invalid_vm_list_changes_nothing(vms, message):
    vm_list = VmList()
    vm_list.replace([VM], 0.0)
    with pytest.raises(FormatError, match=message):
        vm_list.replace(vms, 1.0)
    assert vm_list.read(2.0)["vms"] == [VM]
