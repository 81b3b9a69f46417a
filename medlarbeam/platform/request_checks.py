"""Checks that a caller's request can be passed on as it is."""

from medlarbeam.exceptions import FormatError
from medlarbeam.platform.header_rules import REQUEST_RULES, HeaderRule

__all__ = ["check_request"]


def check_request(method, target, headers):
    """Raise FormatError if a request cannot be passed on unchanged, or has two meanings.

    Parameters
    ----------
    method, target : str
        Method and request target as received.
    headers : list of tuple
        ``(name, value)`` of the headers that are passed on.
    """
    if method == "CONNECT":
        raise FormatError("CONNECT is not supported")
    if "#" in target:
        raise FormatError("the request target has a fragment")
    names = [name.lower() for name, _ in headers]
    if len(set(names)) < len(names):
        for name in names:
            if names.count(name) > 1 and REQUEST_RULES.get(name) is HeaderRule.END_TO_END:
                raise FormatError(f"the header {name} is repeated")
    for name, value in headers:
        if not value.isascii():
            _check_utf8(name, value)


def _check_utf8(name, value):
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise FormatError(f"the header {ascii(name)} is not UTF-8") from error
