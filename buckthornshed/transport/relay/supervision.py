"""Restart of tasks that an unexpected error has ended."""

import asyncio
import logging
import traceback
from collections.abc import Awaitable, Callable

from ..logs import log_event

__all__ = ["keep_running"]

RESTART_DELAY_S = 0.1


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and run it again if it ends with an error.

    One task that fails must not end the process, whose other tasks still serve
    requests.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Starts the task anew each time that it is called.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log_event(
                "task_failed",
                level=logging.ERROR,
                task=name,
                error=repr(error),
                trace=traceback.format_exc(limit=-3),
            )
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return
