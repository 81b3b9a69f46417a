"""Headers of callers and backend servers: what is passed on, and what it means."""

from math import inf

from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.gateway_effects import ServerLoad

__all__ = [
    "ATTEMPT_ID",
    "INSTANCE",
    "LAST_EVENT",
    "NOT_RUN",
    "STAMP",
    "answer_headers",
    "forwarded_headers",
    "read_adapter_key",
    "read_deadline_s",
    "read_load",
    "read_tokens",
    "run_headers",
]

ATTEMPT_ID = "X-Attempt-Id"
INSTANCE = "X-Instance-Id"
LAST_EVENT = "Last-Event-Id"
NOT_RUN = "X-Not-Executed"
STAMP = "X-Server-Stamp"  # signature of the backend server under its answer

# Headers that concern one connection, and those that the HTTP library writes itself.
HOP_BY_HOP = {
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
# Headers by which only the system may control a backend server.
SYSTEM_ONLY = {
    "kv-fetch",
    "kv-from",
    "wait-ms",
    "x-deadline-ms",
    "x-expect-instance",
    "x-expect-version",
    "x-hold",
    "x-kv-backup",
    "x-pin-ms",
    "x-request-priority",
}


def _keep(headers, dropped):
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    dropped = dropped | named
    return [(name, value) for name, value in headers.items() if name.lower() not in dropped]


def forwarded_headers(headers):
    """Return the list of ``(name, value)`` of a caller's headers that are passed on."""
    return _keep(headers, HOP_BY_HOP | SYSTEM_ONLY)


def answer_headers(headers):
    """Return the list of ``(name, value)`` of a backend server's headers for the caller."""
    return _keep(headers, HOP_BY_HOP | {"date", "server", INSTANCE.lower(), "x-server-load"})


def run_headers(forwarded, effect, last_event, now):
    """Return the headers of a run.

    Parameters
    ----------
    forwarded : list of tuple
    effect : StartFleetRun
    last_event : int
        Last event that the caller has, 0 for none.
    now : float
    """
    headers = [(n, v) for n, v in forwarded if not (last_event and n.lower() == "last-event-id")]
    headers += [
        ("X-Deadline-Ms", str(max(1, int((effect.deadline - now) * 1000)))),
        ("X-Expect-Instance", effect.server.name),
        ("X-Request-Priority", str(min(9, max(0, effect.priority)))),
    ]
    if effect.version:
        headers.append(("X-Expect-Version", str(effect.version)))
    if last_event:
        headers.append((LAST_EVENT, str(last_event)))
    return headers


def read_deadline_s(headers):
    """Return the seconds that the caller waits, infinity if it does not say."""
    text = headers.get("X-Deadline-Ms", "")
    return int(text) / 1000.0 if text.isascii() and text.isdigit() else inf


def read_adapter_key(headers):
    """Return the `AdapterKey` of a request, None without a model."""
    text = headers.get("X-Model", "")
    if not text:
        return None
    model, _, adapter = text.partition("/")
    return AdapterKey(model, adapter)


def read_tokens(headers):
    """Return the tokens that a request may use: its prompt, shared parts included, and answer."""
    total = sum(_digits(part) for part in headers.get("X-Token-Usage", "").split(","))
    return max(total, 0)


def _digits(text):
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else 0


def read_load(headers):
    """Return the `ServerLoad` of an answer, None where there is none that can be read."""
    parts = headers.get("X-Server-Load", "").split(",")
    if len(parts) != 3:
        return None
    running, waiting, slots = (_digits(part) for part in parts)
    return ServerLoad(running, waiting, slots)
