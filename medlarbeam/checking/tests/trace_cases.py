"""Traces that once broke a promise, as the checker wrote them."""

__all__ = ["TRACE_CASES", "TraceCase"]


class TraceCase:
    """A trace from the initial state.

    Parameters
    ----------
    name : str
        Failure that the trace guards against.
    nodes, servers : int
    events : list of str
    """

    __slots__ = ("events", "name", "nodes", "servers")

    def __init__(self, name, nodes, servers, events):
        self.name = name
        self.nodes = nodes
        self.servers = servers
        self.events = events


TRACE_CASES = [
    TraceCase(
        "right-that-was-taken-over-is-used-after-the-store-is-back",
        2,
        1,
        [
            "LoseStore n2",
            "Wait",
            "Wait",
            "Wait",
            "Wait",
            "FindStore n2",
            "Renew n2",
            "Renew n2",
        ],
    ),
    TraceCase(
        "configuration-after-set-back-is-taken-for-an-old-one",
        2,
        1,
        [
            "SaveCopy",
            "Configure",
            "Wait",
            "SetBack",
            "Configure",
            "Wait",
        ],
    ),
    TraceCase(
        "late-answer-to-a-renewal-counts-from-its-arrival",
        2,
        1,
        [
            "RenewAnswerLate n2",
            "LoseStore n2",
            "Lapse",
            "Wait",
            "Answer n2",
            "Wait",
            "Wait",
            "Wait",
        ],
    ),
    TraceCase(
        "acquisition-is-carried-out-after-the-holder-is-back",
        2,
        1,
        [
            "LoseStore n2",
            "Wait",
            "Wait",
            "Wait",
            "FindStore n2",
            "AcquireLate n1",
            "Wait",
            "CarryOut 0",
            "Wait",
        ],
    ),
    TraceCase(
        "registration-of-an-earlier-process-counts",
        2,
        1,
        [
            "Restart n2",
            "RegisterLate n2",
            "Restart n2",
            "Watch n2",
            "CarryOut 0",
            "Watch n2",
            "LoseWatch n2",
            "Wait",
            "Wait",
            "Wait",
            "Wait",
            "Wait",
            "Wait",
        ],
    ),
    # Found by the search in the code before 58a8efe, which keeps the promise.
    TraceCase(
        "right-is-used-without-a-watch-while-the-lease-is-renewed",
        2,
        1,
        [
            "Restart n2",
            "RegisterLate n2",
            "Restart n2",
            "Watch n2",
            "LoseWatch n2",
            "CarryOut 0",
            "Wait",
            "Wait",
            "Wait",
            "Wait",
            "Wait",
        ],
    ),
]
