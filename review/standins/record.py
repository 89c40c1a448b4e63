"""Record of what a case has sent, answered and run."""

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with the seconds since the start of the case.

    Parameters
    ----------
    path : Path
        File to write, which is replaced.
    """

    def __init__(self, *, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, event: str, **fields: object) -> float:
        """Write an event; return its time in seconds."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now:8.3f} {event} {text}\n")
        self.file.flush()
        return now
