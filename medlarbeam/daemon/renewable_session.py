"""Client session whose kept connections are given up together."""

import asyncio
import logging

from medlarbeam.daemon.http_client import open_session

__all__ = ["RenewableSession"]

log = logging.getLogger(__name__)


class RenewableSession:
    """Session to one server that is replaced when a call on a kept connection has no response.

    Parameters
    ----------
    timeout : aiohttp.ClientTimeout
    longest_call_s : float
        Time (s) after which calls of a session that was given up have ended.
    spawn : callable
        Starts a coroutine as a task.

    Attributes
    ----------
    current : aiohttp.ClientSession
        For the next call.
    has_responded : bool
        Whether a call of `current` got a response.

    Notes
    -----
    Open connections may go silent for good, without a reset, while new ones work. What silences one
    usually silences all, so the first call without a response gives up all of them; otherwise one
    silent connection after the other would be waited for.
    """

    __slots__ = ("current", "has_responded", "longest_call_s", "spawn", "timeout")

    def __init__(self, timeout, longest_call_s, spawn):
        self.timeout = timeout
        self.longest_call_s = longest_call_s
        self.spawn = spawn
        self.current = open_session(timeout)
        self.has_responded = False

    def record_response(self, session):
        """Record that a call of `session` got a response."""
        if session is self.current:
            self.has_responded = True

    def give_up(self, session, call):
        """Use new connections after a call of `session` that was sent got no response.

        Calls in flight keep their connections.

        Parameters
        ----------
        session : aiohttp.ClientSession
        call : str
            Name of the call for the log.

        Returns
        -------
        bool
            Whether another session is in use now. One that never had a response is kept, since
            the server does not respond on new connections either.
        """
        if session is not self.current:
            return True
        if not self.has_responded:
            return False
        log.warning(
            "no response to %s on an open connection; all open connections are given up",
            call,
            extra={"event": "connections_given_up"},
        )
        self.current = open_session(self.timeout)
        self.has_responded = False
        self.spawn(self._close_later(session))
        return True

    async def _close_later(self, session):
        try:
            await asyncio.sleep(self.longest_call_s)
        finally:
            await session.close()

    async def close(self):
        """Close the session and its connections."""
        await self.current.close()
