"""Structured logging with one line for each event.

The formatter of python-json-logger renders JSON; `KeyValueFormatter` renders the same
record as key=value pairs.
"""

import json
import logging
import re
import sys
from collections.abc import Callable
from typing import Any, Literal

from pythonjsonlogger.json import JsonFormatter

__all__ = ["KeyValueFormatter", "configure_logging", "log_event"]

UNQUOTED = re.compile(r"[A-Za-z0-9_.:/@+-]+")
RECORD_FORMAT = "%(asctime)s %(levelname)s"
LIBRARY_RECORD_FORMAT = f"{RECORD_FORMAT} %(name)s %(message)s"
FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
LIBRARY_EVENT = {"event": "library_message"}


class KeyValueFormatter(JsonFormatter):
    """Formatter that renders a record as ``key=value`` pairs, quoted where needed."""

    def jsonify_log_record(self, log_data: Any) -> str:
        """Return the line for a record."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


FORMATTERS: dict[str, type[JsonFormatter]] = {
    "keyvalue": KeyValueFormatter,
    "json": JsonFormatter,
}


def _make_stderr_handler() -> logging.Handler:
    return logging.StreamHandler(sys.stderr)


def configure_logging(
    *,
    log_format: Literal["keyvalue", "json"] = "keyvalue",
    level: str = "INFO",
    make_handler: Callable[[], logging.Handler] = _make_stderr_handler,
) -> None:
    """Configure handlers for the events of the package and warnings of libraries.

    The handlers write to standard error unless ``make_handler`` returns others.
    """
    formatter = FORMATTERS[log_format]
    logger = logging.getLogger("buckthornshed")
    handler = make_handler()
    handler.setFormatter(formatter(RECORD_FORMAT, rename_fields=FIELD_NAMES))
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    library_formatter = formatter(
        LIBRARY_RECORD_FORMAT, rename_fields=FIELD_NAMES, static_fields=LIBRARY_EVENT
    )
    handler = make_handler()
    handler.setFormatter(library_formatter)
    logging.getLogger().handlers = [handler]
    logging.getLogger().setLevel(logging.WARNING)


def log_event(event: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    # The fields are passed as a mapping because `extra` rejects names of attributes
    # of log records.
    logging.getLogger("buckthornshed").log(level, {"event": event, **fields})


def _quote(value: object) -> str:
    text = str(value)
    if UNQUOTED.fullmatch(text):
        return text
    # What does not print, such as other line ends, is escaped, and what is no text.
    text = text.encode("utf-8", "backslashreplace").decode()
    return json.dumps(text, ensure_ascii=not text.isprintable())
