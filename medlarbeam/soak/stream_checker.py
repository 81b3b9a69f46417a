"""Checks the streams that callers put together from several answers."""

from medlarbeam.soak.long_streams import LONG_EVENTS
from medlarbeam.soak.stream_callers import COMPLETE, REFUSED

__all__ = [
    "MAX_JOINED",
    "check_streams",
    "count_refusals",
    "count_take_ups",
    "describe_stream",
    "list_joined",
]

MAX_JOINED = 2  # streams of a run that hold events of two software versions


def list_joined(streams):
    """Return the streams that hold events of several software versions."""
    return [s for s in streams if len({event.software for event in s.list_events()}) > 1]


def count_take_ups(streams):
    """Return how often callers took a stream up again, and how often it went on."""
    tries = [one for s in streams for one in s.tries if one.after]
    return len(tries), sum(1 for one in tries if one.events or one.end == COMPLETE)


def describe_stream(stream):
    """Return the tries of a stream as text."""
    parts = []
    for one in stream.tries:
        sources = []
        for event in one.events:
            source = f"{event.worker}#{event.incarnation}@{event.software}"
            if not sources or sources[-1] != source:
                sources.append(source)
        count = f"{len(one.events)} events after {one.after}"
        parts.append(
            f"{one.sent_at:.3f}-{one.ended_at:.3f} {one.gateway} {one.attempt} {count} of "
            f"{'+'.join(sources) or 'nobody'} {one.end} {one.detail}"
        )
    return "; ".join(parts)


def check_streams(streams):
    """Yield a message for each stream that breaks an order, and one if too many are joined."""
    for stream in streams:
        numbers = [event.number for event in stream.list_events()]
        text = describe_stream(stream)
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"ORDER {stream.name} has the events {numbers}: {text}"
        if any(event.stream != stream.name for event in stream.list_events()):
            yield f"MIXED {stream.name} has events of another stream: {text}"
        last = stream.tries[-1] if stream.tries else None
        if last is not None and last.end == COMPLETE and (len(numbers) < LONG_EVENTS or last.rest):
            yield (
                f"ORDER {stream.name} ended as complete after {len(numbers)} events and "
                f"{last.rest!r}: {text}"
            )
    joined = list_joined(streams)
    if len(joined) > MAX_JOINED:
        for stream in joined:
            yield f"ORDER {stream.name} joined: {describe_stream(stream)}"


def count_refusals(streams):
    """Return how many take-ups were refused."""
    return sum(1 for s in streams for one in s.tries if one.after and one.end == REFUSED)
