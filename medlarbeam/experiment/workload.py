"""Seeded generation of the requests of a scenario."""

from bisect import bisect_left
from itertools import accumulate

from medlarbeam.classes.requests import Request

__all__ = ["SizedRequest", "Workload"]


class SizedRequest(Request):
    """A request with the token counts that the simulated engines need.

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
    """Generates requests; the same seed gives the same requests under every policy.

    Parameters
    ----------
    scenario : Scenario
    rng : random.Random
    """

    __slots__ = ("cumulative_weights", "popularity_order", "rng", "scenario")

    def __init__(self, scenario, rng):
        self.scenario = scenario
        self.rng = rng
        self.popularity_order = list(range(scenario.adapters))
        weights = (1.0 / (i + 1) ** scenario.zipf for i in range(scenario.adapters))
        self.cumulative_weights = list(accumulate(weights))
        rng.shuffle(self.popularity_order)

    def shift_popularity(self):
        """Randomly reassign the popularity ranks of the adapters."""
        self.rng.shuffle(self.popularity_order)

    def draw_interarrival_s(self, traffic):
        """Return the time (s) until the next arrival of a stream."""
        return self.rng.expovariate(traffic.rate)

    def draw_request(self, traffic, request_id, now):
        """Return a random `SizedRequest` that arrives at `now` (s)."""
        models = {}
        while len(models) < traffic.choices:
            models[f"a{self._draw_adapter()}@1"] = None
        prompt = self._draw_length(traffic.prompt_tokens)
        completion_tokens = self._draw_length(traffic.answer_tokens)
        return SizedRequest(
            prompt,
            completion_tokens,
            request_id,
            f"{traffic.caller}{self.rng.randrange(traffic.callers)}",
            traffic.rank,
            now + traffic.deadline_s,
            list(models),
            f"prompt of {request_id}",
            max_tokens=max(1, round(completion_tokens * traffic.ask_factor)),
            stream=True,
        )

    def _draw_adapter(self):
        rank_index = bisect_left(
            self.cumulative_weights, self.rng.random() * self.cumulative_weights[-1]
        )
        return self.popularity_order[min(rank_index, len(self.popularity_order) - 1)]

    def _draw_length(self, mean):
        return max(1, round(mean * self.rng.uniform(0.5, 1.5)))
