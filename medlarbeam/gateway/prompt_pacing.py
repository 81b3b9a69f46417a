"""Pacing of prompts, so that an engine does not pause its running streams to read them."""

from collections import deque
from math import exp, inf

from medlarbeam.algorithms.pause_feedback import PauseFeedback
from medlarbeam.algorithms.prefill_estimator import PrefillEstimator
from medlarbeam.node.component import Component

__all__ = ["PromptPacing"]

# Share of the longest pause in which an engine may read prompts; its tokens need the rest.
READING_SHARE = 0.85
# Factor of the limit while few streams pause for too long, so that no prompt waits without need,
# and when many do. Streams that pause for another reason must not keep prompts from engines that
# can read them.
MAX_LIMIT_FACTOR = 4.0
MIN_LIMIT_FACTOR = 1.0
DEFAULT_WINDOW_S = 0.3  # if no route states the longest pause
# Less urgent requests leave a part of the limit to the others.
SHARE_BY_PRIORITY = (1.0, 0.85, 0.7)
# A longer prompt than this share of the limit waits only until so much of the limit is free.
MAX_NEEDED_SHARE = 0.5
RECHECK_S = 0.03  # while the prompts of other nodes fill the limit
REMOTE_MAX_AGE_S = 2.5  # a holder repeats its report every 2 s
REMOTE_MEAN_S = 1.0  # time constant of the mean of the other nodes' prompts
CLEANUP_INTERVAL_S = 30.0


class _Send:
    __slots__ = ("at", "tokens")

    def __init__(self, at, tokens):
        self.at = at
        self.tokens = tokens


class EnginePrompts:
    """Prompts that one engine was given lately.

    Attributes
    ----------
    sends : deque
        Prompts of this node within the last window, oldest first.
    remote_tokens, remote_mean : float
        Tokens of the other nodes within a window: last report, and moving average over time.
    remote_at : float
        Time (s) of the last report.
    """

    __slots__ = ("remote_at", "remote_mean", "remote_tokens", "sends")

    def __init__(self):
        self.sends = deque()
        self.remote_tokens = 0.0
        self.remote_mean = 0.0
        self.remote_at = -inf

    def count_own(self, window_s, now):
        """Return the tokens of this node within the last `window_s`."""
        while self.sends and self.sends[0].at <= now - window_s:
            self.sends.popleft()
        return sum(send.tokens for send in self.sends)

    def estimate_remote(self, window_s, now):
        """Return the estimated tokens of the other nodes within the last `window_s`.

        The last report covers a shrinking part of the window, so the mean is the lower bound.
        """
        age_s = now - self.remote_at
        if age_s > REMOTE_MAX_AGE_S:
            return 0.0
        known_share = max(0.0, 1.0 - age_s / window_s)
        return max(self.remote_mean, known_share * self.remote_tokens)

    def record_remote(self, tokens, now):
        """Record that the other nodes gave the engine `tokens` within the last window."""
        age_s = now - self.remote_at
        if age_s > REMOTE_MAX_AGE_S:
            self.remote_mean = tokens
        else:
            weight = 1.0 - exp(-age_s / REMOTE_MEAN_S)
            self.remote_mean += weight * (self.remote_tokens - self.remote_mean)
        self.remote_tokens = tokens
        self.remote_at = now


class PromptPacing(Component):
    """Delays requests until an engine can read their prompts without pausing its streams.

    An engine reads prompts between the tokens of its running streams, so prompts that arrive
    together become one pause for all of them. The tokens that an engine is given within the longest
    pause that a stream may have are therefore limited. The limit follows from the time in which the
    engines of a service read a token. The prompts of all nodes count: each node reports its own to
    the holder of the engine's order right, and the holder reports the sum.

    Attributes
    ----------
    engines : dict of str to EnginePrompts
    estimators : dict of str to PrefillEstimator
        By service.
    feedback : dict of str to PauseFeedback
        Correction of the limit, by service.
    window_s : float
        Shortest pause that the routes in force allow.
    """

    __slots__ = ("cleanup_at", "engines", "estimators", "feedback", "window_s", "window_version")

    def __init__(self, node):
        super().__init__(node)
        self.engines = {}
        self.estimators = {}
        self.feedback = {}
        self.window_s = DEFAULT_WINDOW_S
        self.window_version = 0
        self.cleanup_at = 0.0

    def _find_engine(self, server):
        engine = self.engines.get(server)
        if engine is None:
            engine = self.engines[server] = EnginePrompts()
        return engine

    def _find_estimator(self, service):
        estimator = self.estimators.get(service)
        if estimator is None:
            estimator = self.estimators[service] = PrefillEstimator()
        return estimator

    def _find_feedback(self, service):
        feedback = self.feedback.get(service)
        if feedback is None:
            feedback = self.feedback[service] = PauseFeedback(MIN_LIMIT_FACTOR, MAX_LIMIT_FACTOR)
        return feedback

    def find_window(self):
        """Return the shortest pause (s) that the routes in force allow."""
        config = self.node.fleet.config
        if config is not None and config.version != self.window_version:
            pauses = [route.gap_goal_s for route in config.routes if route.gap_goal_s > 0.0]
            self.window_s = min(pauses, default=DEFAULT_WINDOW_S)
            self.window_version = config.version
        return self.window_s

    def find_wait(self, server, relay, now):
        """Return the time (s) until `server` can read the prompt of `relay`, 0 if it can now."""
        tokens = relay.request.prompt_tokens
        if tokens <= 0 or relay.route.gap_goal_s <= 0.0:
            return 0.0
        engine = self._find_engine(server)
        window_s = self.find_window()
        own = engine.count_own(window_s, now)
        remote = engine.estimate_remote(window_s, now)
        limit = self.find_limit(relay.service) * self._find_share(relay)
        excess = own + remote + min(tokens, MAX_NEEDED_SHARE * limit) - limit
        if excess <= 0.0:
            return 0.0
        for send in engine.sends:
            excess -= send.tokens
            if excess <= 0.0:
                return send.at + window_s - now
        return RECHECK_S

    def _find_share(self, relay):
        priority = min(max(0, relay.route.priority), len(SHARE_BY_PRIORITY) - 1)
        return SHARE_BY_PRIORITY[priority]

    def record_send(self, server, relay, now):
        """Record that `server` was given the prompt of `relay`."""
        tokens = min(relay.request.prompt_tokens, self.find_limit(relay.service))
        if tokens > 0:
            self._find_engine(server).sends.append(_Send(now, int(tokens)))

    def record_stream(self, relay, timing):
        """Adjust the estimates to the timing of a stream that has ended, None for no stream."""
        tokens = relay.request.prompt_tokens
        if timing is not None and timing.first_event_s is not None and tokens > 0:
            estimator = self._find_estimator(relay.service)
            estimator.record_first_event(tokens, timing.first_event_s)
            allowed_s = relay.route.gap_goal_s
            if allowed_s > 0.0:
                feedback = self._find_feedback(relay.service)
                feedback.record_stream(timing.longest_pause_s, allowed_s)

    def count_own(self, server, now):
        """Return the prompt tokens that this node gave `server` within the last window."""
        engine = self.engines.get(server)
        return engine.count_own(self.find_window(), now) if engine is not None else 0

    def find_limit(self, service):
        """Return the prompt tokens that an engine of `service` may be given in one window."""
        reading_s = READING_SHARE * self.find_window() * self._find_feedback(service).factor
        return reading_s / self._find_estimator(service).estimate_s_per_token()

    def record_report(self, server, tokens, now):
        """Record the prompt tokens of all nodes within the last window, as the holder reports."""
        engine = self._find_engine(server)
        engine.record_remote(max(0.0, tokens - engine.count_own(self.find_window(), now)), now)

    def tick(self, now, out):
        """Delete the records of removed backend servers."""
        self.cleanup_at = now + CLEANUP_INTERVAL_S
        for name in [name for name in self.engines if name not in self.node.fleet.servers]:
            del self.engines[name]

    def next_deadline(self):
        """Return the time (s) of the next cleanup."""
        return self.cleanup_at if self.engines else inf
