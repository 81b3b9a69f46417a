"""Checks of the responses of backend servers."""

import re

from medlarbeam.exceptions import FormatError
from medlarbeam.platform.headers import ATTEMPT_ID, NOT_RUN, SIGNATURE, parse_pause

__all__ = [
    "BadResponseError",
    "check_response",
    "check_status",
    "find_answer_source",
    "find_pause",
    "find_refusal",
]


# In a header value; RFC 9110, section 5.5. The HTTP library does not write such a value.
CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class BadResponseError(Exception):
    """The response is malformed or does not belong to the request that was sent."""


def find_refusal(response, exchange):
    """Return why the backend server did not run the request, "" if it did not refuse it.

    A refusal that names another attempt was written once more for an earlier request of the
    connection; the request of this exchange may run.
    """
    attempt_id = exchange.request.attempt_id
    if response.headers.get(ATTEMPT_ID, attempt_id) != attempt_id:
        return ""
    if NOT_RUN in response.headers or response.status in (421, 429):
        return f"refused with HTTP {response.status}"
    return ""


def find_answer_source(response, refusal, is_stream):
    """Return the kind of an answer to a run, see `ServerLeaving`."""
    if refusal:
        return "refusal"
    if not 200 <= response.status < 300:
        return "failure"
    return "stream" if is_stream else "success"


def find_pause(response, attempt_id, server):
    """Return the `PauseRequest` of a backend server that turned a request away, or None.

    Other statuses than 503 refuse one request, and a 503 without `NOT_RUN` may come from a run.
    """
    if response.status != 503 or NOT_RUN not in response.headers:
        return None
    return parse_pause(response.headers, attempt_id, server)


def check_status(response):
    """Raise FormatError unless a call was successful."""
    if response.status != 200:
        raise FormatError(f"HTTP {response.status}")


def check_response(response, exchange):
    """Raise BadResponseError unless the headers show a signed response to this request."""
    headers = response.headers
    if headers.getall(ATTEMPT_ID, []) != [exchange.request.attempt_id]:
        response.close()
        raise BadResponseError("the response has the attempt id of another request")
    if headers.get("Transfer-Encoding", "chunked").strip().lower() != "chunked":
        response.close()
        raise BadResponseError("the response has an unsupported Transfer-Encoding")
    if "Content-Encoding" in response.headers:
        response.close()
        raise BadResponseError("the response has an unsupported Content-Encoding")
    if CONTROL_CHARACTER.search("".join(headers.values())):
        response.close()
        raise BadResponseError("the response has a header with a control character")
    signatures = headers.getall(SIGNATURE, [])
    is_signed = len(signatures) == 1 and bool(signatures[0])
    if len(signatures) > 1 or 200 <= response.status < 300 and not is_signed:
        response.close()
        raise BadResponseError("the response is not signed once")
