"""Abstract base classes of the shell: what drives the node, and what carries out its effects."""

import asyncio
import logging
from abc import ABC, abstractmethod

from mode import Service

__all__ = ["NodeDriver", "Port", "PortService"]

log = logging.getLogger(__name__)


class NodeDriver(ABC):
    """Access to the node for the parts of the shell."""

    __slots__ = ()

    @abstractmethod
    def deliver(self, message):
        """Pass a message to the node and carry out the effects."""

    @abstractmethod
    def read_clock(self):
        """Return the monotonic time (s) that the node is driven with."""

    @abstractmethod
    def read_wall_clock(self):
        """Return the wall clock time, seconds since the epoch."""

    @abstractmethod
    def is_ready(self):
        """Return whether the node takes new requests."""

    @abstractmethod
    def catalog_revision(self):
        """Return the revision of the catalogue in force."""

    @abstractmethod
    def confirm_age(self):
        """Return the seconds since that revision was known to be the latest."""


class Port(ABC):
    """A part of the shell that carries out effects."""

    __slots__ = ()

    @abstractmethod
    def effects(self):
        """Return ``{effect class: method}``; methods take the effect and do not block."""


class PortService(Service, Port):
    """A port with tasks or sockets of its own, started and stopped with the shell.

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
        """Run a coroutine as a task that is cancelled when the service stops; return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception(), extra={"event": "task_failed"})

    async def on_stop(self):
        """Cancel the tasks and wait for their end; async contexts are closed after this."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
