"""Reads callers' HTTP requests into `Request`; a fault is a FormatError that names the field."""

import math
import re

from orjson import JSONDecodeError, loads

from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import FormatError

__all__ = [
    "MAX_BODY_BYTES",
    "DeadlineLimits",
    "read_completion",
    "read_header",
    "read_service_call",
]

MAX_BODY_BYTES = 4 << 20
MAX_MODELS = 64
MAX_TOKENS = 1_000_000
RANKS = {rank.name.lower(): rank for rank in Rank}
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
ANONYMOUS = "anonymous"


class DeadlineLimits:
    """Deadlines that callers get and may ask for.

    Parameters
    ----------
    default_s, longest_s : float
        Seconds from the arrival of the request.
    """

    __slots__ = ("default_s", "longest_s")

    def __init__(self, default_s, longest_s):
        self.default_s = default_s
        self.longest_s = longest_s


class CallHeaders:
    """What the headers of a request say.

    Parameters
    ----------
    headers : multidict.MultiMapping of str

    Raises
    ------
    FormatError
        On a malformed header, or a non-idempotent request without key or caller.
    """

    __slots__ = ("caller", "key", "non_idempotent")

    def __init__(self, headers):
        self.caller = read_header(headers, "X-Caller") or ANONYMOUS
        self.key = read_header(headers, "Idempotency-Key")
        mark = (read_header(headers, "X-Non-Idempotent") or "false").lower()
        if mark not in ("true", "false"):
            raise FormatError("header X-Non-Idempotent: expected true or false")
        self.non_idempotent = mark == "true"
        if self.non_idempotent and not self.key:
            raise FormatError("header Idempotency-Key: missing, required with X-Non-Idempotent")
        if self.non_idempotent and self.caller == ANONYMOUS:
            # Keys belong to a caller; those of several anonymous callers would collide.
            raise FormatError("header X-Caller: missing, required with X-Non-Idempotent")


def read_header(headers, name):
    """Return the value of a header, "" where it is absent."""
    values = headers.getall(name, [])
    if len(values) > 1:
        raise FormatError(f"header {name}: given more than once")
    if not values:
        return ""
    value = values[0]
    if not HEADER_PATTERN.fullmatch(value):
        raise FormatError(f"header {name}: expected 1 to 256 printable ASCII characters, no space")
    return value


def read_completion(headers, body, request_id, now, limits):
    """Read a completion request.

    Parameters
    ----------
    headers : multidict.MultiMapping of str
    body : bytes
        JSON document.
    request_id : str
    now : float
        Monotonic time (s) of the arrival.
    limits : DeadlineLimits

    Returns
    -------
    Request

    Raises
    ------
    FormatError
    """
    call = CallHeaders(headers)
    document = read_json(body)
    if not isinstance(document, dict):
        raise FormatError("body: expected a JSON object")
    unknown = sorted(set(document) - COMPLETION_FIELDS)
    if unknown:
        raise FormatError(f"body: unknown fields {', '.join(unknown)}")
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise FormatError("prompt: expected a text that is not empty")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise FormatError("stream: expected true or false")
    return Request(
        request_id,
        call.caller,
        read_rank(document.get("rank", "ordinary"), "rank"),
        now + read_deadline(document.get("deadline_s", limits.default_s), "deadline_s", limits),
        read_models(document),
        prompt,
        max_tokens=read_max_tokens(document.get("max_tokens", 256)),
        stream=stream,
        non_idempotent=call.non_idempotent,
        key=call.key,
    )


def read_service_call(headers, service, path, query, body, request_id, now, limits):
    """Read a request to a plain service.

    Parameters
    ----------
    headers : multidict.MultiMapping of str
        ``X-Rank`` and ``X-Deadline-S`` stand for the fields of a completion request.
    service, path, query : str
    body : bytes
        JSON, passed on unchanged.
    request_id : str
    now : float
    limits : DeadlineLimits

    Returns
    -------
    Request

    Raises
    ------
    FormatError
    """
    call = CallHeaders(headers)
    if not SERVICE_PATTERN.fullmatch(service):
        raise FormatError("service: expected up to 63 letters, digits, '.', '_' or '-'")
    if not PATH_PATTERN.fullmatch(path) or {".", ".."} & set(path.split("/")):
        raise FormatError("path: expected segments of letters, digits, '.', '_', '~' or '-'")
    if query:
        raise FormatError("query: not supported, use the body")
    read_json(body)
    try:
        deadline_s = float(headers.get("X-Deadline-S", limits.default_s))
    except ValueError:
        deadline_s = math.nan
    return Request(
        request_id,
        call.caller,
        read_rank(headers.get("X-Rank", "ordinary"), "header X-Rank"),
        now + read_deadline(deadline_s, "header X-Deadline-S", limits),
        [],
        body.decode("utf-8"),
        service=service,
        path=path,
        non_idempotent=call.non_idempotent,
        key=call.key,
    )


def read_json(body):
    """Return the document of a JSON body (bytes)."""
    try:
        return loads(body)
    except JSONDecodeError as error:
        raise FormatError(f"body: not valid JSON, {error}") from None


def read_models(document):
    """Return the acceptable models of a completion document."""
    if ("model" in document) == ("models" in document):
        raise FormatError("model, models: expected exactly one of them")
    models = document["models"] if "models" in document else [document["model"]]
    if not isinstance(models, list) or not 0 < len(models) <= MAX_MODELS:
        raise FormatError(f"models: expected a list of 1 to {MAX_MODELS} names")
    for model in models:
        if not isinstance(model, str) or not MODEL_PATTERN.fullmatch(model):
            raise FormatError("model: expected adapter@version in printable ASCII, no space")
    if len(set(models)) < len(models):
        raise FormatError("models: a name is listed twice")
    return models


def read_max_tokens(value):
    """Return the allowance of tokens."""
    if type(value) is not int or not 0 < value <= MAX_TOKENS:
        raise FormatError(f"max_tokens: expected a whole number from 1 to {MAX_TOKENS}")
    return value


def read_rank(value, place):
    """Return the `Rank` of a word."""
    if not isinstance(value, str) or value not in RANKS:
        raise FormatError(f"{place}: expected {', '.join(RANKS)}")
    return RANKS[value]


def read_deadline(value, place, limits):
    """Return the seconds until the deadline."""
    if type(value) not in (int, float) or not 0 < value <= limits.longest_s:
        raise FormatError(f"{place}: expected seconds above 0, at most {limits.longest_s:g}")
    return float(value)
