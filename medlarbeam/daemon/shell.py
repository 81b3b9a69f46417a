"""Service that runs the node: passes messages in, carries out effects, and schedules ticks."""

import asyncio
import logging
import math
import time
from collections import deque

from mode import Service

from medlarbeam.classes import effects
from medlarbeam.classes.effects import Exit
from medlarbeam.classes.key_value import KvCall
from medlarbeam.daemon.effect_handlers import NodeDriver
from medlarbeam.exceptions import SettingsError

__all__ = ["Shell"]

log = logging.getLogger(__name__)

MIN_TICK_DELAY_S = 0.001  # a past deadline must not starve the sockets of the event loop
ERROR_TICK_DELAY_S = 1.0  # a tick that raises leaves its deadline in the past
EFFECT_TYPES = {getattr(effects, name) for name in effects.__all__} | {KvCall}


class Shell(Service, NodeDriver):
    """Runs a node on the event loop.

    Parameters
    ----------
    node : ComponentHost
    effect_types : set of type
        Classes of the effects that the node may return.

    Notes
    -----
    The clock is read only here. A message that is delivered while effects are carried out is
    queued, so that the node is never re-entered.
    """

    abstract = False
    mundane_level = "debug"

    def __init__(self, node, effect_types=frozenset(EFFECT_TYPES)):
        self.node = node
        self.effect_types = effect_types
        self.handlers = {Exit: self._exit}
        self.step_queue = deque()
        self.is_processing = False
        self.tick_timer = None
        self.exited = asyncio.Event()
        super().__init__()

    def attach(self, effect_handler):
        """Register the functions of an effect handler; start and stop it with the shell."""
        self.handlers.update(effect_handler.effects())
        if isinstance(effect_handler, Service):
            self.add_dependency(effect_handler)

    async def on_start(self):
        """Check that every effect class has a handler.

        Raises
        ------
        SettingsError
            If an effect class has no handler.
        """
        missing = sorted(
            effect_type.__name__ for effect_type in self.effect_types - set(self.handlers)
        )
        if missing:
            raise SettingsError(f"no effect handler for these effects: {', '.join(missing)}")

    async def on_started(self):
        """Run the first tick after all effect handlers have started."""
        self.run_tick()

    async def on_stop(self):
        """Cancel the timer; the effect handlers are stopped afterwards."""
        if self.tick_timer is not None:
            self.tick_timer.cancel()

    def read_clock(self):
        """Return the monotonic time of the event loop (s)."""
        return asyncio.get_running_loop().time()

    def read_wall_clock(self):
        """Return the wall clock time (s since the epoch)."""
        return time.time()

    def is_ready(self):
        """Return whether the node accepts new requests."""
        return self.node.lifecycle.is_accepting()

    def catalog_revision(self):
        """Return the revision of the current catalog."""
        return self.node.catalog.revision()

    def confirm_age(self):
        """Return the time since that revision was last confirmed to be the latest (s)."""
        return self.node.catalog.confirm_age(self.read_clock())

    def deliver(self, message):
        """Pass a message to the node and carry out the resulting effects."""
        self._enqueue(lambda now: self.node.handle(message, now))

    def run_tick(self):
        """Let the node handle what is due, and schedule the next tick."""
        if self.tick_timer is not None:
            self.tick_timer.cancel()
            self.tick_timer = None
        self._enqueue(self.node.tick)

    def _enqueue(self, step):
        self.step_queue.append(step)
        if self.is_processing:
            return
        self.is_processing = True
        min_delay_s = MIN_TICK_DELAY_S
        try:
            while self.step_queue:
                if not self._run_step(self.step_queue.popleft()):
                    min_delay_s = ERROR_TICK_DELAY_S
        finally:
            self.is_processing = False
        self._schedule_tick(min_delay_s)

    def _run_step(self, step):
        """Run one step of the node and carry out its effects; return False if the step raised."""
        try:
            step_effects = step(self.read_clock())
        except Exception:
            log.exception(
                "the node failed to process a message or tick", extra={"event": "node_failed"}
            )
            return False
        for effect in step_effects:
            try:
                self.handlers[type(effect)](effect)
            except Exception:
                name = type(effect).__name__
                log.exception("effect %s failed", name, extra={"event": "effect_failed"})
        return True

    def _schedule_tick(self, min_delay_s):
        deadline = max(self.node.next_deadline(), self.read_clock() + min_delay_s)
        if self.tick_timer is not None and self.tick_timer.when() <= deadline:
            return  # the tick at that time schedules the next; most messages postpone only slightly
        if self.tick_timer is not None:
            self.tick_timer.cancel()
            self.tick_timer = None
        if not math.isinf(deadline) and not self.should_stop:
            self.tick_timer = asyncio.get_running_loop().call_at(deadline, self.run_tick)

    def _exit(self, effect):
        self.exited.set()
