"""Structured logs: one line for each event.

The formatter of python-json-logger renders JSON; its subclass here renders the
same record as key=value pairs.
"""

import json
import logging
import re
import sys
from typing import Any, Literal

from pythonjsonlogger.json import JsonFormatter

__all__ = ["KeyValueFormatter", "configure_logging", "log_event"]

PLAIN = re.compile(r"[A-Za-z0-9_.:/@+-]+")
FIELDS = "%(asctime)s %(levelname)s"
RENAMED = {"asctime": "time", "levelname": "level"}


class KeyValueFormatter(JsonFormatter):
    """Renders a record as ``key=value`` pairs; values are quoted where needed."""

    def jsonify_log_record(self, log_data: Any) -> str:
        """Return the line of a record."""
        return " ".join(f"{key}={_quoted(value)}" for key, value in log_data.items())


FORMATTERS: dict[str, type[JsonFormatter]] = {
    "keyvalue": KeyValueFormatter,
    "json": JsonFormatter,
}


def configure_logging(
    *, form: Literal["keyvalue", "json"] = "keyvalue", level: str = "INFO"
) -> None:
    """Send the records of the package to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS[form](FIELDS, rename_fields=RENAMED))
    logger = logging.getLogger("buckthornshed")
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False


def log_event(event: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    # As a mapping: names passed as `extra` must not be those of a log record.
    logging.getLogger("buckthornshed").log(level, {"event": event, **fields})


def _quoted(value: object) -> str:
    text = str(value)
    return text if PLAIN.fullmatch(text) else json.dumps(text, ensure_ascii=False)
