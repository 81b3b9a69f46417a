"""Structured logging on standard output."""

import logging

from medlarbeam.classes.effects import LogEvent
from medlarbeam.daemon.effect_handlers import EffectHandler
from medlarbeam.daemon.log_handler import NonBlockingLogHandler
from medlarbeam.daemon.logs import LEVELS, JsonFormatter

__all__ = ["EventLogger", "configure_logging"]

log = logging.getLogger("medlarbeam.events")


STANDARD_OUTPUT = 1  # file descriptor


def configure_logging(settings, loop):
    """Configure logging to write JSON lines to standard output; return the `NonBlockingLogHandler`.

    Each line contains the name of the node and its failure domain. No line contains the caller,
    thread or process that a log record has by default; finding them out took a fifth of its time.
    """
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    logging._srcfile = None  # as the logging HOWTO of Python has it, section "Optimization"
    handler = NonBlockingLogHandler(STANDARD_OUTPUT, loop.time, loop.call_later)
    handler.setFormatter(JsonFormatter(settings.name, settings.failure_domain))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    return handler


class EventLogger(EffectHandler):
    """Logs and counts the gateway's `LogEvent` effects.

    Parameters
    ----------
    metrics : GatewayMetrics
    """

    __slots__ = ("metrics",)

    def __init__(self, metrics):
        self.metrics = metrics

    def effects(self):
        """Return the handler of `LogEvent`."""
        return {LogEvent: self.write}

    def write(self, event):
        """Count an event and write its log line."""
        self.metrics.count_event(event.name)
        extra = {"event": event.name, "request_id": event.request_id}
        log.log(LEVELS[event.level], "%s", event.detail, extra=extra)
