"""Ways in which simulated engines die, as a gateway sees them."""

from abc import ABC, abstractmethod

from medlarbeam.classes.gateway_messages import RunInterrupted, RunStalled
from medlarbeam.classes.server_messages import ProbeResult, RunClosed

__all__ = ["WAYS", "CrashWay"]

PROBE_TIMEOUT_S = 0.3
STALL_S = 0.6


class CrashWay(ABC):
    """What becomes of the open runs of a crashed engine, and of new connections to it."""

    __slots__ = ()

    name = ""

    @abstractmethod
    def end_run(self, fleet, gateway, run_id):
        """Let a gateway see the end of an open run, or nothing."""

    @abstractmethod
    def answer_probe(self, entry, asked_path):
        """Return the `ProbeResult` while the engine is down, and the time (s) that it takes."""


class Refused(CrashWay):
    """Connections are reset, and new ones are refused."""

    __slots__ = ()
    name = "refused"

    def end_run(self, fleet, gateway, run_id):
        """Let the connection be lost."""
        message = RunInterrupted(run_id, "connection lost", 0, False, is_connection_lost=True)
        fleet.call_at(fleet.now + 0.001, fleet.deliver, gateway, message)

    def answer_probe(self, entry, asked_path):
        """Refuse the connection."""
        return ProbeResult(entry.name, True, "refused"), 0.002


class ClosedUnframed(Refused):
    """Connections end as answers without a length end; new ones are refused."""

    __slots__ = ()
    name = "closed-unframed"

    def end_run(self, fleet, gateway, run_id):
        """Let the answer end with its connection."""
        fleet.call_at(fleet.now + 0.001, fleet.deliver, gateway, RunClosed(run_id))


class Proxied(Refused):
    """Connections are lost, and new ones are accepted and closed by a proxy."""

    __slots__ = ()
    name = "proxied"

    def answer_probe(self, entry, asked_path):
        """Accept the connection, and close it without an answer."""
        return ProbeResult(entry.name, False, "disconnected", True, asked_path), 0.002


class Dark(CrashWay):
    """Nothing is closed, and new connections hang."""

    __slots__ = ()
    name = "dark"

    def end_run(self, fleet, gateway, run_id):
        """Let the run stall."""
        message = RunStalled(run_id, 0, STALL_S)
        fleet.call_at(fleet.now + STALL_S, fleet.deliver, gateway, message)

    def answer_probe(self, entry, asked_path):
        """Let the connection time out."""
        return ProbeResult(entry.name, False, "TimeoutError", False, asked_path), PROBE_TIMEOUT_S


WAYS = [Refused(), ClosedUnframed(), Proxied(), Dark()]
