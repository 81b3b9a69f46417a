"""An organisation that asks for more than its quota, changes of the quota, and its check."""

import asyncio
import logging
from math import inf

from medlarbeam.soak.callers import Caller
from medlarbeam.soak.faults import Fault
from medlarbeam.soak.key_ring import LIMITED, LIMITED_KEY

__all__ = ["QUOTA_CHECKS", "ChangeQuota", "LimitedCaller"]

log = logging.getLogger(__name__)

TOKENS = 100
TOKEN_HEADER = ("X-Token-Usage", "60,40")
QUOTA_FACTORS = (0.25, 0.5, 2.0)
CHANGE_S = 10.0  # longer than a window and the time to apply a configuration

# `quotaWindowS`, `quotaOvershoot` and `configApplyMs` of the pages; the slack is 0 here. The other
# second is for a request between the caller's clock reading and the gateway.
WINDOW_S = 8.0
OVERSHOOT = 0.1
CONFIG_APPLY_S = 2.0 + 1.0
MIN_SHARE = 0.3  # of what is owed after recovery, on a machine that is busy with other processes


class LimitedCaller(Caller):
    """A caller of the organisation with a quota, which asks any gateway for much more."""

    __slots__ = ()

    def choose_gateway(self, gateway, record):
        """Return any gateway; see `Caller.choose_gateway`."""
        return self.rng.choice(self.gateways)

    def build_request(self, attempt):
        """Return the route and the `SentRequest` of the next request."""
        route = self.rng.choice(("read", "pay"))
        sent = self.compose(attempt, route, [LIMITED_KEY])
        sent.headers.append(TOKEN_HEADER)
        return route, sent


class ChangeQuota(Fault):
    """The operator lowers or raises the quota for a while."""

    __slots__ = ()
    name = "change_quota"

    def choose(self, deployment, rng):
        """Return the name of the organisation."""
        return LIMITED

    async def apply(self, deployment, target, rng, duration_s):
        """Change the quota; see `Fault.apply`."""
        ring = deployment.key_ring
        factor = rng.choice(QUOTA_FACTORS)
        log.info("quota of %s times %s", target, factor)
        ring.limit *= factor
        deployment.write_config(deployment.routes)
        await asyncio.sleep(CHANGE_S + duration_s)
        ring.limit /= factor
        deployment.write_config(deployment.routes)


def list_limited(history):
    """Return ``(sent_at, started_at)`` of the requests of the organisation, in order.

    The start is infinite for those that no worker ran.
    """
    started = {}
    for run in history.runs:
        started[run.attempt] = min(run.started_at, started.get(run.attempt, inf))
    own = [
        request
        for request in history.requests
        if request.sent is not None and request.sent.find_key() == LIMITED_KEY
    ]
    return sorted((request.sent_at, started.get(request.attempt, inf)) for request in own)


def find_limit(history, since, until):
    """Return the highest limit (tokens/s) that may be in force in a period (s)."""
    # A gateway that misses a change may have the limit of any earlier configuration.
    is_calm = not history.overlaps_fault(since - CONFIG_APPLY_S, until)
    return history.key_ring.find_limit(since - CONFIG_APPLY_S if is_calm else -inf, until)


def check_quotas(history):
    """Yield a window in which the organisation got more than its quota."""
    requests = [pair for pair in list_limited(history) if pair[1] < inf]
    for since, _ in requests:
        until = since + WINDOW_S
        count = sum(since <= sent_at and started_at <= until for sent_at, started_at in requests)
        limit = find_limit(history, since - WINDOW_S, until)
        allowed = (limit * WINDOW_S + limit) * (1.0 + OVERSHOOT)
        if TOKENS * count > allowed:
            yield (
                f"QUOTA {TOKENS * count} tokens ran in {WINDOW_S} s from {since:.2f}, "
                f"where {allowed:.0f} are allowed"
            )
            return


def check_quota_use(history):
    """Yield a message if the organisation gets much less than its quota after recovery."""
    if history.key_ring is None or not history.key_ring.configs:
        return
    final = [pair for pair in list_limited(history) if pair[0] > history.recovery_deadline]
    if not final:
        return
    until = max(sent_at for sent_at, _ in final)
    lowest = history.key_ring.find_limit(history.recovery_deadline, until, min)
    owed = min(TOKENS * len(final), lowest * (until - history.recovery_deadline))
    got = TOKENS * sum(started_at < inf for _, started_at in final)
    if got < MIN_SHARE * owed - TOKENS:
        yield f"QUOTA only {got} tokens ran after recovery, of {owed:.0f} within the quota"


QUOTA_CHECKS = [check_quotas, check_quota_use]
