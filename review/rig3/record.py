"""The record of a case: what was sent, answered and run, with times."""

import time
from pathlib import Path
from typing import TextIO


class Record:
    """Writes one line for each event to `record.txt` in the folder of a case.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, *, folder: Path) -> None:
        self.file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.began_at

    def note(self, event: str, **fields: object) -> None:
        """Write an event."""
        parts = [f"{self.now:9.4f} {event}"]
        parts += [f"{name}={value}" for name, value in fields.items()]
        self.file.write(" ".join(parts) + "\n")

    def say(self, event: str, **fields: object) -> None:
        """Write an event, and show it."""
        self.note(event, **fields)
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now:8.3f} {event} {shown}", flush=True)

    def close(self) -> None:
        """Close the file."""
        self.file.close()
