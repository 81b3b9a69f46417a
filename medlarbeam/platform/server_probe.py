"""Probes of backend servers, each on a connection of its own."""

import asyncio

from aiohttp import ClientConnectorError

from medlarbeam.classes.server_messages import ProbeResult
from medlarbeam.daemon.http_client import (
    SendGuard,
    apply_send_guard,
    describe_error,
    read_body,
)
from medlarbeam.exceptions import FormatError
from medlarbeam.platform.documents import decode_object, decode_start
from medlarbeam.platform.headers import INSTANCE_ID
from medlarbeam.platform.http_front_end import parse_address

__all__ = ["probe_server"]

CONNECT_TIMEOUT_S = 0.3  # a crashed process refuses a connection within a few ms
ANSWER_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 64 << 10
REPORT_PATH = "/report"


async def probe_server(session, effect):
    """Carry out a `ProbeServer` and return its `ProbeResult`.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Opens a new connection for each request.
    effect : ProbeServer
    """
    if effect.asked_path is None:
        return await _connect(effect.server)
    server = effect.server
    guard = SendGuard()
    result = ProbeResult(server.name, False, "", asked_path=effect.asked_path)
    try:
        with apply_send_guard(guard):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with session.get(
                    f"http://{server.address}{effect.asked_path or REPORT_PATH}",
                    headers={"X-Expect-Instance": server.name},
                    allow_redirects=False,
                ) as response:
                    body = await read_body(response, MAX_ANSWER_BYTES)
        _judge_answer(result, response, body)
    except Exception as error:  # every probe must result in exactly one message
        cause = error.os_error if isinstance(error, ClientConnectorError) else error
        result.is_refused = isinstance(cause, ConnectionRefusedError)
        result.reason = describe_error(error)
    result.is_accepted = guard.sent
    return result


def _judge_answer(result, response, body):
    """Record in a `ProbeResult` what an answer shows of the server."""
    name = response.headers.get(INSTANCE_ID, result.server)
    result.reason = f"it answers with status {response.status}"
    if name != result.server or response.status == 421:
        result.is_other_server = True
        result.reason += f" as {name}"
    elif response.status < 500 or INSTANCE_ID in response.headers:
        # A proxy may answer for a server that is down, with an error and no id of a server.
        result.is_answered = True
        if not result.asked_path and response.status == 200:
            result.started_at_ms = _read_start(body)


def _read_start(body):
    """Return the start (ms) in a report, None if it states none."""
    try:
        return decode_start(decode_object(body))
    except FormatError:
        return None  # a live server with an odd report; its start is found out from the store


async def _connect(server):
    host, port = parse_address(server.address)
    is_refused = is_accepted = False
    reason = "the connection was accepted"
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
        writer.close()
        is_accepted = True
    except ConnectionRefusedError as error:
        is_refused = True
        reason = describe_error(error)
    except OSError as error:  # includes timeouts
        reason = describe_error(error)
    return ProbeResult(server.name, is_refused, reason, is_accepted)
