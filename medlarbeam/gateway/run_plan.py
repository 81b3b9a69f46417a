"""Parameters of a run: what the backend server receives, and the stall time-outs."""

from math import inf

from medlarbeam.classes.fleet import RouteKind
from medlarbeam.classes.gateway_effects import StartFleetRun

__all__ = ["has_attempt_left", "plan_run"]

# Share of the latency goal after which a run without a response counts as stalled.
FIRST_EVENT_TIMEOUT_SHARE = 1.2
LONG_PROMPT_TOKENS = 3000  # longer prompts need a large part of the latency goal for prefill
SILENCE_S = 1.0  # a sound server may fall silent for about a second
EVENT_GAP_TIMEOUT_SHARE = 2.0  # same, relative to the goal for the gap between events


def has_attempt_left(relay):
    """Return whether the route allows another attempt after the current run."""
    return relay.route.is_retryable() and relay.runs + 1 < relay.route.attempts


def needs_acceptance(relay):
    """Return whether a response must not be passed on before its start is known.

    That is so for the rest of a stream, and for a stream of another node, which is told its origin
    in the head of the response.
    """
    is_forwarded = relay.request.runs_elsewhere is not None and relay.route.resumable
    is_stream = relay.route.kind is RouteKind.STREAM
    return is_stream and (relay.software is not None or is_forwarded)


def plan_run(relay, entry, version):
    """Return the `StartFleetRun` of the current run of a relay.

    Parameters
    ----------
    relay : Relay
    entry : ServerRegistration
    version : int
        Adapter version that the backend server must hold, 0 for any.
    """
    route = relay.route
    # A run that cannot be moved is watched all the same: its server may be down.
    first_event_timeout_s = event_gap_timeout_s = max(SILENCE_S, 2 * route.latency_goal_s)
    if has_attempt_left(relay):
        first_event_timeout_s = route.latency_goal_s * FIRST_EVENT_TIMEOUT_SHARE
        first_event_timeout_s *= max(1.0, relay.request.tokens / LONG_PROMPT_TOKENS)
        event_gap_timeout_s = route.gap_goal_s * EVENT_GAP_TIMEOUT_SHARE or inf
    return StartFleetRun(
        relay.run_id,
        relay.request.request_id,
        entry,
        relay.deadline_at,
        relay.priority,
        version,
        route.kind is RouteKind.STREAM,
        # A faulty server may write its refusal of this attempt once more on the same connection.
        not route.is_retryable() or entry.name in relay.refused_by,
        first_event_timeout_s,
        event_gap_timeout_s,
        needs_acceptance=needs_acceptance(relay),
        organisation=relay.organisation,
    )
