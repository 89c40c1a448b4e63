"""Detection of the end of the target beside a relay while it runs calls.

When a process ends, all its connections close at one moment and new ones are refused.
A target that resets connections or loses answers still accepts new ones.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ....coordination.relay.limiter.concurrency_limiter import LimiterCall
from ....protocol.relay_messages import CallMessage, RefusalMessage, RefusalReason
from ..target.target_pool import TargetPool

__all__ = ["CrashDetector"]

GATHER_S = 0.005
"""Time in which the other connections of a target that has ended are closed."""
MAX_CHECK_S = 0.1
"""Longest time for which refusals wait for a connection that is tried."""
CANCELLED_RUN_S = 1.0
"""Time for which a target may go on with a run that was cancelled."""
MAX_CANCELLED_RUNS = 32


class CancelledRun(NamedTuple):
    """A run that was cancelled at a time, in seconds."""

    message: CallMessage
    cancelled_at: float


class LostCall(NamedTuple):
    """A call whose connection broke, and the refusal for its caller."""

    call: LimiterCall
    refusal: RefusalMessage


class CrashDetector:
    """Holds the refusals of broken calls until it is known whether the target ended.

    Parameters
    ----------
    pool : TargetPool
        Connections to the target.
    clock : callable
        Returns seconds of the monotonic clock.
    is_end_planned : callable
        Returns whether the target is leaving, so that its end is no crash.
    on_crash : callable
        Called with the calls that the target ran when it ended, the latest first.
    deliver : callable
        Called with each call and its refusal.

    Attributes
    ----------
    lost : list of LostCall
        Calls without a refusal yet.
    """

    def __init__(
        self,
        *,
        pool: TargetPool,
        clock: Callable[[], float],
        is_end_planned: Callable[[], bool],
        on_crash: Callable[[list[CallMessage]], None],
        deliver: Callable[[LimiterCall, RefusalMessage], None],
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.is_end_planned = is_end_planned
        self.on_crash = on_crash
        self.deliver = deliver
        self.lost: list[LostCall] = []
        self.cancelled: deque[CancelledRun] = deque(maxlen=MAX_CANCELLED_RUNS)
        self.check: asyncio.Task[None] | None = None

    def record_cancelled(self, message: CallMessage) -> None:
        """Record a run that was cancelled, which may still end the target."""
        self.cancelled.append(CancelledRun(message, self.clock()))

    def record_broken(self, call: LimiterCall, refusal: RefusalMessage) -> None:
        """Record a call whose connection broke; its refusal follows shortly."""
        self.lost.append(LostCall(call, refusal))
        if self.check is None:
            self.check = asyncio.get_running_loop().create_task(self._check())

    async def _check(self) -> None:
        crashed = False
        try:
            await asyncio.sleep(GATHER_S)
            async with asyncio.timeout(MAX_CHECK_S):
                crashed = await self.pool.refuses_connections()
        except TimeoutError:
            crashed = False
        finally:
            self.check = None
            lost, self.lost = self.lost, []
            if crashed and not self.is_end_planned():
                self._report(lost)
            for call, refusal in lost:
                self.deliver(call, refusal)

    def _report(self, lost: list[LostCall]) -> None:
        since = self.clock() - CANCELLED_RUN_S
        cancelled = [run.message for run in self.cancelled if run.cancelled_at >= since]
        self.cancelled.clear()
        for _, refusal in lost:
            refusal.reason = RefusalReason.CRASHED
        calls = sorted((call for call, _ in lost), key=_started, reverse=True)
        self.on_crash([call.message for call in calls] + cancelled)


def _started(call: LimiterCall) -> float:
    assert call.started is not None
    return call.started
