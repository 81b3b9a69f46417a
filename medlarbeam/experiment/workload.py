"""Requests of a scenario, from its seed."""

from bisect import bisect_left
from itertools import accumulate

from medlarbeam.classes.requests import Request

__all__ = ["SizedRequest", "Workload"]


class SizedRequest(Request):
    """A request with the lengths that the fake engines need.

    Parameters
    ----------
    prompt_tokens, answer_tokens : int
    """

    __slots__ = ("answer_tokens", "prompt_tokens")

    def __init__(self, prompt_tokens, answer_tokens, *args, **options):
        super().__init__(*args, **options)
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens


class Workload:
    """Draws requests; the same seed gives the same requests under every policy.

    Parameters
    ----------
    scenario : Scenario
    rng : random.Random
    """

    __slots__ = ("order", "rng", "scenario", "weights")

    def __init__(self, scenario, rng):
        self.scenario = scenario
        self.rng = rng
        self.order = list(range(scenario.adapters))
        steps = (1.0 / (i + 1) ** scenario.zipf for i in range(scenario.adapters))
        self.weights = list(accumulate(steps))
        rng.shuffle(self.order)

    def shift(self):
        """Give the adapters a new order of popularity."""
        self.rng.shuffle(self.order)

    def draw_gap(self, traffic):
        """Return the seconds to the next arrival of a stream."""
        return self.rng.expovariate(traffic.rate)

    def draw_request(self, traffic, request_id, now):
        """Return the `SizedRequest` of an arrival at `now` (s)."""
        models = {}
        while len(models) < traffic.choices:
            models[f"a{self._draw_adapter()}@1"] = None
        prompt = self._draw_length(traffic.prompt_tokens)
        answer = self._draw_length(traffic.answer_tokens)
        return SizedRequest(
            prompt,
            answer,
            request_id,
            f"{traffic.caller}{self.rng.randrange(traffic.callers)}",
            traffic.rank,
            now + traffic.deadline_s,
            list(models),
            f"prompt of {request_id}",
            max_tokens=max(1, round(answer * traffic.ask_factor)),
            stream=True,
        )

    def _draw_adapter(self):
        place = bisect_left(self.weights, self.rng.random() * self.weights[-1])
        return self.order[min(place, len(self.order) - 1)]

    def _draw_length(self, mean):
        return max(1, round(mean * self.rng.uniform(0.5, 1.5)))
