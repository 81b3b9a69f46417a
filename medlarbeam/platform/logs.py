"""Structured log lines on standard output."""

import logging
import sys

from medlarbeam.classes.effects import LogEvent
from medlarbeam.daemon.logs import LEVELS, JsonFormatter
from medlarbeam.daemon.ports import Port

__all__ = ["EventLines", "set_up_lines"]

log = logging.getLogger("medlarbeam.events")


def set_up_lines(settings):
    """Write all log lines to standard output as JSON, with the node and its failure domain."""
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(settings.name, settings.failure_domain))
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


class EventLines(Port):
    """Writes the gateway's `LogEvent` effects."""

    __slots__ = ()

    def effects(self):
        """Return the handler of `LogEvent`."""
        return {LogEvent: self.write}

    def write(self, event):
        """Write the line of an event."""
        extra = {"event": event.name, "request_id": event.request_id}
        log.log(LEVELS[event.level], "%s", event.detail, extra=extra)
