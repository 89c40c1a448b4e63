"""Queue of the calls that wait for a slot of the target."""

from bisect import bisect_left, insort
from heapq import heapify, heappop, heappush
from typing import Generic, NamedTuple, TypeVar

__all__ = ["CallQueue", "QueuedCall", "TakeResult"]

T = TypeVar("T")

MIN_REBUILD_LENGTH = 64
"""Length up to which the deadline heap is never rebuilt."""


class QueuedCall(NamedTuple, Generic[T]):
    """A queued call.

    Parameters
    ----------
    exchange : int
        Exchange of the call, unique in the queue.
    level : int
        Admission level, see ``coordination.entry.thresholds.admission_level``.
    deadline : float
        Deadline of the call, in seconds of the monotonic clock.
    arrived : float
        Time at which the call was queued, in seconds of the monotonic clock.
    item : object
        Data that the owner of the queue needs to start the call.
    """

    exchange: int
    level: int
    deadline: float
    arrived: float
    item: T


class TakeResult(NamedTuple, Generic[T]):
    """The call to start, if any, and the calls that can no longer finish in time."""

    call: QueuedCall[T] | None
    expired: list[QueuedCall[T]]


class CallQueue(Generic[T]):
    """Bounded priority queue that returns the call of the highest level first.

    Calls of the same level leave in the order of their arrival. A full queue evicts
    the call of the lowest level, and among equals the one that arrived last.

    Parameters
    ----------
    limit : int
        Maximum number of queued calls.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.calls: dict[int, QueuedCall[T]] = {}
        self.order: list[tuple[int, int, int]] = []
        self.deadlines: list[tuple[float, int]] = []
        self.sort_keys: dict[int, tuple[int, int, int]] = {}
        self.arrivals = 0

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self.calls)

    def offer(self, call: QueuedCall[T]) -> QueuedCall[T] | None:
        """Queue ``call``; return the call to refuse, if any.

        If the queue is full and none of its calls has a lower level, that is
        ``call`` itself, otherwise the evicted call.
        """
        if len(self.calls) < self.limit:
            self._insert(call)
            return None
        if not self.order or self.order[0][0] >= call.level:
            return call
        evicted = self.remove(self.order[0][2])
        self._insert(call)
        return evicted

    def take(self, now: float, service_time: float = 0.0) -> TakeResult[T]:
        """Remove the call of the highest level that can still meet its deadline.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        service_time : float
            Minimum time that a call takes at the target, in seconds.
        """
        expired = self.expire(now + service_time)
        call = self.remove(self.order[-1][2]) if self.order else None
        return TakeResult(call, expired)

    def expire(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return the calls whose deadline is at or before ``now``."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, exchange = heappop(self.deadlines)
            call = self.calls.get(exchange)
            if call is not None and call.deadline <= now:
                self.remove(exchange)
                expired.append(call)
        return expired

    def remove(self, exchange: int) -> QueuedCall[T] | None:
        """Remove and return the call of ``exchange``, or None if it is not queued."""
        call = self.calls.pop(exchange, None)
        if call is None:
            return None
        sort_key = self.sort_keys.pop(exchange)
        del self.order[bisect_left(self.order, sort_key)]
        return call

    def _insert(self, call: QueuedCall[T]) -> None:
        self.arrivals += 1
        sort_key = (call.level, -self.arrivals, call.exchange)
        self.calls[call.exchange] = call
        self.sort_keys[call.exchange] = sort_key
        insort(self.order, sort_key)
        heappush(self.deadlines, (call.deadline, call.exchange))
        if len(self.deadlines) > max(MIN_REBUILD_LENGTH, 2 * len(self.calls)):
            queued = self.calls.values()
            self.deadlines = [(each.deadline, each.exchange) for each in queued]
            heapify(self.deadlines)
