"""Checks the promises of the users' pages on what callers and workers have seen."""

from collections import Counter, defaultdict

from medlarbeam.classes.record import Record
from medlarbeam.soak.deployment import DRAIN_S, PLACES, TURN_GAP_S
from medlarbeam.soak.records import BROKEN
from medlarbeam.soak.worker import expected_body

__all__ = ["Evidence", "find_violations"]

ONCE = ("pay", "draft")  # routes whose requests run at most once
STREAMS = ("chat", "draft")
NOT_RUN_STATUSES = (408, 421, 429, 503)
CONTACT_S = 3.0  # bounds in time hold for what was undisturbed so long
THAW_S = 0.3  # orders of a process that was just continued do not count
LOSS_SLACK_S = 0.2
ANSWER_S = 3.8  # the callers' wait of 3 s, and time for the answer at a deadline
SERVED_SHARE = 0.9  # of the requests once everything works again
HARMLESS = {"reload", "config"}


class Evidence(Record):
    """What was seen in a run.

    Parameters
    ----------
    requests : list of RequestSeen
    runs : list of RunSeen
    orders : list of OrderSeen
    disturbances : list of Disturbance
    calm_at : float
        Time (s) from which requests should be served again.
    """

    __slots__ = ("calm_at", "disturbances", "orders", "requests", "runs")

    def __init__(self, requests, runs, orders, disturbances, calm_at):
        self.requests = requests
        self.runs = runs
        self.orders = orders
        self.disturbances = disturbances
        self.calm_at = calm_at

    def is_disturbed(self, since, until, kinds=None, targets=None):
        """Return whether a disturbance, other than harmless ones, touches a span of time (s)."""
        return any(
            d.touches(since, until)
            and d.kind not in HARMLESS
            and (kinds is None or d.kind in kinds)
            and (targets is None or d.target in targets)
            for d in self.disturbances
        )


def find_violations(evidence):
    """Return a list of texts, one for each broken promise."""
    return [text for check in CHECKS for text in check(evidence)]


def check_whole_answers(evidence):
    """Yield successes that are not the whole answer to their own request."""
    for seen in evidence.requests:
        expected = expected_body(seen.attempt, seen.route in STREAMS)
        if seen.status == 200 and seen.body != expected:
            yield f"MIXED {seen.attempt} ({seen.route}) got {seen.body[:60]!r}"


def check_runs(evidence):
    """Yield runs that nobody asked for, repeated payments, and refusals that are not true."""
    runs = Counter(run.attempt for run in evidence.runs)
    known = {seen.attempt for seen in evidence.requests}
    for attempt in set(runs) - known:
        yield f"UNASKED {attempt} ran"
    for seen in evidence.requests:
        if seen.route not in ONCE:
            continue
        if runs[seen.attempt] > 1:
            yield f"TWICE {seen.attempt} ({seen.route}) ran {runs[seen.attempt]} times"
        if seen.status in NOT_RUN_STATUSES and runs[seen.attempt]:
            yield f"REFUSED {seen.attempt} ({seen.route}) got {seen.status} and ran"


def check_orders(evidence):
    """Yield orders of two holders in turn, of an older fencing number, and full places."""
    thawed = [(d.target, d.ended_at) for d in evidence.disturbances if d.kind == "freeze"]
    by_worker = defaultdict(list)
    for order in sorted(evidence.orders, key=lambda o: o.at):
        if not any(t == order.holder and 0 <= order.at - at < THAW_S for t, at in thawed):
            by_worker[order.worker].append(order)
        if order.held > PLACES:
            yield f"LIMIT {order.worker} holds {order.held} adapters"
    for worker, orders in by_worker.items():
        last = {}
        fence = 0
        for order in orders:
            others = [at for holder, at in last.items() if holder != order.holder]
            if others and order.at - max(others) < TURN_GAP_S:
                yield f"ONE {worker} got orders of two holders within {TURN_GAP_S} s"
            if order.fence < fence:
                yield f"ONE {worker} got fence {order.fence} after {fence}"
            fence = max(fence, order.fence)
            last[order.holder] = order.at


def check_drains(evidence):
    """Yield runs at a worker that had said long ago that it leaves."""
    for drain in evidence.disturbances:
        if drain.kind != "worker_drain":
            continue
        for run in evidence.runs:
            if run.worker != drain.target or not drain.since + DRAIN_S < run.at < drain.ended_at:
                continue
            kinds = {"store", "store_link", "freeze", "worker_link", "kill", "terminate"}
            if not evidence.is_disturbed(drain.since - CONTACT_S, run.at, kinds):
                yield f"DRAIN {run.attempt} ran at {run.worker} {run.at - drain.since:.2f} s late"


def check_planned_stops(evidence):
    """Yield requests that a stopping gateway has taken and not answered."""
    ran = {run.attempt for run in evidence.runs}
    stops = [d for d in evidence.disturbances if d.kind == "terminate"]
    for seen in evidence.requests:
        if seen.status != BROKEN or not seen.is_read:
            continue
        for stop in stops:
            if stop.target != seen.gateway or not stop.touches(seen.sent_at, seen.ended_at):
                continue
            others = [d for d in evidence.disturbances if d is not stop and d.kind not in HARMLESS]
            since = seen.sent_at - CONTACT_S
            if any(d.touches(since, seen.ended_at) for d in others):
                continue
            if seen.attempt in ran or seen.ended_at - seen.sent_at > LOSS_SLACK_S:
                yield f"LOST {seen.attempt} ({seen.route}) at the stop of {seen.gateway}"


def check_final_answers(evidence):
    """Yield requests that were left without an answer until their callers gave up."""
    for seen in evidence.requests:
        waited_s = seen.ended_at - seen.sent_at
        if waited_s <= ANSWER_S:
            continue
        kinds = {"freeze", "kill", "terminate"}
        if not evidence.is_disturbed(seen.sent_at, seen.ended_at, kinds, {seen.gateway}):
            yield f"HELD {seen.attempt} ({seen.route}) for {waited_s:.2f} s"


def check_recovery(evidence):
    """Yield a message if too few requests are served once everything works again."""
    calm = [seen for seen in evidence.requests if seen.sent_at > evidence.calm_at]
    served = sum(1 for seen in calm if seen.status == 200)
    if not calm or served < SERVED_SHARE * len(calm):
        ends = Counter((seen.route, seen.gateway, seen.status) for seen in calm)
        yield f"RECOVER {served} of {len(calm)} requests are served at the end: {dict(ends)}"


CHECKS = [
    check_whole_answers,
    check_runs,
    check_orders,
    check_drains,
    check_planned_stops,
    check_final_answers,
    check_recovery,
]
