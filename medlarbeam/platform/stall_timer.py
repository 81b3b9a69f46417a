"""Detects runs that deliver no data for too long."""

import asyncio
from math import inf

from medlarbeam.classes.gateway_messages import RunStalled

__all__ = ["StallTimer"]


class StallTimer:
    """Delivers `RunStalled` when a run makes no progress; used as a context manager.

    Parameters
    ----------
    driver : NodeDriver
    effect : StartFleetRun
    exchange : Exchange

    Notes
    -----
    `resume` only stores the time, which is checked when the timer fires. A stream of many
    events therefore sets few timers.
    """

    __slots__ = (
        "driver",
        "effect",
        "exchange",
        "is_paused",
        "limit_s",
        "loop",
        "progress_at",
        "timer",
    )

    def __init__(self, driver, effect, exchange):
        self.driver = driver
        self.effect = effect
        self.exchange = exchange
        self.loop = asyncio.get_running_loop()
        self.progress_at = self.loop.time()
        self.limit_s = effect.first_event_timeout_s
        self.is_paused = False
        self.timer = None

    def __enter__(self):
        self._set_timer(self.limit_s)
        return self

    def __exit__(self, *error):
        if self.timer is not None:
            self.timer.cancel()

    def pause(self):
        """Stop the measurement while the caller does not read what the run has delivered."""
        self.is_paused = True

    def resume(self):
        """Record that the run delivered data which the caller has taken."""
        self.is_paused = False
        self.progress_at = self.loop.time()
        if self.limit_s != self.effect.event_gap_timeout_s:
            self.limit_s = self.effect.event_gap_timeout_s
            self._set_timer(self.limit_s)

    def _set_timer(self, wait_s):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(wait_s, self._check) if wait_s < inf else None

    def _check(self):
        if self.is_paused:
            self._set_timer(self.limit_s)
            return
        idle_s = self.loop.time() - self.progress_at
        if idle_s < self.limit_s:
            self._set_timer(self.limit_s - idle_s)
            return
        self._set_timer(self.limit_s)
        last_event_id = self.exchange.last_event
        self.driver.deliver(RunStalled(self.effect.run_id, last_event_id, idle_s))
