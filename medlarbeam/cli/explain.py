"""What the log says about one request, and what happened around it."""

import re

from orjson import JSONDecodeError, loads

from medlarbeam.exceptions import FormatError

__all__ = ["Explanation", "explain_request", "read_lines"]

# Lines without a request id that can be the reason for what became of a request.
BEFORE_S = 3.0  # a backend server that is suspected stays so for seconds
NAMED = re.compile(r"\b(?:server|better)=(\S+)|\bon (\S+), ordered by (\S+)")
ADAPTER = re.compile(r"\badapter=(\S+)|\bwaited for (\S+) on ")
SURROUNDING = {
    "config_adopted",
    "leaving",
    "lines_dropped",
    "node_heard",
    "node_silent",
    "ready",
    "registered",
    "registration_lost",
    "store_lost",
    "store_snapshot",
}
OUTCOMES = {
    "request_served": "The caller got the whole answer.",
    "request_refused": "The caller got a failure of the gateway, of the kind that the line names.",
    "error_passed": "The caller got the backend server's own error.",
    "answer_cut": "A stream that had begun could not be completed; the connection was closed.",
    "caller_left": "The caller closed its connection first; its work was stopped.",
}
NO_OUTCOME = "The log has no end of it: the process ended, or lines are missing."


class Explanation:
    """The story of a request.

    Parameters
    ----------
    request_id : str
    outcome : str
        One sentence.
    lines : list of dict
        Fields of its own lines, in order.
    around : list of dict
        Fields of the lines about its backend servers, its adapter and its node at that time.
    """

    __slots__ = ("around", "lines", "outcome", "request_id")

    def __init__(self, request_id, outcome, lines, around):
        self.request_id = request_id
        self.outcome = outcome
        self.lines = lines
        self.around = around

    def document(self):
        """Return the explanation as a document for `render_document`."""
        return {
            "request": self.request_id,
            "outcome": self.outcome,
            "lines": [_row(line) for line in self.lines],
            "around": [_row(line) for line in self.around],
        }


def _row(line):
    return {name: line.get(name, "") for name in ("time_s", "node", "event", "message")}


def read_lines(file):
    """Yield the fields of each log line in `file`; other text before a line is skipped."""
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = loads(text[start:])
        except JSONDecodeError:
            continue  # a line that was cut by the end of a process
        if isinstance(fields, dict) and "event" in fields:
            yield fields


def explain_request(wanted, lines):
    """Return the `Explanation` of a request.

    Parameters
    ----------
    wanted : str
        Id that the gateway gave to the request, or that the caller gave to its attempt.
    lines : iterable of dict

    Raises
    ------
    FormatError
        If no line has the id.
    """
    lines = list(lines)
    request_id = _find_request(wanted, lines)
    own = [line for line in lines if line.get("request_id") == request_id]
    ends = [OUTCOMES[line["event"]] for line in own if line["event"] in OUTCOMES]
    return Explanation(request_id, ends[-1] if ends else NO_OUTCOME, own, _find_around(own, lines))


def _find_request(wanted, lines):
    attempt = f"attempt={wanted}"
    for line in lines:
        request_id = line.get("request_id", "")
        if request_id == wanted or request_id and attempt in line.get("message", "").split():
            return request_id
    raise FormatError(f"no line has the id {wanted!r}; it may be in the log of another node")


def _find_names(pattern, lines):
    groups = [match.groups() for line in lines for match in pattern.finditer(line["message"])]
    return {name for group in groups for name in group if name}


def _find_around(own, lines):
    names = _find_names(NAMED, own) | {own[0].get("node", "")}
    adapters = _find_names(ADAPTER, own)
    first, last = own[0]["time_s"] - BEFORE_S, own[-1]["time_s"]
    found = []
    for line in lines:
        if line.get("request_id") or not first <= line.get("time_s", 0.0) <= last:
            continue
        named = _find_names(NAMED, [line]) | set(re.findall(r"\bnode=(\S+)", line["message"]))
        about = _find_names(ADAPTER, [line])
        if line["event"] in SURROUNDING:
            is_related = not named or bool(named & names)
        else:
            is_related = bool(about & adapters) or bool(named & names) and not about
        if is_related:
            found.append(line)
    return found
