"""What a backend server gets with a request, and how long it may be quiet."""

from math import inf

from medlarbeam.classes.fleet import RouteKind
from medlarbeam.classes.gateway_effects import StartFleetRun

__all__ = ["has_attempt_left", "plan_run"]

FIRST_LIMIT_SHARE = 1.2  # of the aim that a backend server may use before another is tried
LONG_PROMPT_TOKENS = 3000  # prompts beyond this take a large part of the aim to read
GAP_LIMIT_SHARE = 2.0  # of the longest pause that is on time


def has_attempt_left(relay):
    """Return whether a relay may be sent once more after the run that it is sent for now."""
    return relay.route.is_repeatable() and relay.runs + 1 < relay.route.attempts


def plan_run(relay, entry, version):
    """Return the `StartFleetRun` of a relay.

    Parameters
    ----------
    relay : Relay
    entry : ServerEntry
    version : int
        Version of the adapter that the backend server must hold, 0 for any.
    """
    route = relay.route
    first_limit_s = gap_limit_s = inf
    if has_attempt_left(relay):
        first_limit_s = route.aim_s * FIRST_LIMIT_SHARE
        first_limit_s *= max(1.0, relay.request.tokens / LONG_PROMPT_TOKENS)
        gap_limit_s = route.gap_s * GAP_LIMIT_SHARE or inf
    return StartFleetRun(
        relay.run_id,
        relay.request.request_id,
        entry,
        relay.deadline_at,
        route.priority,
        version,
        route.kind is RouteKind.STREAM,
        not route.is_repeatable(),
        first_limit_s,
        gap_limit_s,
    )
