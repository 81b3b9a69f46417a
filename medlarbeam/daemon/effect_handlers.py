"""Abstract base classes: access to the node, and handlers that carry out its effects."""

import asyncio
import logging
from abc import ABC, abstractmethod

from mode import Service

__all__ = ["EffectHandler", "EffectHandlerService", "NodeDriver"]

log = logging.getLogger(__name__)


class NodeDriver(ABC):
    """Access to the node for the effect handlers."""

    __slots__ = ()

    @abstractmethod
    def deliver(self, message):
        """Pass a message to the node and carry out the resulting effects."""

    @abstractmethod
    def read_clock(self):
        """Return the monotonic time (s) that is passed to the node."""

    @abstractmethod
    def read_wall_clock(self):
        """Return the wall clock time (s since the epoch)."""

    @abstractmethod
    def is_ready(self):
        """Return whether the node accepts new requests."""

    @abstractmethod
    def catalog_revision(self):
        """Return the revision of the current catalog."""

    @abstractmethod
    def confirm_age(self):
        """Return the time since that revision was last confirmed to be the latest (s)."""


class EffectHandler(ABC):
    """Carries out effects of some classes."""

    __slots__ = ()

    @abstractmethod
    def effects(self):
        """Return ``{effect class: function}``; the functions take the effect and do not block."""


class EffectHandlerService(Service, EffectHandler):
    """Effect handler that owns tasks or sockets, and is started and stopped with the shell.

    Parameters
    ----------
    driver : NodeDriver
    """

    abstract = True
    mundane_level = "debug"

    def __init__(self, driver):
        self.driver = driver
        self.tasks = set()
        super().__init__()

    def spawn(self, coroutine):
        """Start a task that is cancelled when the service stops; return it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception(), extra={"event": "task_failed"})

    async def on_stop(self):
        """Cancel the tasks and wait for them; the async contexts are closed afterwards."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
