"""Reconstructs the course of one request from gateway logs."""

import re

from orjson import JSONDecodeError, loads

from medlarbeam.exceptions import FormatError

__all__ = [
    "PAUSED_OUTCOME",
    "QUOTA_OUTCOME",
    "Explanation",
    "explain_request",
    "read_lines",
]

# Log lines without a request id that may explain the outcome of a request.
LOOKBACK_S = 3.0  # a backend server stays suspect for several seconds
PAUSE_LOOKBACK_S = 60.0  # longest pause of a backend server
PAUSE_REASON = re.compile(r"asked for a pause|waited for the end of the pause")
PAUSE_EVENTS = {"server_pause_ended", "server_paused"}
SERVER_NAME = re.compile(r"\b(?:server|better)=(\S+)|\bon (\S+), ordered by (\S+)")
LEAVING = re.compile(r"\ball \d+ backend servers of .* leave: ")
ATTEMPT = re.compile(r"\battempt=(\S+)")
ADAPTER = re.compile(r"\badapter=(\S+)|\bwaited for (\S+) on ")
CONTEXT_EVENTS = {
    "config_adopted",
    "leaving",
    "lines_dropped",
    "node_heard",
    "node_silent",
    "path_lost",
    "path_regained",
    "ready",
    "refusals_limited",
    "registered",
    "registration_lost",
    "software_gone",
    "software_known",
    "store_lost",
    "store_snapshot",
}
# Lines that explain refusals at any later time, also with the request id of another request.
LEAVING_EVENTS = {"server_draining", "server_leaving"}
LEAVING_CAUSE = "every backend server that could have taken it had said that it leaves"
OUTCOMES = {
    "request_served": "The caller received the complete response.",
    "request_refused": "The caller received an error of the gateway; the log line names its kind.",
    "error_passed": "The caller received the error response of the backend server.",
    "answer_cut": "A started stream could not be completed; the gateway closed the connection.",
    "caller_left": "The caller disconnected first; the request was cancelled.",
}
PAUSED_OUTCOME = (
    "The caller was refused because the backend servers that could run the request had asked "
    "for a pause; the `server_paused` lines name the responses that did."
)
QUOTA = re.compile(r"the quota is used up: (.*)'")
QUOTA_OUTCOME = (
    "The caller was refused because its organisation had used up its quota; the cause has the "
    "figures by which this gateway decided."
)
NO_OUTCOME = "The log does not show the outcome: the process exited or lines are missing."


class Explanation:
    """Log lines that explain the outcome of a request.

    Parameters
    ----------
    request_id : str
    outcome : str
        One sentence.
    cause : str
        Why the gateway refused the request, as far as it is known, "" otherwise.
    lines : list of dict
        Fields of the lines with its request id, in order, also of those that it has at a node to
        which it was forwarded.
    context : list of dict
        Fields of the lines about its backend servers, adapter and node from the same period.
    """

    __slots__ = ("cause", "context", "lines", "outcome", "request_id")

    def __init__(self, request_id, outcome, cause, lines, context):
        self.cause = cause
        self.request_id = request_id
        self.outcome = outcome
        self.lines = lines
        self.context = context

    def document(self):
        """Return the explanation as a document for `render_document`."""
        return {
            "request": self.request_id,
            "outcome": self.outcome,
            "cause": self.cause or "-",
            "lines": [_select_fields(line) for line in self.lines],
            "around": [_select_fields(line) for line in self.context],
        }


def _select_fields(line):
    return {name: line.get(name, "") for name in ("time_s", "node", "event", "message")}


def read_lines(file):
    """Yield the fields of each JSON log line in `file`, ignoring any text in front of it."""
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = loads(text[start:])
        except JSONDecodeError:
            continue  # a line truncated when the process exited
        if isinstance(fields, dict) and "event" in fields:
            yield fields


def explain_request(requested_id, lines):
    """Return the `Explanation` of a request.

    Parameters
    ----------
    requested_id : str
        Request id assigned by the gateway, or attempt id assigned by the caller.
    lines : iterable of dict

    Raises
    ------
    FormatError
        If no log line contains the id.
    """
    lines = list(lines)
    request_id = _find_request(requested_id, lines)
    request_ids = {request_id, *_find_forwarded(request_id, lines)}
    own_lines = [line for line in lines if line.get("request_id") in request_ids]
    own_lines.sort(key=lambda line: line["time_s"])
    # At another node the same request has an outcome of its own.
    own_ends = [line for line in own_lines if line["request_id"] == request_id]
    ends = [_find_outcome(line) for line in own_ends if line["event"] in OUTCOMES]
    outcome = ends[-1] if ends else NO_OUTCOME
    context = _find_context(own_lines, lines)
    return Explanation(request_id, outcome, _find_cause(own_lines, context), own_lines, context)


def _find_forwarded(request_id, lines):
    """Return the ids that a forwarded request has at other nodes, which log the same attempt."""
    forwarded = [
        line
        for line in lines
        if line["event"] == "request_forwarded" and line.get("request_id") == request_id
    ]
    attempts = _find_names(ATTEMPT, forwarded)
    return {
        line["request_id"]
        for line in lines
        if attempts and line.get("request_id") and _find_names(ATTEMPT, [line]) & attempts
    }


def _find_cause(own_lines, context):
    """Return why the request was refused: by a quota, or since backend servers leave."""
    quotas = [match for line in own_lines if (match := QUOTA.search(line["message"]))]
    if quotas:
        return quotas[-1].group(1)
    refusals = [line for line in own_lines if LEAVING.search(line["message"])]
    if not refusals or refusals[-1] is not own_lines[-1]:
        return ""
    names = _find_names(SERVER_NAME, refusals)
    texts = [
        f"{line['event']} {line.get('request_id', '')} {line['message']}".replace("  ", " ")
        for line in context
        if line["event"] in LEAVING_EVENTS and _find_names(SERVER_NAME, [line]) & names
    ]
    return "; ".join([LEAVING_CAUSE, *texts])


def _find_outcome(line):
    is_refused = line["event"] == "request_refused"
    if is_refused and QUOTA.search(line["message"]):
        return QUOTA_OUTCOME
    is_paused = is_refused and PAUSE_REASON.search(line["message"])
    return PAUSED_OUTCOME if is_paused else OUTCOMES[line["event"]]


def _find_request(requested_id, lines):
    attempt = f"attempt={requested_id}"
    for line in lines:
        request_id = line.get("request_id", "")
        if request_id == requested_id or request_id and attempt in line.get("message", "").split():
            return request_id
    raise FormatError(f"no line has the id {requested_id!r}; it may be in the log of another node")


def _find_names(pattern, lines):
    groups = [match.groups() for line in lines for match in pattern.finditer(line["message"])]
    return {name for group in groups for name in group if name}


def _find_context(own_lines, lines):
    related = _find_names(SERVER_NAME, own_lines) | {own_lines[0].get("node", "")}
    adapters = _find_names(ADAPTER, own_lines)
    first, last = own_lines[0]["time_s"] - LOOKBACK_S, own_lines[-1]["time_s"]
    context_lines = []
    for line in lines:
        since = first + LOOKBACK_S - PAUSE_LOOKBACK_S if line["event"] in PAUSE_EVENTS else first
        if line["event"] in LEAVING_EVENTS:
            if line.get("time_s", 0.0) > last or line in own_lines:
                continue
        elif line.get("request_id") or not since <= line.get("time_s", 0.0) <= last:
            continue
        mentioned_servers = _find_names(SERVER_NAME, [line]) | set(
            re.findall(r"\bnode=(\S+)", line["message"])
        )
        mentioned_adapters = _find_names(ADAPTER, [line])
        if line["event"] in CONTEXT_EVENTS:
            is_related = not mentioned_servers or bool(mentioned_servers & related)
        else:
            is_related = (
                bool(mentioned_adapters & adapters)
                or bool(mentioned_servers & related)
                and not mentioned_adapters
            )
        if is_related:
            context_lines.append(line)
    return context_lines
