"""What the gateways see of a worker from its crash until it is back."""

from abc import ABC, abstractmethod

__all__ = ["FAILURE_MODES", "FailureMode"]


class FailureMode(ABC):
    """One way in which a worker fails; `WorkerLinks.start` brings it back."""

    __slots__ = ()

    name = ""

    @abstractmethod
    def fail(self, links):
        """Let a worker fail on its links to the gateways.

        Parameters
        ----------
        links : WorkerLinks
        """


class ResetMode(FailureMode):
    """All connections are reset, and new ones are refused."""

    __slots__ = ()
    name = "reset"

    def fail(self, links):
        """See `FailureMode.fail`."""
        links.stop()


class ClosedMode(FailureMode):
    """All connections are closed in order, as the kernel closes those of a killed process."""

    __slots__ = ()
    name = "closed"

    def fail(self, links):
        """See `FailureMode.fail`."""
        for link in links.links.values():
            link.fail("closed")


class DarkMode(FailureMode):
    """Nothing is closed, bytes are dropped in both directions, and new connections hang."""

    __slots__ = ()
    name = "dark"

    def fail(self, links):
        """See `FailureMode.fail`."""
        for link in links.links.values():
            link.fail("darkened")


class ProxiedMode(FailureMode):
    """All connections are closed in order; new ones are accepted, and closed without an answer."""

    __slots__ = ()
    name = "proxied"

    def fail(self, links):
        """See `FailureMode.fail`."""
        for link in links.links.values():
            link.fail("proxied")


FAILURE_MODES = {mode.name: mode for mode in (ResetMode(), ClosedMode(), DarkMode(), ProxiedMode())}
