"""Fake backend servers for tests, without sockets or clocks."""

from medlarbeam.classes.messages import (
    EngineChunk,
    EngineEnd,
    EngineFailure,
    EngineReport,
    LoadResult,
    UnloadResult,
)
from medlarbeam.classes.peer_messages import ModelCount
from medlarbeam.exceptions import ErrorKind, Failure

CHUNK_INTERVAL_S = 0.02
LOAD_S = 0.25
CHUNKS_PER_RESPONSE = 6
CHUNKS_PER_LONG_RESPONSE = 80  # if the body contains "long"; outlasts a change of owner


def make_chunks(model, body):
    """Return the chunks of the complete response of `model` to a request."""
    return [
        f"{model}:{i} "
        for i in range(CHUNKS_PER_LONG_RESPONSE if "long" in body else CHUNKS_PER_RESPONSE)
    ]


class FakeRun:
    """A run on a fake backend server."""

    __slots__ = ("chunks", "effect", "incarnation", "node", "prompt", "sent")

    def __init__(self, node, effect, incarnation, chunks):
        self.node = node
        self.effect = effect
        self.incarnation = incarnation
        self.chunks = chunks
        self.sent = 0
        self.prompt = effect.request.body


class FakeServer:
    """Model engine or plain service that records the runs and orders that reach it.

    Attributes
    ----------
    evicted_in_use : list of str
        Models that were unloaded while a run used them.
    started : list of FakeRun
        All runs that started here.
    """

    __slots__ = (
        "crash_word",
        "evicted_in_use",
        "highest_token",
        "incarnation",
        "loads",
        "resident",
        "runs",
        "server",
        "started",
        "unreachable_from",
        "up",
    )

    def __init__(self, server, crash_word="crash"):
        self.server = server
        self.crash_word = crash_word
        self.incarnation = 1
        self.up = True
        self.unreachable_from = set()
        self.resident = set()
        self.runs = {}
        self.started = []
        self.evicted_in_use = []
        self.loads = 0
        self.highest_token = 0

    def begin(self, node, effect, now):
        """Start a run; return it, or the `Failure` if the server refuses."""
        if not self.up or node in self.unreachable_from:
            return Failure(ErrorKind.SERVER_REFUSED, "connection refused")
        if effect.model and effect.model not in self.resident:
            return Failure(ErrorKind.SERVER_REFUSED, f"{effect.model} is not loaded")
        if effect.model:
            words = make_chunks(effect.model, effect.request.body)
            skipped = sum(len(w) <= len(effect.prefix) for w in list_prefixes(words))
            words = words[skipped:]
        else:
            words = [f"done {len(self.started)}"]
        run = FakeRun(node, effect, self.incarnation, words)
        self.runs[effect.run_id] = run
        self.started.append(run)
        return run

    def next_message(self, run):
        """Return the next message of a run: a chunk, its end or its failure."""
        run_id = run.effect.run_id
        if run.incarnation != self.incarnation or not self.up or run_id not in self.runs:
            return EngineFailure(run_id, Failure(ErrorKind.SERVER_LOST, "connection broke"))
        if self.crash_word in run.prompt and run.sent == 1:
            self.crash()
            return EngineFailure(run_id, Failure(ErrorKind.SERVER_LOST, "connection broke"))
        if run.sent < len(run.chunks):
            run.sent += 1
            return EngineChunk(run_id, run.sent - 1, run.chunks[run.sent - 1], run.effect.model)
        del self.runs[run_id]
        return EngineEnd(run_id, len(run.chunks), run.effect.model)

    def crash(self):
        """Restart at the same address, without adapters or runs."""
        self.incarnation += 1
        self.resident.clear()
        self.runs.clear()

    def load(self, effect):
        """Load a model; return the `LoadResult`."""
        failure = None
        if not self.up:
            failure = Failure(ErrorKind.SERVER_REFUSED, "connection refused")
        elif self.server.fencing and effect.fencing_token < self.highest_token:
            failure = Failure(ErrorKind.SERVER_REFUSED, "stale fencing token")
        elif len(self.resident) >= self.server.slots and effect.model not in self.resident:
            failure = Failure(ErrorKind.SERVER_REFUSED, "no free adapter slot")
        else:
            self.loads += 1
            self.highest_token = max(self.highest_token, effect.fencing_token)
            self.resident.add(effect.model)
        return LoadResult(self.server.name, effect.model, failure)

    def unload(self, effect):
        """Unload a model; return the `UnloadResult`."""
        failure = None
        if not self.up or (self.server.fencing and effect.fencing_token < self.highest_token):
            failure = Failure(ErrorKind.SERVER_REFUSED, "connection refused or stale fencing token")
        else:
            self.highest_token = max(self.highest_token, effect.fencing_token)
            if any(r.effect.model == effect.model for r in self.runs.values()):
                self.evicted_in_use.append(effect.model)
            self.resident.discard(effect.model)
        return UnloadResult(self.server.name, effect.model, failure)

    def report(self, requested_at):
        """Return the `EngineReport`."""
        name = self.server.name
        if not self.up:
            failure = Failure(ErrorKind.SERVER_REFUSED, "connection refused")
            return EngineReport(name, requested_at, failure=failure)
        models = sorted({r.effect.model for r in self.runs.values()})
        running = [
            ModelCount(name, m, sum(r.effect.model == m for r in self.runs.values()))
            for m in models
        ]
        return EngineReport(
            name, requested_at, str(self.incarnation), sorted(self.resident), running
        )


def list_prefixes(words):
    """Return the prefixes of the text that end after each word."""
    return ["".join(words[: i + 1]) for i in range(len(words))]
