import asyncio
import io
import json
import logging
import math
import os
import signal
import threading

import pytest
from daemon_support import RecordingDriver, make_settings, run

from medlarbeam.classes.effects import CancelOnServer, Exit, LogEvent
from medlarbeam.classes.messages import CallerDisconnected, Shutdown
from medlarbeam.daemon.effect_handlers import EffectHandler
from medlarbeam.daemon.http_server import HttpServer
from medlarbeam.daemon.logs import EventLogger, configure_logging
from medlarbeam.daemon.main import ShellDependencies, run_daemon
from medlarbeam.daemon.metrics import Metrics
from medlarbeam.daemon.shell import EFFECT_TYPES, Shell
from medlarbeam.exceptions import SettingsError


class ScriptedNode:
    """Returns the effects of `script` for each message or tick, and records the calls."""

    __slots__ = ("calls", "deadline", "is_inside", "script")

    def __init__(self, script=None):
        self.script = script or {}
        self.calls = []
        self.deadline = math.inf
        self.is_inside = False

    def handle(self, message, now):
        assert not self.is_inside
        self.calls.append(message)
        return self.script.get(type(message), lambda m: [])(message)

    def tick(self, now):
        assert now >= self.deadline or math.isinf(self.deadline)
        self.calls.append("tick")
        self.deadline = math.inf
        return self.script.get("tick", lambda: [])()

    def next_deadline(self):
        return self.deadline


class PastNode(ScriptedNode):
    """Always has a deadline in the past, as after a tick that raised an exception."""

    __slots__ = ()

    def next_deadline(self):
        return 0.0


class RecordingHandler(EffectHandler):
    """Handles every effect except Exit; `on_effect` is called with each one."""

    __slots__ = ("handled_effects", "on_effect")

    def __init__(self, on_effect=None):
        self.handled_effects = []
        self.on_effect = on_effect

    def effects(self):
        return {effect_type: self.handle_effect for effect_type in EFFECT_TYPES - {Exit}}

    def handle_effect(self, effect):
        self.handled_effects.append(effect)
        if self.on_effect is not None:
            self.on_effect(effect)


def fail(*arguments):
    raise RuntimeError("injected")


def test_message_during_effects_is_queued_and_the_node_is_not_reentered():
    """Guards against a node that handles a message before the effects of the last are done."""

    async def check():
        node = ScriptedNode()
        shell = Shell(node)

        def on_effect(effect):
            node.is_inside = True
            shell.deliver(CallerDisconnected("from-effect"))
            node.is_inside = False

        effect_handler = RecordingHandler(lambda e: on_effect(e) if e.run_id == "1" else None)
        node.script[Shutdown] = lambda m: [CancelOnServer("1"), CancelOnServer("2")]
        shell.attach(effect_handler)
        shell.deliver(Shutdown())
        assert [e.run_id for e in effect_handler.handled_effects] == ["1", "2"]
        assert node.calls == [Shutdown(), CallerDisconnected("from-effect")]

    run(check())


FAILURES = [
    (
        "failing-effect-skips-the-next",
        lambda m: [CancelOnServer("1"), CancelOnServer("2")],
        fail,
        2,
    ),
    ("failing-node-stops-the-shell", fail, None, 0),
]


@pytest.mark.parametrize(
    "script, on_effect, handled_effects", [f[1:] for f in FAILURES], ids=[f[0] for f in FAILURES]
)
def test_failure_does_not_stop_the_shell(script, on_effect, handled_effects):
    """Guards against an exception in the node or in one effect that stops all later work."""

    async def check():
        node = ScriptedNode({Shutdown: script})
        shell = Shell(node)
        effect_handler = RecordingHandler(on_effect)
        shell.attach(effect_handler)
        shell.deliver(Shutdown())
        shell.deliver(CallerDisconnected("later"))
        assert len(effect_handler.handled_effects) == handled_effects
        assert node.calls[-1] == CallerDisconnected("later")

    run(check())


def test_timer_follows_the_deadline_and_no_tick_is_early():
    """Guards against a tick before the deadline, and one missed after the deadline moved."""

    async def check():
        node = ScriptedNode()
        shell = Shell(node)
        ticked = asyncio.Event()
        node.script["tick"] = lambda: ticked.set() or []
        node.deadline = shell.read_clock() + 3600.0
        shell.deliver(CallerDisconnected("far"))
        first_timer = shell.tick_timer
        node.deadline = shell.read_clock() + 0.01
        shell.deliver(CallerDisconnected("near"))
        assert first_timer.cancelled() and shell.tick_timer.when() == node.deadline
        await ticked.wait()
        assert node.calls[-1] == "tick" and shell.tick_timer is None

    run(check())


@pytest.mark.parametrize(
    "script, shortest_s",
    [(lambda: [], 0.0005), (fail, 0.5)],
    ids=["past-deadline-spins", "failing-tick-spins"],
)
def test_past_deadline_does_not_starve_the_sockets(script, shortest_s):
    """Guards against a loop that ticks without pause, as the deadline stays in the past."""

    async def check():
        shell = Shell(PastNode({"tick": script}))
        before = shell.read_clock()
        shell.run_tick()
        assert shell.tick_timer.when() - before > shortest_s
        shell.tick_timer.cancel()

    run(check())


def test_effect_without_a_handler_is_rejected_at_start():
    """Guards against an effect that is dropped at run time because it has no handler."""

    async def check():
        shell = Shell(ScriptedNode())
        shell.attach(EventLogger(Metrics()))
        with pytest.raises(SettingsError) as caught:
            await shell.start()
        assert "CancelOnServer" in str(caught.value) and "LogEvent" not in str(caught.value)

    run(check())


def test_sigterm_ends_the_process_with_status_0_and_without_threads():
    """Guards against a signal that kills the process before the node has shut down."""

    async def check():
        node = ScriptedNode({Shutdown: lambda m: [LogEvent("stopped"), Exit()]})
        node.script["tick"] = lambda: os.kill(os.getpid(), signal.SIGTERM) or []
        settings = make_settings()
        parts = ShellDependencies(
            lambda s, rng: node, lambda shell, s: RecordingHandler(), None, None
        )
        assert await run_daemon(settings, parts) == 0
        assert node.calls == ["tick", Shutdown()]
        assert threading.active_count() == 1

    run(check())


@pytest.fixture
def log_output():
    """Redirect the log lines of a test to a buffer."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    output = io.StringIO()
    yield output
    root.handlers[:] = handlers
    root.setLevel(level)


LINES = [
    ("json", "request_id", lambda line: json.loads(line)["request_id"] == "q1"),
    ("json", "node", lambda line: json.loads(line)["node"] == "n1"),
    ("json", "failure-domain", lambda line: json.loads(line)["failure_domain"] == "d1"),
    ("json", "event", lambda line: json.loads(line)["event"] == "refused"),
    ("text", "request_id", lambda line: " request_id=q1" in line),
    ("text", "line-break-forges-a-line", lambda line: line.count("\n") == 1),
]


@pytest.mark.parametrize(
    "log_format, check", [(x[0], x[2]) for x in LINES], ids=[f"{x[0]}-{x[1]}" for x in LINES]
)
def test_log_line_has_node_event_and_request(log_format, check, log_output):
    """Guards against a log line that lacks a field, or text that forges another line."""
    metrics = Metrics()
    configure_logging(make_settings(log_format=log_format), log_output)
    EventLogger(metrics).write(LogEvent("refused", "why\nforged", "q1", "warning"))
    assert check(log_output.getvalue())
    page, _ = metrics.render(0, 1, 2.0, [])
    assert b'medlarbeam_events_total{event="refused"} 1' in page


def test_log_line_of_a_malformed_request_does_not_quote_it(log_output):
    """Guards against request data, which may hold secrets, in the log lines of the library."""

    async def check():
        settings = make_settings(log_level="debug")
        configure_logging(settings, log_output)
        server = HttpServer(RecordingDriver(), settings, Metrics())
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", settings.http_listen.port)
        writer.write(b"POST / HTTP/1.1\r\nIdempotency Key: planted\r\n\r\n")
        assert b"400" in await reader.readline()
        writer.close()
        await server.stop()
        assert "BadHttpMessage" in log_output.getvalue()
        assert "planted" not in log_output.getvalue()

    run(check())


def test_address_in_use_is_reported_with_the_address():
    """Guards against a traceback, or a daemon that runs without a listening socket."""

    async def check():
        settings = make_settings()
        blocker = await asyncio.start_server(fail, "127.0.0.1", settings.http_listen.port)
        parts = ShellDependencies(
            lambda s, rng: ScriptedNode(), lambda shell, s: RecordingHandler(), None, None
        )
        with pytest.raises(SettingsError, match="cannot listen on 127.0.0.1"):
            await run_daemon(settings, parts)
        blocker.close()

    run(check())
