"""Structured logs: one line for each event.

The formatter of python-json-logger renders JSON; its subclass here renders the
same record as key=value pairs.
"""

import json
import logging
import re
import sys
from collections.abc import Callable
from typing import Any, Literal

from pythonjsonlogger.json import JsonFormatter

__all__ = ["KeyValueFormatter", "configure_logging", "log_event"]

PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")
FIELDS = "%(asctime)s %(levelname)s"
LIBRARY_FIELDS = f"{FIELDS} %(name)s %(message)s"
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}
LIBRARY_EVENT = {"event": "library_message"}


class KeyValueFormatter(JsonFormatter):
    """Renders a record as ``key=value`` pairs; values are quoted where needed."""

    def jsonify_log_record(self, log_data: Any) -> str:
        """Return the line of a record."""
        return " ".join(f"{key}={_quoted(value)}" for key, value in log_data.items())


FORMATTERS: dict[str, type[JsonFormatter]] = {
    "keyvalue": KeyValueFormatter,
    "json": JsonFormatter,
}


def _standard_error() -> logging.Handler:
    return logging.StreamHandler(sys.stderr)


def configure_logging(
    *,
    form: Literal["keyvalue", "json"] = "keyvalue",
    level: str = "INFO",
    make_handler: Callable[[], logging.Handler] = _standard_error,
) -> None:
    """Send the records of the package, and warnings of libraries, to handlers.

    They write to standard error unless another maker of handlers is given.
    """
    formatter = FORMATTERS[form]
    logger = logging.getLogger("buckthornshed")
    handler = make_handler()
    handler.setFormatter(formatter(FIELDS, rename_fields=RENAMED))
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    libraries = formatter(
        LIBRARY_FIELDS, rename_fields=RENAMED, static_fields=LIBRARY_EVENT
    )
    handler = make_handler()
    handler.setFormatter(libraries)
    logging.getLogger().handlers = [handler]
    logging.getLogger().setLevel(logging.WARNING)


def log_event(event: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    # As a mapping: names passed as `extra` must not be those of a log record.
    logging.getLogger("buckthornshed").log(level, {"event": event, **fields})


def _quoted(value: object) -> str:
    text = str(value)
    return text if PLAIN.fullmatch(text) else json.dumps(text, ensure_ascii=False)
