"""The sums over use reports that are kept up to date equal those over all reports."""

from random import Random

import pytest

from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.peer_messages import UseReport
from medlarbeam.gateway.remote_uses import USE_TTL_S, RemoteUses

SEEDS = range(10)
STEPS = 600
KEYS = [AdapterKey("m0", f"a{i}") for i in range(5)]
WINDOWS_S = (0.3, 0.12, 5.0)


class NaiveRemoteUses:
    """Keeps the last report of each node, and looks at all of them for each answer."""

    __slots__ = ("heard_at", "reports")

    def __init__(self):
        self.reports = {}
        self.heard_at = {}

    def apply_report(self, report, now):
        """Apply a report; return the keys that its node did not use before."""
        known = self.reports.get(report.node)
        if known is not None and known.serial > report.serial:
            if now - self.heard_at[report.node] < USE_TTL_S:
                return set()
        self.reports[report.node] = report
        self.heard_at[report.node] = now
        return set(report.keys) - set(known.keys if known is not None else ())

    def find_recent(self, age_s, now):
        """Return the reports that are younger than `age_s`."""
        return [r for r in self.reports.values() if now - self.heard_at[r.node] < age_s]


CASES = [
    ("replaced-report-counted-twice", 2, (0.0, 0.01, 0.1)),
    ("expired-report-still-counted", 8, (0.1, 0.5, USE_TTL_S)),
    ("report-that-expires-out-of-order", 34, (0.0, 0.02, 0.2, 1.0)),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("nodes", "pauses_s"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_sums_equal_those_over_all_reports(nodes, pauses_s, seed):
    print("seed", seed)
    rng = Random(seed)
    uses, naive = RemoteUses(), NaiveRemoteUses()
    now = 100.0
    for step in range(STEPS):
        now += rng.choice(pauses_s) if rng.random() < 0.3 else 0.0
        serial = step - rng.choice((0, 0, 0, 30))  # datagrams may arrive late
        keys = rng.sample(KEYS, rng.randrange(4))
        node, runs, tokens = f"n{rng.randrange(nodes)}", rng.randrange(9), rng.randrange(9000)
        report = UseReport(node, "w1", serial, keys, runs, tokens)
        assert uses.apply_report(report, now) == naive.apply_report(report, now)
        if rng.random() < 0.5:
            continue  # several reports may arrive between two answers
        recent = naive.find_recent(USE_TTL_S, now)
        assert uses.count_runs(now) == sum(r.running for r in recent)
        used = {key for report in recent for key in report.keys}
        assert [uses.is_used(key, now) for key in KEYS] == [key in used for key in KEYS]
        window_s = rng.choice(WINDOWS_S)
        expected = sum(r.prompt_tokens for r in naive.find_recent(window_s, now))
        assert uses.count_prompt_tokens(window_s, now) == expected
