"""HTTP headers of callers and backend servers: filtering, parsing and construction."""

import re
from math import inf
from string import hexdigits
from urllib.parse import quote, unquote

from xxhash import xxh3_64_hexdigest

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.classes.fleet import AdapterKey, SoftwareVersion
from medlarbeam.classes.gateway_effects import ServerLoad
from medlarbeam.classes.gateway_messages import PauseRequest
from medlarbeam.classes.organisations import NO_CREDENTIAL, CallerCredential
from medlarbeam.platform.header_rules import (
    NODE_PREFIX,
    REQUEST_RULES,
    RESPONSE_RULES,
    pass_headers,
    read_options,
)

__all__ = [
    "ATTEMPT_ID",
    "INSTANCE_ID",
    "LAST_EVENT_ID",
    "LEAVING",
    "NOT_RUN",
    "ORIGIN",
    "RUNS_ELSEWHERE",
    "SIGNATURE",
    "TOKENS",
    "answer_headers",
    "find_token_problem",
    "forwarded_headers",
    "parse_adapter_key",
    "parse_config_version",
    "parse_counted",
    "parse_credential",
    "parse_deadline_s",
    "parse_last_event",
    "parse_leaving",
    "parse_load",
    "parse_origin",
    "parse_pause",
    "parse_prompt_tokens",
    "parse_resumed_attempt",
    "parse_runs_elsewhere",
    "parse_shared_parts",
    "parse_tokens",
    "replace_invalid",
    "response_headers",
    "run_headers",
]

ATTEMPT_ID = "X-Attempt-Id"
# Version of the configuration that a node has applied to a request that it forwards.
CONFIG_VERSION = "Medlarbeam-Config"
INSTANCE_ID = "X-Instance-Id"
LAST_EVENT_ID = "Last-Event-Id"
LEAVING = "Server-Leaving"  # "1" in all responses of a server that takes no new requests
KEY = "X-Key"
# Digest of the key of a request that a node forwards, see `digest_key`.
KEY_DIGEST = "Medlarbeam-Key-Digest"
NOT_RUN = "X-Not-Executed"
ORGANISATION = "X-Tenant"
# Service and software version that have begun a stream; exchanged by nodes only.
ORIGIN = "Medlarbeam-Origin"
RATE_LIMIT = "Server-Limit"  # requests per second that the server takes from all nodes together
# Refusals per second, for lack of room, above which the server crashes.
REFUSAL_LIMIT = "Server-Brittle"
RESUMES = "Resumes"  # attempt that brought the first event of the stream that is taken up
RETRY_AFTER = "Retry-After"
# Number of runs of a request that another node forwards; only read from other nodes.
RUNS_ELSEWHERE = "Medlarbeam-Runs"
# "1" if the node that forwards a request has counted it against the quota of its organisation.
COUNTED = "Medlarbeam-Counted"
TOKENS = "X-Token-Usage"
SIGNATURE = "X-Server-Stamp"  # signature of the response by the backend server

MAX_SHARED_PARTS = 256
LOAD_FIGURES = (3, 4)  # in the header with the load of a server
MAX_DIGITS = 15  # of a number; `int` raises ValueError for thousands of digits
MAX_PART_ID_CHARACTERS = 64
MAX_ORIGIN_CHARACTERS = 1024
MAX_LOGGED_CHARACTERS = 40  # of a header value that goes into a log line
DECIMAL = re.compile(r"[0-9]+(?:\.[0-9]*)?|\.[0-9]+")


def replace_invalid(text):
    """Return `text` with bytes that are not UTF-8 replaced, so that it can be encoded again."""
    return text.encode("utf-8", "surrogateescape").decode("utf-8", "replace")


def forwarded_headers(headers):
    """Return the caller's headers that are forwarded, as a list of ``(name, value)``."""
    return pass_headers(headers, REQUEST_RULES)


def response_headers(headers, status=200):
    """Return the backend server's headers for the caller, as a list of ``(name, value)``.

    ``Retry-After`` of a server error is removed: it states when that one server takes requests of
    this node again, while another server may take the caller's next attempt at once.
    """
    passed = pass_headers(headers, RESPONSE_RULES)
    if status < 500:
        return passed
    return [(name, value) for name, value in passed if name.lower() != RETRY_AFTER.lower()]


def run_headers(forwarded, effect, last_event, now):
    """Return the request headers of a run, as a list of ``(name, value)``.

    Parameters
    ----------
    forwarded : list of tuple
        Result of `forwarded_headers`.
    effect : StartFleetRun
    last_event : int
        Id of the event after which the stream is resumed, 0 to start at its beginning.
    now : float
        Monotonic time (s).
    """
    headers = [(n, v) for n, v in forwarded if not (last_event and n.lower() == "last-event-id")]
    headers.append(("X-Deadline-Ms", str(max(1, int((effect.deadline - now) * 1000)))))
    # At the address of a node there may be a backend server by now, which then refuses the request.
    headers.append(("X-Expect-Instance", effect.server.name))
    if effect.organisation:
        headers.append((ORGANISATION, effect.organisation))
    if last_event:
        headers.append((LAST_EVENT_ID, str(last_event)))
    if effect.forwarded_runs is not None:
        return headers + _list_forwarding_headers(forwarded, effect, last_event)
    headers.append(("X-Request-Priority", str(min(9, max(0, effect.priority)))))
    if effect.version:
        headers.append(("X-Expect-Version", str(effect.version)))
    return headers


def _list_forwarding_headers(forwarded, effect, last_event):
    """Return what another node has to know; it sets the headers for the backend server itself."""
    headers = [
        (RUNS_ELSEWHERE, str(effect.forwarded_runs)),
        (CONFIG_VERSION, str(effect.credential.config_version)),
        (COUNTED, "1"),
        *((KEY_DIGEST, digest) for digest in effect.credential.key_digests),
    ]
    if last_event and not any(name.lower() == RESUMES.lower() for name, _ in forwarded):
        # For the other node this is the rest of a stream that the caller's attempt has begun.
        headers += [(RESUMES, value) for name, value in forwarded if name == ATTEMPT_ID]
    if effect.origin is not None:
        headers.append((ORIGIN, encode_origin(effect.origin)))
    return add_options(headers)


def add_options(headers):
    """Return headers for another node with a connection option for each that only nodes know.

    The options make a node of an earlier build remove headers that it does not know, instead of
    passing them on to a backend server or a caller.
    """
    names = dict.fromkeys(name for name, _ in headers if name.lower().startswith(NODE_PREFIX))
    return [*headers, ("Connection", ", ".join(names))]


def answer_headers(config_version, origin=None):
    """Return the headers of an answer to a forwarded request.

    Parameters
    ----------
    config_version : int
        Version of the configuration that this node applies.
    origin : SoftwareVersion or None
        Version that has begun the stream.
    """
    headers = [(CONFIG_VERSION, str(config_version))]
    if origin is not None:
        headers.append((ORIGIN, encode_origin(origin)))
    return add_options(headers)


def encode_origin(version):
    """Return the value of the header that states the `SoftwareVersion` that began a stream."""
    return "/".join(quote(name, safe="") for name in (version.service, version.software))


def parse_origin(headers):
    """Return the `SoftwareVersion` that another node states, None if it states none."""
    text = headers.get(ORIGIN, "")
    service, _, software = text.partition("/")
    if not service or len(text) > MAX_ORIGIN_CHARACTERS:
        return None
    return SoftwareVersion(replace_invalid(unquote(service)), replace_invalid(unquote(software)))


def parse_config_version(headers):
    """Return the version of the configuration that another node states, 0 if it states none."""
    return _parse_number(headers.get(CONFIG_VERSION, ""))


def parse_credential(headers, is_from_node):
    """Return the `CallerCredential` of a request.

    Parameters
    ----------
    headers : multidict.CIMultiDictProxy
    is_from_node : bool
        Whether another node forwards the request. One of an earlier build passes the caller's key.
    """
    # A node of an earlier build passes what its caller has forged, and names it in no option.
    if is_from_node and CONFIG_VERSION.lower() in read_options(headers):
        return CallerCredential(
            tuple(headers.getall(KEY_DIGEST, ())), parse_config_version(headers)
        )
    keys = headers.getall(KEY, ())
    return CallerCredential(tuple(digest_key(key) for key in keys)) if keys else NO_CREDENTIAL


def parse_deadline_s(headers):
    """Return the caller's deadline in seconds from now, infinity if it sent no valid one."""
    return _parse_number(headers.get("X-Deadline-Ms", ""), inf) / 1000.0


def parse_adapter_key(headers):
    """Return the `AdapterKey` of a request, None if it names no model."""
    text = replace_invalid(headers.get("X-Model", ""))
    if not text:
        return None
    model, _, adapter = text.partition("/")
    return AdapterKey(model, adapter)


def parse_shared_parts(headers):
    """Return the ids of the prompt parts that other requests may share, in order.

    The last part in ``X-Prompt-Prefix`` belongs to the request or its session alone.
    """
    parts = headers.get("X-Prompt-Prefix", "").split(",")[:-1]
    names = (part.partition(":")[0].strip().lower() for part in parts[:MAX_SHARED_PARTS])
    return tuple(_normalise_part_id(name) for name in names if name)


def _normalise_part_id(name):
    """Return a part id, or its digest if it is too long or not hexadecimal."""
    if len(name) <= MAX_PART_ID_CHARACTERS and not name.strip(hexdigits):
        return name
    return "x" + xxh3_64_hexdigest(name.encode("utf-8", "surrogateescape"))


def parse_tokens(headers):
    """Return the token count of a request: prompt, including shared prefixes, and output."""
    total = sum(_parse_number(part) for part in headers.get(TOKENS, "").split(","))
    return max(total, 0)


def find_token_problem(headers):
    """Return why the stated number of tokens cannot be read, "" if it can or is missing."""
    text = headers.get(TOKENS)
    if text is None:
        return ""
    parts = text.split(",")
    if len(parts) != 2 or any(_parse_number(part, None) is None for part in parts):
        return f"{TOKENS} is not two numbers of at most {MAX_DIGITS} digits"
    return ""


def parse_prompt_tokens(headers):
    """Return the number of prompt tokens of a request, 0 if it states none."""
    return _parse_number(headers.get(TOKENS, "").partition(",")[0])


def _parse_number(text, default=0):
    """Return the number in `text`, `default` if it is none or has too many digits."""
    text = text.strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else default


def parse_load(headers):
    """Return the `ServerLoad` in response headers, None if they have neither load nor limit.

    A fourth figure, how long work takes on the machine of the server, is not used.
    """
    rate_limit = _parse_rate(headers.get(RATE_LIMIT, ""))
    refusal_limit = _parse_number(headers.get(REFUSAL_LIMIT, ""), None)
    parts = headers.get("X-Server-Load", "").split(",")
    if len(parts) not in LOAD_FIGURES:
        has_limit = rate_limit is not None or refusal_limit is not None
        return ServerLoad(0, 0, 0, rate_limit, refusal_limit) if has_limit else None
    running, waiting, concurrency = (_parse_number(part) for part in parts[:3])
    return ServerLoad(running, waiting, concurrency, rate_limit, refusal_limit)


def _parse_rate(text):
    """Return a decimal number of requests per second, None if it is missing or malformed."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0.0 <= rate < inf else None


def parse_leaving(headers):
    """Return the statement that the backend server leaves, "" if there is none.

    Only the value 1 is defined; any other one, such as 0, states nothing.
    """
    text = ",".join(headers.getall(LEAVING, ()))
    return text if "1" in (part.strip() for part in text.split(",")) else ""


def parse_pause(headers, attempt_id, server):
    """Return the `PauseRequest` in the headers of a 503 for a request that was not run, or None.

    Parameters
    ----------
    headers : multidict.CIMultiDictProxy
    attempt_id : str
        Attempt id of the request. A worker may write the response to an earlier one again.
    server : str
        Instance id of the backend server to which the request was sent.
    """
    values = headers.getall(RETRY_AFTER, ())
    if not values:
        return None
    text = ascii(", ".join(values)[:MAX_LOGGED_CHARACTERS])
    if headers.get(ATTEMPT_ID, attempt_id) != attempt_id:
        return PauseRequest(text, None, "the response has the attempt id of another request")
    if headers.get(INSTANCE_ID, server) != server:
        return PauseRequest(text, None, "the response is of another instance")
    if len(values) > 1:
        return PauseRequest(text, None, "the header is repeated")
    if not DECIMAL.fullmatch(values[0].strip()):
        return PauseRequest(text, None, "the value is not a decimal number of seconds")
    return PauseRequest(text, float(values[0]))


def parse_last_event(headers):
    """Return the id of the last event that a caller received, 0 if it names none."""
    return _parse_number(headers.get(LAST_EVENT_ID, ""))


def parse_resumed_attempt(headers):
    """Return the attempt that brought the first event of a stream that is taken up, "" for none."""
    return replace_invalid(headers.get(RESUMES, "").strip())


def parse_counted(headers):
    """Return whether the node that forwards a request has counted it against a quota.

    A node of an earlier build passes what its caller has forged, and names it in no option.
    """
    return COUNTED in headers and COUNTED.lower() in read_options(headers)


def parse_runs_elsewhere(headers):
    """Return the number of runs of a request that another node forwards."""
    return _parse_number(headers.get(RUNS_ELSEWHERE, ""))
