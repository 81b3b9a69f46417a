"""Client sessions whose requests are sent at most once and whose failures tell what was sent."""

import asyncio
from contextlib import contextmanager
from contextvars import ContextVar

from aiohttp import (
    ClientError,
    ClientRequest,
    ClientResponseError,
    ClientSession,
    DummyCookieJar,
    TCPConnector,
)
from aiohttp.abc import AbstractResolver

from medlarbeam.exceptions import MedlarbeamError

__all__ = [
    "CALL_ERRORS",
    "CallGuard",
    "NotSentError",
    "NumericResolver",
    "describe_error",
    "guard_call",
    "open_session",
]

CALL_ERRORS = (ClientError, asyncio.TimeoutError, OSError, ValueError, MedlarbeamError)

CURRENT_CALL = ContextVar("medlarbeam_current_call")


class NotSentError(MedlarbeamError):
    """The request was dropped between connecting and writing."""


class CallGuard:
    """What is known about the sending of one request.

    Parameters
    ----------
    read_clock : callable or None
        Returns monotonic seconds; needed with `not_after`.
    not_after : float or None
        Monotonic time (s) after which the request is dropped instead of written.
    resend : bool
        Whether the library may send the request again on a new connection.

    Notes
    -----
    `sent` becomes True just before the first byte is written.
    """

    __slots__ = ("not_after", "read_clock", "resend", "sent")

    def __init__(self, read_clock=None, not_after=None, resend=False):
        self.read_clock = read_clock
        self.not_after = not_after
        self.resend = resend
        self.sent = False

    def permit_send(self):
        """Note that the request is written now; raise NotSentError if it must not be."""
        if self.sent and not self.resend:
            raise NotSentError("the request was sent already and is not sent again")
        if self.not_after is not None and self.read_clock() > self.not_after:
            raise NotSentError("the order expired before it could be written")
        self.sent = True


@contextmanager
def guard_call(guard):
    """Apply a `CallGuard` to the requests that are sent in this context by this task."""
    token = CURRENT_CALL.set(guard)
    try:
        yield guard
    finally:
        CURRENT_CALL.reset(token)


class GuardedRequest(ClientRequest):
    """Request that asks the current `CallGuard` once the connection is there.

    The check has to come after connecting, which may take longer than an order is valid.
    """

    __slots__ = ()

    async def send(self, conn):
        """Send the request over `conn` if the guard permits it."""
        CURRENT_CALL.get().permit_send()
        return await super().send(conn)


class NumericResolver(AbstractResolver):
    """Refuses host names; a lookup would need a thread. IP addresses never get here."""

    __slots__ = ()

    async def resolve(self, host, port=0, family=0):
        """Raise OSError."""
        raise OSError(f"{host!r} is not an IP address")

    async def close(self):
        """Do nothing."""


def open_session(timeout, keep_alive=True):
    """Return a client session.

    Parameters
    ----------
    timeout : aiohttp.ClientTimeout
    keep_alive : bool
        False uses a new connection for each request, so that none meets a connection that the
        server is about to close.

    Notes
    -----
    There is no limit on connections, because the node limits what it sends.
    """
    connector = TCPConnector(limit=0, resolver=NumericResolver(), force_close=not keep_alive)
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        request_class=GuardedRequest,
        timeout=timeout,
    )


def describe_error(error):
    """Return one line that says what went wrong.

    Only the type is named where the text may quote what the other side sent.
    """
    is_quoting = isinstance(error, (ClientResponseError, ValueError))
    if is_quoting and not isinstance(error, MedlarbeamError):
        return type(error).__name__
    text = " ".join(str(error).split())
    return f"{type(error).__name__}: {text}" if text else type(error).__name__
