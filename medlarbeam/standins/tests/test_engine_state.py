"""Tests that the engine stand-in rejects what real engines reject and records violations.

An engine that accepted more, or lost a violation, would hide faults of the nodes in other tests.
"""

import pytest

from medlarbeam.standins.engine_state import EngineOptions, EngineState, Rejection
from medlarbeam.standins.engine_text import completion_tokens


def make_engine(resident=(), **options):
    engine = EngineState(EngineOptions(**options), "i1")
    for model in resident:
        engine.end_load(engine.begin_load(model, f"w/{model}", 0), True, 0.0)
    return engine


def status_of(result):
    return result.status if isinstance(result, Rejection) else 200


def read_completion(engine, run, now=1.0):
    tokens = []
    while (token := engine.next_token(run, now)) is not None:
        tokens.append(token)
    return "".join(tokens)


ORDERS = [
    ("outdated-load-rejected", True, [("load", "b@1", 5), ("load", "c@1", 4)], [200, 412]),
    ("outdated-unload-rejected", True, [("load", "b@1", 5), ("unload", "b@1", 4)], [200, 412]),
    ("equal-token-accepted", True, [("load", "b@1", 5), ("unload", "b@1", 5)], [200, 200]),
    ("missing-token-rejected", True, [("load", "b@1", None)], [412]),
    ("failed-order-raises-token", True, [("unload", "x", 9), ("load", "b@1", 8)], [404, 412]),
    ("unfenced-outdated-load", False, [("load", "b@1", 5), ("load", "c@1", 4)], [200, 200]),
    ("unfenced-missing-token", False, [("load", "b@1", None)], [200]),
    ("full-engine-rejects", False, [(("load"), f"{n}@1", 1) for n in "bcd"], [200, 200, 409]),
    ("second-load-rejected", False, [("load", "b@1", 1), ("load", "b@1", 1)], [200, 400]),
    ("unload-frees-slot", False, [("unload", "a@1", 1), ("load", "a@1", 1)], [200, 200]),
]


@pytest.mark.parametrize(
    ("fencing", "orders", "statuses"), [c[1:] for c in ORDERS], ids=[c[0] for c in ORDERS]
)
def test_load_and_unload_orders(fencing, orders, statuses):
    engine = make_engine(["a@1"], slots=3, fencing=fencing)
    actual = []
    for kind, model, fencing_token in orders:
        if kind == "load":
            result = engine.begin_load(model, "w", fencing_token)
        else:
            result = engine.unload(model, fencing_token, 1.0)
        actual.append(status_of(result))
    assert actual == statuses


COMPLETIONS = [
    ("unknown-model-rejected", "x@1", "", 404),
    ("loading-model-rejected", "b@1", "", 404),
    ("wrong-prefix-rejected", "a@1", "b@1 answers", 400),
    ("resident-model-accepted", "a@1", "", 200),
    ("matching-prefix-accepted", "a@1", "a@1 answ", 200),
]


@pytest.mark.parametrize(
    ("model", "prefix", "status"), [c[1:] for c in COMPLETIONS], ids=[c[0] for c in COMPLETIONS]
)
def test_completion_requires_resident_model_and_matching_prefix(model, prefix, status):
    engine = make_engine(["a@1"])
    engine.begin_load("b@1", "w", 0)
    run = engine.begin_run(model, "hello", 1.0, prefix=prefix)
    assert status_of(run) == status
    if status == 200:
        expected = "".join(completion_tokens("a@1", "hello", 12))
        assert prefix + read_completion(engine, run) == expected
        assert engine.is_completed(run)


UNLOADS = [
    ("idle-adapter-without-violation", 0, 0, 0),
    ("running-adapter-recorded", 1, 1, 1),
    ("waiting-runs-aborted", 4, 1, 4),
]


@pytest.mark.parametrize(
    ("runs", "violations", "aborted"), [u[1:] for u in UNLOADS], ids=[u[0] for u in UNLOADS]
)
def test_unload_with_open_runs_is_recorded(runs, violations, aborted):
    engine = make_engine(["a@1", "b@1"], concurrency=2)
    other = engine.begin_run("b@1", "p", 1.0)
    unloaded_runs = [engine.begin_run("a@1", f"p{n}", 1.0) for n in range(runs)]
    assert engine.unload("a@1", 1, 2.0) is None
    assert [engine.is_aborted(run) for run in unloaded_runs] == [True] * aborted
    journal = engine.journal_after(0)
    assert (journal["violations"], journal["cut_runs"]) == (violations, aborted)
    started = [e for e in journal["entries"] if (e["kind"], e["model"]) == ("run_start", "a@1")]
    assert len(started) == min(runs, 1)  # an aborted run doesn't start another one
    assert read_completion(engine, other) == "".join(completion_tokens("b@1", "p", 12))


def test_waiting_runs_start_by_priority():
    engine = make_engine(["a@1"], concurrency=1)
    started = []
    for name, priority in (("first", 5), ("late", 9), ("urgent", 0), ("also", 9)):
        engine.begin_run("a@1", name, 1.0, priority=priority)
    for _ in range(4):
        run = next(r for r in engine.runs.values() if not engine.is_waiting(r))
        started.append(run.prompt)
        engine.cancel_run(run, 2.0)
    assert started == ["first", "urgent", "late", "also"]


def test_crash_word_stops_completion_halfway():
    engine = make_engine(["a@1"], crash_word="boom")
    text = read_completion(engine, engine.begin_run("a@1", "a boom here", 1.0))
    full_text = "".join(completion_tokens("a@1", "a boom here", 12))
    assert engine.crashed and full_text.startswith(text) and "" < text < full_text


REPORTS = [
    ("before-lag-empty", 2.0, 1.9, [], {}),
    ("adapter-visible-after-lag", 2.0, 2.5, ["a@1"], {}),
    ("run-visible-after-lag", 2.0, 3.0, ["a@1"], {"a@1": 1}),
    ("no-lag-visible-at-once", 0.0, 1.0, ["a@1"], {"a@1": 1}),
]


@pytest.mark.parametrize(
    ("lag_s", "now", "resident", "running"), [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_load_report_lags(lag_s, now, resident, running):
    engine = make_engine(["a@1"], report_lag_s=lag_s)
    engine.begin_run("a@1", "p", 1.0)
    expected = {"incarnation": "i1", "resident": resident, "running": running, "leaving": False}
    assert engine.report(now) == expected


FAULTS = [
    ("failed-fetch-frees-slot", False, 0, False),
    ("injected-failure-frees-slot", True, 1, False),
    ("successful-fetch", True, 0, True),
]


@pytest.mark.parametrize(
    ("fetched", "fail_loads", "loaded"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS]
)
def test_failed_load_frees_its_slot(fetched, fail_loads, loaded):
    engine = make_engine(slots=1)
    engine.fail_loads = fail_loads
    assert engine.end_load(engine.begin_load("a@1", "w", 0), fetched, 1.0) is loaded
    assert (status_of(engine.begin_load("b@1", "w", 0)) == 200) is not loaded


def test_unload_during_load_keeps_second_load():
    engine = make_engine()
    unloaded = engine.begin_load("a@1", "w", 0)
    engine.unload("a@1", 0, 1.0)
    reloaded = engine.begin_load("a@1", "w", 0)
    assert not engine.end_load(unloaded, True, 2.0) and not engine.is_resident("a@1")
    assert engine.end_load(reloaded, True, 3.0) and engine.is_resident("a@1")


def test_draining_engine_rejects_new_work_and_finishes_runs():
    engine = make_engine(["a@1"])
    run = engine.begin_run("a@1", "p", 1.0)
    assert engine.begin_drain()
    assert status_of(engine.begin_run("a@1", "q", 1.0)) == 503
    assert status_of(engine.unload("a@1", 0, 1.0)) == 503
    assert (
        read_completion(engine, run) and not engine.begin_drain() and engine.report(2.0)["leaving"]
    )
