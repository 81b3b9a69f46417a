"""Checks the guarantees of the gateway against the records of callers and workers."""

from collections import Counter, defaultdict
from math import inf

from medlarbeam.classes.record import Record
from medlarbeam.soak.access_checker import ACCESS_CHECKS, is_owed
from medlarbeam.soak.deployment import ADAPTER_CAPACITY, DRAIN_S, ORDER_GAP_S
from medlarbeam.soak.faults import RATE_LIMIT
from medlarbeam.soak.quota_load import QUOTA_CHECKS
from medlarbeam.soak.records import FAULT_FREE_S, INCOMPLETE, STORE_KINDS
from medlarbeam.soak.worker import expected_body

__all__ = ["History", "find_violations"]

AT_MOST_ONCE_ROUTES = ("pay", "draft")  # routes whose requests run at most once
STREAM_ROUTES = ("chat", "draft")
PASSED_STATUSES = (200, 500)  # responses of workers, as gateways pass them on
NOT_RUN_STATUSES = (408, 421, 429, 503)
RESUME_GRACE_S = 0.3  # orders of a gateway are ignored for this long after SIGCONT
# A request that did not run and ended within this time does not count as accepted.
ACCEPT_GRACE_S = 0.2
RESPONSE_LIMIT_S = 3.8  # deadline of the callers (3 s) plus time to deliver the response
MIN_SERVED_SHARE = 0.9  # of the requests sent after the recovery deadline
HARMLESS_KINDS = {"reload", "config", "withdraw_key"}
CONTACT_S = 3.0  # within which all gateways have to know of crashes and limits
MAX_CRASHES = 5  # after which no more than `MAX_LATE_RUNS` harmful requests may reach workers
MAX_LATE_RUNS = 3
PAUSE_KNOWN_S = 0.5  # after which requests in a pause count
MAX_PAUSE_ARRIVALS = 2  # in one pause, from one gateway
MAX_FALLS = 2  # of the workers of a service, in one time in which they limit their refusals
RATE_WINDOW_S = 4.0
RATE_OVERSHOOT = 1.5
RATE_EXTRA = 5
# Reset or silent connections excuse what happens up to `CONTACT_S` after them.
MOMENTARY_KINDS = {"store_silence"}
# A gateway that these kinds affect may not know of a drain or a limit.
DISTURBING_KINDS = {"kill", "terminate", "freeze", "worker_link", *STORE_KINDS}


class History(Record):
    """Everything recorded during a run.

    Parameters
    ----------
    requests : list of RequestRecord
    runs : list of RunRecord
    orders : list of OrderRecord
    fault_intervals : list of FaultInterval
    recovery_deadline : float
        Time (s) from which requests have to be served again.
    harmful_requests : list of RequestRecord
        Requests that crash each worker that runs them.
    crashed_at : list of float
        Times (s) of the crashes.
    arrivals : list of ArrivalRecord
        Requests that reached workers, also those that were refused.
    falls : list of FallRecord
        Crashes of workers that had to refuse too many requests.
    receipts : list of ReceiptRecord
        Requests of callers as they reached workers.
    key_ring : KeyRing or None
        All configurations of keys; None if requests were recorded without what their callers sent.
    started_at : float
        Time (s) at which callers began; gateways start shortly before.
    """

    __slots__ = (
        "arrivals",
        "crashed_at",
        "falls",
        "fault_intervals",
        "harmful_requests",
        "key_ring",
        "orders",
        "receipts",
        "recovery_deadline",
        "requests",
        "runs",
        "started_at",
    )

    def __init__(
        self,
        requests,
        runs,
        orders,
        fault_intervals,
        recovery_deadline,
        harmful_requests=(),
        crashed_at=(),
        arrivals=(),
        falls=(),
        receipts=(),
        key_ring=None,
        started_at=-inf,
    ):
        self.started_at = started_at
        self.receipts = receipts
        self.key_ring = key_ring
        self.arrivals = arrivals
        self.falls = falls
        self.harmful_requests = harmful_requests
        self.crashed_at = crashed_at
        self.requests = requests
        self.runs = runs
        self.orders = orders
        self.fault_intervals = fault_intervals
        self.recovery_deadline = recovery_deadline

    def overlaps_fault(self, since, until, kinds=None, targets=None):
        """Return whether a fault that is not harmless overlaps a period (s)."""
        return any(
            interval.overlaps(since, until)
            and interval.kind not in HARMLESS_KINDS
            and (kinds is None or interval.kind in kinds)
            and (targets is None or interval.target in targets)
            for interval in self.fault_intervals
        )


def find_violations(history):
    """Return a list of messages, one for each violated guarantee."""
    return [text for check in CHECKS for text in check(history)]


def check_response_bodies(history):
    """Yield successful responses whose body is truncated or belongs to another request."""
    for request in history.requests:
        expected = expected_body(request.attempt, request.route in STREAM_ROUTES)
        if request.status == 200 and request.body != expected:
            yield f"MIXED {request.attempt} ({request.route}) got {request.body[:60]!r}"


def check_runs(history):
    """Yield unrequested runs, repeated at-most-once requests, and refused requests that ran."""
    runs = Counter(run.attempt for run in history.runs)
    known = {r.attempt for r in [*history.requests, *history.harmful_requests]}
    for attempt in set(runs) - known:
        yield f"UNASKED {attempt} ran"
    for request in history.requests:
        if request.route not in AT_MOST_ONCE_ROUTES:
            continue
        if runs[request.attempt] > 1:
            yield f"TWICE {request.attempt} ({request.route}) ran {runs[request.attempt]} times"
        if request.status in NOT_RUN_STATUSES and runs[request.attempt]:
            yield f"REFUSED {request.attempt} ({request.route}) got {request.status} and ran"


def check_orders(history):
    """Yield violations of the order gap, decreasing fencing tokens, and exceeded capacities."""
    resumed = [
        (interval.target, interval.ended_at)
        for interval in history.fault_intervals
        if interval.kind == "freeze"
    ]
    by_worker = defaultdict(list)
    for order in sorted(history.orders, key=lambda o: o.received_at):
        if not any(
            t == order.holder and 0 <= order.received_at - at < RESUME_GRACE_S for t, at in resumed
        ):
            by_worker[order.worker].append(order)
        if order.held > ADAPTER_CAPACITY:
            yield f"LIMIT {order.worker} holds {order.held} adapters"
    for worker, orders in by_worker.items():
        last = {}
        fence = 0
        for order in orders:
            others = [at for holder, at in last.items() if holder != order.holder]
            if others and order.received_at - max(others) < ORDER_GAP_S:
                yield (
                    f"ONE {worker} got orders from two holders of the order right "
                    f"within {ORDER_GAP_S} s"
                )
            if order.fence < fence:
                yield f"ONE {worker} got fencing token {order.fence} after {fence}"
            fence = max(fence, order.fence)
            last[order.holder] = order.received_at


def check_drains(history):
    """Yield runs on a worker that began more than `DRAIN_S` after it announced its drain."""
    for drain in history.fault_intervals:
        if drain.kind != "worker_drain":
            continue
        for run in history.runs:
            if (
                run.worker != drain.target
                or not drain.since + DRAIN_S < run.started_at < drain.ended_at
            ):
                continue
            since = drain.since - FAULT_FREE_S
            contact_since = run.started_at - CONTACT_S
            if not (
                history.overlaps_fault(since, run.started_at, DISTURBING_KINDS)
                or history.overlaps_fault(contact_since, run.started_at, MOMENTARY_KINDS)
            ):
                yield (
                    f"DRAIN {run.attempt} ran at {run.worker} "
                    f"{run.started_at - drain.since:.2f} s after the start of its drain"
                )


def check_leaving_answers(history):
    """Yield requests to a worker from a gateway that has passed on its answer that it leaves.

    Requests that a caller sent within `DRAIN_S` of that answer are allowed, and those after a
    restart or a freeze of the gateway. Faults of the store are no excuse.
    """
    requests = {r.attempt: r for r in [*history.requests, *history.harmful_requests]}
    arrivals = [a for a in history.arrivals if a.attempt in requests and a.is_loaded]
    sends = Counter(a.attempt for a in arrivals)
    passed_on = {}
    for arrival in arrivals:
        request = requests[arrival.attempt]
        # With several sends, the answer may be that of another worker.
        if arrival.is_leaving and request.status in PASSED_STATUSES and sends[arrival.attempt] == 1:
            key = (request.gateway, arrival.worker, arrival.incarnation)
            passed_on[key] = min(request.ended_at, passed_on.get(key, request.ended_at))
    for arrival in arrivals:
        request = requests[arrival.attempt]
        since = passed_on.get((request.gateway, arrival.worker, arrival.incarnation), inf)
        if request.sent_at > since + DRAIN_S and not history.overlaps_fault(
            since, arrival.at, {"kill", "terminate", "freeze"}, {request.gateway}
        ):
            yield (
                f"DRAIN {arrival.attempt} reached {arrival.worker} from {request.gateway}, sent "
                f"{request.sent_at - since:.2f} s after its answer that it leaves"
            )


def check_planned_stops(history):
    """Yield requests that a gateway accepted but did not respond to during a graceful shutdown."""
    ran = {run.attempt for run in history.runs}
    stops = [interval for interval in history.fault_intervals if interval.kind == "terminate"]
    for request in history.requests:
        if request.status != INCOMPLETE or not request.headers_sent:
            continue
        for stop in stops:
            if stop.target != request.gateway or not stop.overlaps(
                request.sent_at, request.ended_at
            ):
                continue
            others = [
                interval
                for interval in history.fault_intervals
                if interval is not stop and interval.kind not in HARMLESS_KINDS
            ]
            since = request.sent_at - FAULT_FREE_S
            if any(interval.overlaps(since, request.ended_at) for interval in others):
                continue
            if request.attempt in ran or request.ended_at - request.sent_at > ACCEPT_GRACE_S:
                yield f"LOST {request.attempt} ({request.route}) at shutdown of {request.gateway}"


def check_harmful_requests(history):
    """Yield a message if harmful requests go on to reach workers after `MAX_CRASHES`."""
    if len(history.crashed_at) < MAX_CRASHES:
        return
    since = sorted(history.crashed_at)[MAX_CRASHES - 1] + CONTACT_S
    gateways = {request.attempt: request.gateway for request in history.harmful_requests}
    late = [
        run
        for run in history.runs
        if run.attempt in gateways
        and run.started_at > since
        and not history.overlaps_fault(
            run.started_at - CONTACT_S,
            run.started_at,
            targets={gateways[run.attempt], "store"},
        )
    ]
    if len(late) > MAX_LATE_RUNS:
        yield f"BUDGET {len(late)} harmful requests ran, the last one {late[-1].attempt}"


def check_rate_limits(history):
    """Yield workers that got more requests than the limit that they named allows."""
    for interval in history.fault_intervals:
        if interval.kind != "rate_limit":
            continue
        since, until = interval.since + CONTACT_S, interval.ended_at
        if history.overlaps_fault(since - CONTACT_S, until, DISTURBING_KINDS):
            continue
        times = [r.started_at for r in history.runs if r.worker == interval.target]
        for start in [at for at in times if since <= at <= until - RATE_WINDOW_S]:
            count = sum(start <= at < start + RATE_WINDOW_S for at in times)
            if count > RATE_OVERSHOOT * RATE_LIMIT * RATE_WINDOW_S + RATE_EXTRA:
                yield f"RATE {interval.target} got {count} requests in {RATE_WINDOW_S} s"
                break


def check_pauses(history):
    """Yield pauses in which a gateway goes on to send requests to the worker that asked for it."""
    gateways = {r.attempt: r.gateway for r in [*history.requests, *history.harmful_requests]}
    times = defaultdict(list)
    for arrival in history.arrivals:
        gateway = gateways.get(arrival.attempt)
        times[arrival.worker, gateway].append(arrival.at)
    for answer in history.arrivals:
        since, until = answer.at + PAUSE_KNOWN_S, answer.paused_until
        gateway = gateways.get(answer.attempt)
        late = [at for at in times[answer.worker, gateway] if since < at < until]
        if len(late) <= MAX_PAUSE_ARRIVALS:
            continue
        # A gateway that restarts forgets the pause, and one that is cut off does not learn of it.
        # A worker that restarts asks for none until it says so again.
        gateway_kinds = {"kill", "terminate", "freeze"}
        worker_kinds = {"worker_link", "worker_leave"}
        period = (answer.at - FAULT_FREE_S, until)
        if (
            history.overlaps_fault(*period, gateway_kinds, {gateway})
            or history.overlaps_fault(*period, worker_kinds, {answer.worker})
            or history.overlaps_fault(*period, {"harmful_part"})
        ):
            continue
        yield (
            f"BUDGET {len(late)} requests of {gateway} reached {answer.worker} in a pause of "
            f"{until - answer.at:.2f} s that it asked for in the response to "
            f"{answer.attempt}"
        )


def check_refusal_limits(history):
    """Yield times of limited refusals in which workers crash more than `MAX_FALLS` times."""
    for interval in history.fault_intervals:
        if interval.kind != "refusal_limit":
            continue
        if history.overlaps_fault(interval.since, interval.ended_at, DISTURBING_KINDS):
            continue
        count = sum(
            fall.worker.startswith(interval.target)
            and interval.since <= fall.at < interval.ended_at
            for fall in history.falls
        )
        if count > MAX_FALLS:
            yield f"LIMIT workers of {interval.target} crashed {count} times from their refusals"


def check_response_times(history):
    """Yield requests that waited for a response longer than `RESPONSE_LIMIT_S`."""
    for request in history.requests:
        waited_s = request.ended_at - request.sent_at
        if waited_s <= RESPONSE_LIMIT_S:
            continue
        kinds = {"freeze", "kill", "terminate"}
        if not history.overlaps_fault(request.sent_at, request.ended_at, kinds, {request.gateway}):
            yield f"HELD {request.attempt} ({request.route}) got no response for {waited_s:.2f} s"


def check_recovery(history):
    """Yield a message if too few requests succeed after the recovery deadline."""
    final = [
        request
        for request in history.requests
        if request.sent_at > history.recovery_deadline and is_owed(history, request)
    ]
    served = sum(1 for request in final if request.status == 200)
    if not final or served < MIN_SERVED_SHARE * len(final):
        outcomes = Counter((request.route, request.gateway, request.status) for request in final)
        yield f"RECOVER {served} of {len(final)} requests served after recovery: {dict(outcomes)}"


CHECKS = [
    check_response_bodies,
    check_runs,
    check_orders,
    check_drains,
    check_leaving_answers,
    check_planned_stops,
    check_harmful_requests,
    check_rate_limits,
    check_pauses,
    check_refusal_limits,
    check_response_times,
    check_recovery,
    *ACCESS_CHECKS,
    *QUOTA_CHECKS,
]
