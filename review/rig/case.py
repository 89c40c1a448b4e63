"""Frame of a case: runs it, writes its record and returns its exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import Fleet

HELD_STATUS = 0
BROKEN_STATUS = 1
NOT_RUN_STATUS = 2
MAX_CASE_S = 110.0

Check = Callable[[Fleet, bool], Awaitable[list[str]]]


def run_case(folder: Path, make_fleet: Callable[[], Fleet], check: Check) -> int:
    """Run a case and return its exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets the record.
    make_fleet : callable
        Returns the deployment.
    check : callable
        Plays the case, with the disruption if its second argument is true. Returns
        how the rule was broken, nothing if it held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    return asyncio.run(_run(folder, make_fleet(), check, trouble))


async def _run(folder: Path, fleet: Fleet, check: Check, trouble: bool) -> int:
    status = NOT_RUN_STATUS
    fleet.note(f"disruption: {'yes' if trouble else 'no'}")
    try:
        async with asyncio.timeout(MAX_CASE_S), fleet:
            broken = await check(fleet, trouble)
            for line in broken:
                fleet.note(f"BROKEN {line}")
            status = BROKEN_STATUS if broken else HELD_STATUS
    except Exception:
        fleet.note("the case could not run:\n" + traceback.format_exc())
    fleet.note(f"exit status {status}")
    (folder / "record.txt").write_text("\n".join(fleet.log) + "\n")
    if "KEEP_LOGS" in os.environ:
        fleet.keep_logs(Path(os.environ["KEEP_LOGS"]))
    fleet.remove_files()
    print(f"{folder.name}: exit status {status}", file=sys.stderr)
    return status
