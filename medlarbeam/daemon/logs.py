"""Log lines in JSON or text format, each with the node and its failure domain.

Log lines never contain request text, keys or payment data: events have only names, ids and reasons.
"""

import logging
from abc import ABC, abstractmethod

from orjson import OPT_NON_STR_KEYS, dumps

from medlarbeam.classes.effects import LogEvent
from medlarbeam.daemon.effect_handlers import EffectHandler

__all__ = ["EventLogger", "JsonFormatter", "TextFormatter", "configure_logging"]

log = logging.getLogger("medlarbeam.events")

LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class NodeLogFormatter(logging.Formatter, ABC):
    """Formatter that adds the node and its failure domain to each line.

    Parameters
    ----------
    node, failure_domain : str
    """

    __slots__ = ("failure_domain", "node")

    def __init__(self, node, failure_domain):
        super().__init__()
        self.node = node
        self.failure_domain = failure_domain

    def format(self, record):
        """Return the formatted line of a log record."""
        fields = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "node": self.node,
            "failure_domain": self.failure_domain,
            "event": getattr(record, "event", record.name),
            "message": record.getMessage(),
        }
        request_id = getattr(record, "request_id", "")
        if request_id:
            fields["request_id"] = request_id
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return self.format_fields(fields)

    @abstractmethod
    def format_fields(self, fields):
        """Return the text of one line for a dictionary of fields."""


class JsonFormatter(NodeLogFormatter):
    """Writes each line as one JSON object."""

    __slots__ = ()

    def format_fields(self, fields):
        """Return the JSON text of `fields`."""
        return dumps(fields, default=str, option=OPT_NON_STR_KEYS).decode("utf-8")


class TextFormatter(NodeLogFormatter):
    """Writes each line as ``name=value`` pairs, for reading on a terminal."""

    __slots__ = ()

    def format_fields(self, fields):
        """Return the fields in one line, with line breaks escaped."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        return text.replace("\r", "\\r").replace("\n", "\\n")


FORMATTERS = {"json": JsonFormatter, "text": TextFormatter}


def omit_traceback(record):
    """Replace the traceback of a log record by the type of its exception; a logging filter."""
    if record.exc_info:
        record.msg, record.args = f"{record.getMessage()}: {record.exc_info[0].__name__}", ()
        record.exc_info = None
    return True


def configure_logging(settings, stream):
    """Write all log lines to `stream` with the format and level of the settings.

    Tracebacks of the HTTP library are omitted: they quote the offending line of a malformed
    request, which may contain a key.
    """
    logging.getLogger("aiohttp.server").addFilter(omit_traceback)
    handler = logging.StreamHandler(stream)
    formatter = FORMATTERS[settings.log_format]
    handler.setFormatter(formatter(settings.node.name, settings.node.failure_domain))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[handler], force=True)


class EventLogger(EffectHandler):
    """Writes and counts the node's `LogEvent` effects.

    Parameters
    ----------
    metrics : Metrics
    """

    __slots__ = ("metrics",)

    def __init__(self, metrics):
        self.metrics = metrics

    def effects(self):
        """Return the handler of `LogEvent`."""
        return {LogEvent: self.write}

    def write(self, event):
        """Log an event and count it."""
        self.metrics.count_event(event.name)
        extra = {"event": event.name, "request_id": event.request_id}
        log.log(LEVELS[event.level], "%s", event.detail, extra=extra)
