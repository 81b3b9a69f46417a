"""The service that owns the node: messages in, effects out, and one timer."""

import asyncio
import logging
import math
import time
from collections import deque

from mode import Service

from medlarbeam.classes import effects
from medlarbeam.classes.effects import Exit
from medlarbeam.classes.platform import KvCall
from medlarbeam.daemon.ports import NodeDriver
from medlarbeam.exceptions import SettingsError

__all__ = ["Shell"]

log = logging.getLogger(__name__)

MIN_WAIT_S = 0.001  # a deadline in the past must not keep the loop from its sockets
ERROR_WAIT_S = 1.0  # a tick that fails leaves its deadline in the past
EFFECTS = {getattr(effects, name) for name in effects.__all__} | {KvCall}


class Shell(Service, NodeDriver):
    """Drives a node.

    Parameters
    ----------
    node : ComponentHost
    kinds : set of type
        Effects that the node may emit.

    Notes
    -----
    The clock is read here only. A message that arises while effects are carried out is queued, so
    that the node is never entered twice.
    """

    abstract = False
    mundane_level = "debug"

    def __init__(self, node, kinds=frozenset(EFFECTS)):
        self.node = node
        self.kinds = kinds
        self.handlers = {Exit: self._exit}
        self.inbox = deque()
        self.is_busy = False
        self.timer = None
        self.exited = asyncio.Event()
        super().__init__()

    def attach(self, port):
        """Let a port carry out its effects, and start and stop it with the shell."""
        self.handlers.update(port.effects())
        if isinstance(port, Service):
            self.add_dependency(port)

    async def on_start(self):
        """Check that every effect has a port.

        Raises
        ------
        SettingsError
            Where an effect would be lost.
        """
        missing = sorted(kind.__name__ for kind in self.kinds - set(self.handlers))
        if missing:
            raise SettingsError(f"no part of the shell carries out: {', '.join(missing)}")

    async def on_started(self):
        """Begin to drive the node, once all ports are there."""
        self.wake()

    async def on_stop(self):
        """Stop the timer; the ports stop after this."""
        if self.timer is not None:
            self.timer.cancel()

    def read_clock(self):
        """Return the loop's monotonic time (s)."""
        return asyncio.get_running_loop().time()

    def read_wall_clock(self):
        """Return the seconds since the epoch."""
        return time.time()

    def is_ready(self):
        """Return whether the node takes new requests."""
        return self.node.lifecycle.is_accepting()

    def catalog_revision(self):
        """Return the revision of the catalogue in force."""
        return self.node.catalog.revision()

    def confirm_age(self):
        """Return the seconds since that revision was known to be the latest."""
        return self.node.catalog.confirm_age(self.read_clock())

    def deliver(self, message):
        """Pass a message to the node and carry out the effects."""
        self._take(lambda now: self.node.handle(message, now))

    def wake(self):
        """Let the node do what is due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self._take(self.node.tick)

    def _take(self, step):
        self.inbox.append(step)
        if self.is_busy:
            return
        self.is_busy = True
        wait_s = MIN_WAIT_S
        try:
            while self.inbox:
                if not self._step(self.inbox.popleft()):
                    wait_s = ERROR_WAIT_S
        finally:
            self.is_busy = False
        self._set_timer(wait_s)

    def _step(self, step):
        """Take one step of the node; return whether it did not raise."""
        try:
            decided = step(self.read_clock())
        except Exception:
            log.exception("the node failed", extra={"event": "node_failed"})
            return False
        for effect in decided:
            try:
                self.handlers[type(effect)](effect)
            except Exception:
                name = type(effect).__name__
                log.exception("effect %s failed", name, extra={"event": "effect_failed"})
        return True

    def _set_timer(self, wait_s):
        deadline = max(self.node.next_deadline(), self.read_clock() + wait_s)
        if self.timer is not None and self.timer.when() <= deadline:
            return  # it looks again when it is due; most messages move the deadline a little
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not math.isinf(deadline) and not self.should_stop:
            self.timer = asyncio.get_running_loop().call_at(deadline, self.wake)

    def _exit(self, effect):
        self.exited.set()
