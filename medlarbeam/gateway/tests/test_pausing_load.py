"""Callers are served nearly as well by pausing servers as without these servers.

Guards against pauses that cost callers more than the loss of the servers would, and against
adapters that are loaded everywhere. ``pytest -s`` prints the figures.
"""

import pytest

from medlarbeam.gateway.tests.pausing_fleet import ALLOWED_ARRIVALS, PausingFleet

WARM_UP_S = 4.0
PLAY_S = 20.0
PAUSE_S = 2.0
MIN_SHARE_OF_ABSENT = 0.95
NAMES = [f"w{index}" for index in range(9)]
THIRDS = [NAMES[:3], NAMES[3:6], NAMES[6:]]

TURNS = [
    ("servers-of-a-third-one-after-the-other", [[name] for name in NAMES[:3]], 0.0),
    ("the-same-third-again-and-again", [NAMES[:3]], PAUSE_S),
    ("each-third-in-turn", THIRDS, 0.0),
]
LOADS = [("light", 40.0, 80.0), ("heavy", 60.0, 120.0)]


def play(seed, urgent_per_s, other_per_s, turns=(), gap_s=0.0, absent=0):
    """Return the fleet and the shares of urgent and other requests in time."""
    fleet = PausingFleet(seed, absent=absent)
    start = fleet.now
    since, end = start + WARM_UP_S, start + WARM_UP_S + PLAY_S
    fleet.schedule_requests(start + 0.5, end, urgent_per_s, other_per_s)
    if turns:
        fleet.schedule_turns(turns, since, end, PAUSE_S, gap_s)
    fleet.run_until(end + 6.0)
    shares = [fleet.measure_in_time(route, since, end) for route in ("chat", "draft")]
    return fleet, *shares


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("urgent_per_s", "other_per_s"), [load[1:] for load in LOADS], ids=[load[0] for load in LOADS]
)
def test_pausing_servers_cost_no_more_than_absent_ones(urgent_per_s, other_per_s, seed):
    absent, absent_urgent, absent_other = play(seed, urgent_per_s, other_per_s, absent=3)
    print(f"\nabsent: urgent {absent_urgent:.4f} other {absent_other:.4f}", absent.load_count)
    for name, turns, gap_s in TURNS:
        fleet, urgent, other = play(seed, urgent_per_s, other_per_s, turns, gap_s)
        worst, total = fleet.count_excess()
        print(
            f"{name}: urgent {urgent:.4f} ({urgent / absent_urgent:.3f} of absent) "
            f"other {other:.4f} loads {fleet.load_count} answers {len(fleet.answers)} "
            f"arrivals in pauses: {total}, of one gateway in one pause: {worst}"
        )
        assert urgent >= MIN_SHARE_OF_ABSENT * absent_urgent
        assert worst <= ALLOWED_ARRIVALS
        # Each adapter is loaded on its next two servers at the most, and stays there.
        assert fleet.load_count <= 2 * len(fleet.keys)
