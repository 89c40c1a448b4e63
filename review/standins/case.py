"""Entry point of a case: its record, its exit status and its time limit."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import Deployment, temporary_deployment
from .record import Record

__all__ = ["run_case"]

TIME_LIMIT_S = 100.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

Play = Callable[[Deployment, bool], Awaitable[list[str]]]


def run_case(folder: Path, play: Play, *, memory_mb: int = 300) -> None:
    """Play a case and exit with 1 if it broke its rule, 0 if not, 2 if it did not run.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.
    play : callable
        Plays the case in a deployment, with the disruption or without it; returns a
        line for each time that the rule was broken.
    memory_mb : int
        Memory limit of each relay.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    record.write("case", trouble=trouble)
    try:
        broken = asyncio.run(_play(record, play, trouble, memory_mb))
    except Exception:
        record.write("not_run", error=traceback.format_exc().replace("\n", " | "))
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        record.write("broken", what=line)
        print(line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def _play(record: Record, play: Play, trouble: bool, memory_mb: int) -> list[str]:
    with temporary_deployment(record, memory_mb) as deployment:
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                return await play(deployment, trouble)
        finally:
            await deployment.stop()
