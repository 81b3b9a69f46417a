"""Checks that a caller's request can be passed on as it is."""

from aiohttp import HttpVersion11

from medlarbeam.exceptions import FormatError

__all__ = ["check_request"]

# By which requests are served; a repeated one has two meanings.
SINGLE_HEADERS = {
    "host",
    "last-event-id",
    "resumes",
    "x-attempt-id",
    "x-length-hint",
    "x-model",
    "x-prompt-prefix",
    "x-token-usage",
}


def check_request(http_request, headers):
    """Raise FormatError if a request cannot be passed on unchanged, or has two meanings.

    Parameters
    ----------
    http_request : aiohttp.web.BaseRequest
    headers : list of tuple
        ``(name, value)`` of the headers that are passed on.
    """
    if http_request.version < HttpVersion11:
        raise FormatError("HTTP/1.1 is required")  # an earlier version cannot mark a broken stream
    if http_request.method == "CONNECT":
        raise FormatError("CONNECT is not supported")
    if "#" in http_request.raw_path:
        raise FormatError("the request target has a fragment")
    names = [name.lower() for name, _ in headers]
    if "x-attempt-id" not in names:
        raise FormatError("the request has no attempt id")
    if len(set(names)) < len(names):
        for name in names:
            if names.count(name) > 1 and name in SINGLE_HEADERS:
                raise FormatError(f"the header {name} is repeated")
    for _, value in headers:
        if not value.isascii():
            _check_utf8(value)


def _check_utf8(value):
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise FormatError("the value of a header is not UTF-8") from error
