"""Tells the gateway when a run has brought nothing for too long."""

import asyncio
from math import inf

from medlarbeam.classes.gateway_messages import RunStalled

__all__ = ["StallWatch"]


class StallWatch:
    """Watches one run; use it as a context manager.

    Parameters
    ----------
    driver : NodeDriver
    effect : StartFleetRun
    exchange : Exchange

    Notes
    -----
    An event only notes the time. The timer looks at it when it is due, so that a stream of many
    events sets few timers.
    """

    __slots__ = ("driver", "effect", "exchange", "heard_at", "limit_s", "loop", "timer")

    def __init__(self, driver, effect, exchange):
        self.driver = driver
        self.effect = effect
        self.exchange = exchange
        self.loop = asyncio.get_running_loop()
        self.heard_at = self.loop.time()
        self.limit_s = effect.first_limit_s
        self.timer = None

    def __enter__(self):
        self._set_timer(self.limit_s)
        return self

    def __exit__(self, *error):
        if self.timer is not None:
            self.timer.cancel()

    def hear(self):
        """Note that the run has brought something."""
        self.heard_at = self.loop.time()
        if self.limit_s != self.effect.gap_limit_s:
            self.limit_s = self.effect.gap_limit_s
            self._set_timer(self.limit_s)

    def _set_timer(self, wait_s):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(wait_s, self._look) if wait_s < inf else None

    def _look(self):
        quiet_s = self.loop.time() - self.heard_at
        if quiet_s < self.limit_s:
            self._set_timer(self.limit_s - quiet_s)
            return
        self._set_timer(self.limit_s)
        events = self.exchange.last_event
        self.driver.deliver(RunStalled(self.effect.run_id, events, quiet_s))
