"""Parses callers' HTTP requests into `Request`; errors are FormatErrors that name the field."""

import math
import re

from orjson import JSONDecodeError, loads

from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import FormatError

__all__ = [
    "MAX_BODY_BYTES",
    "DeadlineLimits",
    "get_header",
    "parse_completion",
    "parse_service_request",
]

MAX_BODY_BYTES = 3 << 19  # a forwarded request has to fit into a peer frame of 2 MiB
MAX_MODELS = 64
MAX_TOKENS = 1_000_000
RANKS_BY_NAME = {rank.name.lower(): rank for rank in Rank}
COMPLETION_FIELDS = {
    "deadline_s",
    "max_tokens",
    "model",
    "models",
    "prompt",
    "rank",
    "stream",
}
MODEL_PATTERN = re.compile(r"[!-?A-~]{1,128}@[!-?A-~]{1,128}")  # printable ASCII, one "@"
SERVICE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
PATH_PATTERN = re.compile(r"[A-Za-z0-9._~-]+(/[A-Za-z0-9._~-]+)*")
HEADER_PATTERN = re.compile(r"[!-~]{1,256}")
ANONYMOUS_CALLER = "anonymous"


class DeadlineLimits:
    """Default and maximum deadline of requests.

    Parameters
    ----------
    default_s, max_s : float
        Time from the arrival of the request (s).
    """

    __slots__ = ("default_s", "max_s")

    def __init__(self, default_s, max_s):
        self.default_s = default_s
        self.max_s = max_s


class RequestHeaders:
    """Caller, idempotency key and idempotency flag from the headers of a request.

    Parameters
    ----------
    headers : multidict.MultiMapping of str

    Raises
    ------
    FormatError
        If a header is malformed, or a non-idempotent request has no key or no caller.
    """

    __slots__ = ("caller", "key", "non_idempotent")

    def __init__(self, headers):
        self.caller = get_header(headers, "X-Caller") or ANONYMOUS_CALLER
        self.key = get_header(headers, "Idempotency-Key")
        flag = (get_header(headers, "X-Non-Idempotent") or "false").lower()
        if flag not in ("true", "false"):
            raise FormatError("header X-Non-Idempotent: expected true or false")
        self.non_idempotent = flag == "true"
        if self.non_idempotent and not self.key:
            raise FormatError("header Idempotency-Key: missing, required with X-Non-Idempotent")
        if self.non_idempotent and self.caller == ANONYMOUS_CALLER:
            # Keys are scoped to a caller; the keys of several anonymous callers would collide.
            raise FormatError("header X-Caller: missing, required with X-Non-Idempotent")


def get_header(headers, name):
    """Return the value of a header, or "" if it is absent."""
    values = headers.getall(name, [])
    if len(values) > 1:
        raise FormatError(f"header {name}: sent more than once")
    if not values:
        return ""
    value = values[0]
    if not HEADER_PATTERN.fullmatch(value):
        raise FormatError(f"header {name}: expected 1 to 256 printable non-space ASCII characters")
    return value


def parse_completion(headers, body, request_id, now, limits):
    """Parse a completion request.

    Parameters
    ----------
    headers : multidict.MultiMapping of str
    body : bytes
        JSON document.
    request_id : str
    now : float
        Arrival time on the monotonic clock (s).
    limits : DeadlineLimits

    Returns
    -------
    Request

    Raises
    ------
    FormatError
    """
    parsed_headers = RequestHeaders(headers)
    document = parse_json(body)
    if not isinstance(document, dict):
        raise FormatError("body: expected a JSON object")
    unknown = sorted(set(document) - COMPLETION_FIELDS)
    if unknown:
        raise FormatError(f"body: unknown fields {', '.join(unknown)}")
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise FormatError("prompt: expected a non-empty string")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise FormatError("stream: expected true or false")
    return Request(
        request_id,
        parsed_headers.caller,
        parse_rank(document.get("rank", "ordinary"), "rank"),
        now + parse_deadline(document.get("deadline_s", limits.default_s), "deadline_s", limits),
        parse_models(document),
        prompt,
        max_tokens=parse_max_tokens(document.get("max_tokens", 256)),
        stream=stream,
        non_idempotent=parsed_headers.non_idempotent,
        key=parsed_headers.key,
    )


def parse_service_request(headers, service, path, query, body, request_id, now, limits):
    """Parse a request to a plain service.

    Parameters
    ----------
    headers : multidict.MultiMapping of str
        ``X-Rank`` and ``X-Deadline-S`` replace the fields `rank` and `deadline_s` of a completion.
    service, path, query : str
    body : bytes
        JSON document, passed on unchanged.
    request_id : str
    now : float
        Arrival time on the monotonic clock (s).
    limits : DeadlineLimits

    Returns
    -------
    Request

    Raises
    ------
    FormatError
    """
    parsed_headers = RequestHeaders(headers)
    if not SERVICE_PATTERN.fullmatch(service):
        raise FormatError("service: expected up to 63 letters, digits, '.', '_' or '-'")
    if not PATH_PATTERN.fullmatch(path) or {".", ".."} & set(path.split("/")):
        raise FormatError("path: expected segments of letters, digits, '.', '_', '~' or '-'")
    if query:
        raise FormatError("query: query parameters are not supported, use the body")
    parse_json(body)
    try:
        deadline_s = float(headers.get("X-Deadline-S", limits.default_s))
    except ValueError:
        deadline_s = math.nan
    return Request(
        request_id,
        parsed_headers.caller,
        parse_rank(headers.get("X-Rank", "ordinary"), "header X-Rank"),
        now + parse_deadline(deadline_s, "header X-Deadline-S", limits),
        [],
        body.decode("utf-8"),
        service=service,
        path=path,
        non_idempotent=parsed_headers.non_idempotent,
        key=parsed_headers.key,
    )


def parse_json(body):
    """Return the decoded JSON document of a body (bytes)."""
    try:
        return loads(body)
    except JSONDecodeError as error:
        raise FormatError(f"body: not valid JSON, {error}") from None


def parse_models(document):
    """Return the list of models that the caller accepts for a completion."""
    if ("model" in document) == ("models" in document):
        raise FormatError("model, models: expected exactly one of these fields")
    models = document["models"] if "models" in document else [document["model"]]
    if not isinstance(models, list) or not 0 < len(models) <= MAX_MODELS:
        raise FormatError(f"models: expected a list of 1 to {MAX_MODELS} names")
    for model in models:
        if not isinstance(model, str) or not MODEL_PATTERN.fullmatch(model):
            raise FormatError("model: expected adapter@version in printable ASCII without spaces")
    if len(set(models)) < len(models):
        raise FormatError("models: a model is listed twice")
    return models


def parse_max_tokens(value):
    """Return the maximum number of tokens to generate."""
    if type(value) is not int or not 0 < value <= MAX_TOKENS:
        raise FormatError(f"max_tokens: expected a whole number from 1 to {MAX_TOKENS}")
    return value


def parse_rank(value, field):
    """Return the `Rank` with the given name."""
    if not isinstance(value, str) or value not in RANKS_BY_NAME:
        raise FormatError(f"{field}: expected one of {', '.join(RANKS_BY_NAME)}")
    return RANKS_BY_NAME[value]


def parse_deadline(value, field, limits):
    """Return the time until the deadline (s)."""
    if type(value) not in (int, float) or not 0 < value <= limits.max_s:
        raise FormatError(f"{field}: expected seconds greater than 0 and at most {limits.max_s:g}")
    return float(value)
