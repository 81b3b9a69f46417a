"""Processor time of a running process by cause."""

import time

__all__ = ["CauseCost", "CostAccount"]

CALIBRATION_PAIRS = 20_000
IDLE = "event loop"  # cause of all that no other cause covers


class CauseCost:
    """Processor time (ns) of a cause itself, number of times it began, and of causes within it."""

    __slots__ = ("count", "nested", "own_ns")

    def __init__(self):
        self.count = 0
        self.nested = 0
        self.own_ns = 0


class CostAccount:
    """Divides the processor time of the thread among nested causes.

    The time between two readings of the clock is charged to the innermost cause that is open.

    Attributes
    ----------
    is_on : bool
        Whether costs are recorded; causes may be open when it is changed.
    causes : dict of str to CauseCost
    stack : list of str
        Open causes, the innermost last.
    inner_ns, outer_ns : float
        Time of one `enter` and `leave` that is charged to the cause itself, and to the one around.
    """

    __slots__ = ("causes", "inner_ns", "is_on", "last_ns", "outer_ns", "stack")

    def __init__(self):
        self.is_on = True
        self.inner_ns = 0.0
        self.outer_ns = 0.0
        self.reset()
        self._calibrate()
        self.is_on = False

    def reset(self):
        """Forget all costs."""
        self.causes = {IDLE: CauseCost()}
        self.stack = [IDLE]
        self.last_ns = time.thread_time_ns()

    def _calibrate(self):
        for _ in range(CALIBRATION_PAIRS):
            self.enter("calibration")
            self.leave()
        self.inner_ns = self.causes["calibration"].own_ns / CALIBRATION_PAIRS
        self.outer_ns = self.causes[IDLE].own_ns / CALIBRATION_PAIRS
        self.reset()

    def begin(self):
        """Record costs from now on."""
        self.causes = {IDLE: CauseCost()}
        self.last_ns = time.thread_time_ns()
        self.is_on = True

    def end(self):
        """Stop recording."""
        self._charge()
        self.is_on = False

    def _charge(self):
        now = time.thread_time_ns()
        self._find(self.stack[-1]).own_ns += now - self.last_ns
        self.last_ns = now

    def _find(self, cause):
        cost = self.causes.get(cause)
        if cost is None:
            cost = self.causes[cause] = CauseCost()
        return cost

    def enter(self, cause):
        """Charge what follows to `cause`, until `leave`."""
        if self.is_on:
            self._charge()
            self._find(self.stack[-1]).nested += 1
            self._find(cause).count += 1
        self.stack.append(cause)

    def leave(self):
        """End the innermost cause."""
        if self.is_on:
            self._charge()
        self.stack.pop()

    def wrap(self, cause, function):
        """Return `function` with its processor time charged to `cause`."""

        def call(*args, **options):
            self.enter(cause)
            try:
                return function(*args, **options)
            finally:
                self.leave()

        return call

    def list_costs(self):
        """Return ``{cause: [count, own processor time (ns)]}`` without that of the clock."""
        return {
            cause: [
                cost.count,
                cost.own_ns - cost.count * self.inner_ns - cost.nested * self.outer_ns,
            ]
            for cause, cost in self.causes.items()
        }
