"""Error kinds, failure values, and the HTTP response of each error kind."""

from enum import Enum

__all__ = [
    "ERROR_RESPONSES",
    "ChartError",
    "ErrorKind",
    "ErrorResponse",
    "Failure",
    "FormatError",
    "MedlarbeamError",
    "RunState",
    "SettingsError",
]


class RunState(Enum):
    """Whether a request was executed, as far as its response can tell."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class ErrorKind(Enum):
    """Every error kind that can be returned to a caller, an operator or a peer."""

    INVALID_REQUEST = "invalid_request"
    NOT_AUTHORIZED = "not_authorized"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_SERVICE = "unknown_service"
    CATALOG_UNCONFIRMED = "catalog_unconfirmed"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    DEADLINE_RUNNING = "deadline_running"
    NO_SERVER = "no_server"
    NOT_OWNER = "not_owner"
    SHUTTING_DOWN = "shutting_down"
    LOAD_FAILED = "load_failed"
    SERVER_REFUSED = "server_refused"
    SERVER_LOST = "server_lost"
    SERVER_ERROR = "server_error"
    WRONG_MODEL = "wrong_model"
    STREAM_BROKEN = "stream_broken"
    STREAM_ORIGIN_LOST = "stream_origin_lost"
    PEER_LOST = "peer_lost"
    CANCELLED = "cancelled"
    CRASH_SUSPECT = "crash_suspect"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    KEY_REUSED = "key_reused"
    DUPLICATE_UNRESOLVED = "duplicate_unresolved"
    NOTE_INVALID = "note_invalid"
    NOTE_CONFLICT = "note_conflict"
    NOT_FOUND = "not_found"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PLATFORM_UNKNOWN = "platform_unknown"
    INTERNAL = "internal"


class ErrorResponse:
    """The response to an error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    run_state : RunState
        Whether the request was executed, as far as this error kind implies.
    retryable : bool
        Whether the system itself may retry an idempotent request.
    """

    __slots__ = ("retryable", "run_state", "status")

    def __init__(self, status, run_state, retryable):
        self.status = status
        self.run_state = run_state
        self.retryable = retryable


ERROR_RESPONSES = {
    ErrorKind.INVALID_REQUEST: ErrorResponse(400, RunState.NOT_RUN, False),
    ErrorKind.NOT_AUTHORIZED: ErrorResponse(401, RunState.NOT_RUN, False),
    ErrorKind.UNKNOWN_ADAPTER: ErrorResponse(404, RunState.NOT_RUN, False),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, RunState.NOT_RUN, False),
    ErrorKind.CATALOG_UNCONFIRMED: ErrorResponse(503, RunState.NOT_RUN, False),
    ErrorKind.OVERLOADED: ErrorResponse(429, RunState.NOT_RUN, False),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, RunState.NOT_RUN, False),
    ErrorKind.DEADLINE_IN_QUEUE: ErrorResponse(504, RunState.NOT_RUN, False),
    ErrorKind.DEADLINE_RUNNING: ErrorResponse(504, RunState.MAY_HAVE_RUN, False),
    ErrorKind.NO_SERVER: ErrorResponse(503, RunState.NOT_RUN, True),
    ErrorKind.NOT_OWNER: ErrorResponse(503, RunState.NOT_RUN, True),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, RunState.NOT_RUN, True),
    ErrorKind.LOAD_FAILED: ErrorResponse(503, RunState.NOT_RUN, True),
    ErrorKind.SERVER_REFUSED: ErrorResponse(503, RunState.NOT_RUN, True),
    ErrorKind.SERVER_LOST: ErrorResponse(502, RunState.MAY_HAVE_RUN, True),
    ErrorKind.SERVER_ERROR: ErrorResponse(502, RunState.RAN, False),
    ErrorKind.WRONG_MODEL: ErrorResponse(502, RunState.MAY_HAVE_RUN, True),
    ErrorKind.STREAM_BROKEN: ErrorResponse(502, RunState.MAY_HAVE_RUN, True),
    ErrorKind.STREAM_ORIGIN_LOST: ErrorResponse(503, RunState.NOT_RUN, False),
    ErrorKind.PEER_LOST: ErrorResponse(502, RunState.MAY_HAVE_RUN, True),
    ErrorKind.CANCELLED: ErrorResponse(499, RunState.MAY_HAVE_RUN, False),
    ErrorKind.CRASH_SUSPECT: ErrorResponse(422, RunState.NOT_RUN, False),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(503, RunState.NOT_RUN, False),
    ErrorKind.KEY_REUSED: ErrorResponse(422, RunState.NOT_RUN, False),
    ErrorKind.DUPLICATE_UNRESOLVED: ErrorResponse(409, RunState.MAY_HAVE_RUN, False),
    ErrorKind.NOTE_INVALID: ErrorResponse(400, RunState.NOT_RUN, False),
    ErrorKind.NOTE_CONFLICT: ErrorResponse(409, RunState.NOT_RUN, False),
    ErrorKind.NOT_FOUND: ErrorResponse(404, RunState.NOT_RUN, False),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, RunState.NOT_RUN, False),
    ErrorKind.PLATFORM_UNKNOWN: ErrorResponse(502, RunState.MAY_HAVE_RUN, False),
    ErrorKind.INTERNAL: ErrorResponse(500, RunState.MAY_HAVE_RUN, False),
}


class Failure:
    """The error kind, reason and run state of a request that failed.

    Parameters
    ----------
    kind : ErrorKind
    reason : str
        One sentence that describes the failure in responses and logs.
    run_state : RunState or None
        Overrides the run state in `ERROR_RESPONSES` if more is known; None uses the one there.
    """

    __slots__ = ("kind", "reason", "run_state")

    def __init__(self, kind, reason, run_state=None):
        self.kind = kind
        self.reason = reason
        self.run_state = run_state if run_state is not None else ERROR_RESPONSES[kind].run_state

    def __eq__(self, other):
        return isinstance(other, Failure) and (self.kind, self.reason, self.run_state) == (
            other.kind,
            other.reason,
            other.run_state,
        )

    __hash__ = None

    def __repr__(self):
        return f"Failure({self.kind.value}, {self.reason!r}, {self.run_state.value})"


class MedlarbeamError(Exception):
    """Base class of all exceptions that this package raises."""


class FormatError(MedlarbeamError):
    """Input that cannot be decoded; the message gives the location and the reason."""


class SettingsError(MedlarbeamError):
    """One or more invalid settings; the message lists them all."""


class ChartError(MedlarbeamError):
    """An inconsistent state chart file, or an event that the chart does not declare."""
