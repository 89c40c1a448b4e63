"""Concurrency and rate limit, and queue, for calls to the target beside a relay.

Callers together can demand more than the target's slots can serve. All calls to the
target pass through its relay, so the relay knows what runs there. It leaves a few slots
free, as targets slow down when all are in use. Queued calls start in order of rank,
then of deadline. A call that cannot meet its deadline is refused at once and has not
run. If the target states a rate limit, a call that would wait long for a token is
refused as well, so that its caller can try another target.
"""

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import NamedTuple

from ....protocol.relay_messages import CallMessage, RefusalReason
from .call_times import MIN_CALL_TIME_S, CallTimes, RunningCall
from .capacity import CapacityEstimate
from .circuit_breaker import CircuitBreaker
from .rate_limiter import RateLimiter
from .stall_detector import StallDetector

__all__ = [
    "ConcurrencyLimiter",
    "LimiterAction",
    "LimiterCall",
    "RefuseCall",
    "StartCall",
]

USABLE_SLOT_FRACTION = 0.94
"""Fraction of the target's slots that is used."""
MAX_PROBES = 2
"""Concurrent calls of a route that the target seems too slow for."""
QUEUE_PER_SLOT = 4
DEFAULT_SLOTS = 8
"""Slots that are assumed until the target's registration is known."""
MAX_RATE_DELAY_S = 0.4
"""Longest time that a call waits for a token of the rate limiter."""
RATE_MARGIN = 0.9
"""Fraction of a rate limit that is reported as capacity.

Requests arrive unevenly, and a refused call far downstream fails its whole request.
"""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0


@dataclass(slots=True, kw_only=True, eq=False)
class LimiterCall:
    """A queued or running call; `key` identifies it, times are in seconds."""

    key: Hashable
    message: CallMessage
    deadline: float
    arrived: float
    started: float | None = None
    removed: bool = False


class StartCall(NamedTuple):
    """Send a call to the target."""

    call: LimiterCall


class RefuseCall(NamedTuple):
    """Refuse a call that has not run; `retry_after` is in seconds."""

    call: LimiterCall
    reason: RefusalReason
    retry_after: float


LimiterAction = StartCall | RefuseCall


class ConcurrencyLimiter:
    """Concurrency limit, rate limit and queue in front of one target.

    Attributes
    ----------
    draining : bool
        Whether the target or its relay accepts no new calls.
    ends_at : float or None
        Time at which the relay will end; calls that may last longer are refused.
    """

    def __init__(self) -> None:
        self.set_slots(DEFAULT_SLOTS)
        self.draining = False
        self.ends_at: float | None = None
        self.calls: dict[Hashable, LimiterCall] = {}
        self.running = 0
        self.queue: list[tuple[int, float, int, LimiterCall]] = []
        self.queue_length = 0
        self.arrivals = 0
        self.call_times = CallTimes()
        self.capacity = CapacityEstimate()
        self.stall_detector = StallDetector()
        self.circuit_breaker = CircuitBreaker()
        self.rate_limiter = RateLimiter()

    @property
    def load(self) -> float:
        """Running and queued calls over the limit that is nearer."""
        concurrency_load = (self.running + self.queue_length) / self.limit
        if not self.rate_limiter.limited:
            return concurrency_load
        queue_capacity = self.rate_limiter.effective_rate * MAX_RATE_DELAY_S
        rate_load = self.rate_limiter.utilization + self.queue_length / queue_capacity
        return max(concurrency_load, rate_load)

    @property
    def usable_slots(self) -> float:
        """Estimated capacity; 0 while draining or the circuit breaker is tripped."""
        if self.draining or self.circuit_breaker.tripped:
            return 0.0
        slots = self.capacity.usable_slots(self.limit)
        if not self.rate_limiter.limited:
            return slots
        rate = RATE_MARGIN * self.rate_limiter.effective_rate
        return min(slots, rate * max(self.call_times.mean, MIN_CALL_TIME_S))

    @property
    def calls_per_second(self) -> float:
        """Estimated capacity in calls of the current mix per second."""
        return self.usable_slots / max(self.call_times.mean, MIN_CALL_TIME_S)

    def set_slots(self, slots: int) -> None:
        """Set the number of calls that the target can run concurrently."""
        self.slots = slots
        self.limit = max(1, int(slots * USABLE_SLOT_FRACTION))

    def call_time_estimates(self, now: float) -> dict[str, float]:
        """Return the call times by route in seconds, including running calls."""
        return self.call_times.estimates(
            RunningCall(call.message.route, now - call.started)
            for call in self.calls.values()
            if call.started is not None
        )

    def retry_after(self) -> float:
        """Return the seconds after which a call should find a slot and a token."""
        backlog = self.queue_length * self.call_times.mean / self.limit
        token_delay = 0.0
        if self.rate_limiter.limited:
            token_delay = (self.queue_length + 1) / self.rate_limiter.effective_rate
        return min(MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S + max(backlog, token_delay))

    def submit(self, now: float, call: LimiterCall) -> list[LimiterAction]:
        """Start, queue or refuse a call."""
        if self.draining:
            return [RefuseCall(call, RefusalReason.LEAVING, MIN_RETRY_AFTER_S)]
        if call.deadline <= now:
            return [RefuseCall(call, RefusalReason.EXPIRED, self.retry_after())]
        if self._blocked(now):
            return [RefuseCall(call, RefusalReason.UNREACHABLE, self.retry_after())]
        if self.ends_at is not None and call.deadline > self.ends_at:
            return [RefuseCall(call, RefusalReason.OVERLOAD, MIN_RETRY_AFTER_S)]
        if self._outlasts_deadline(now, call):
            return [RefuseCall(call, RefusalReason.OVERLOAD, self.retry_after())]
        if (
            self.running < self.limit
            and not self.queue_length
            and self.rate_limiter.take(now)
        ):
            return [self._start(now, call)]
        ahead = self._calls_ahead(call)
        if self.rate_limiter.delay(now, ahead) > MAX_RATE_DELAY_S:
            return [RefuseCall(call, RefusalReason.RATE_LIMITED, self.retry_after())]
        if not self._can_meet_deadline(now, call, ahead):
            return [RefuseCall(call, RefusalReason.OVERLOAD, self.retry_after())]
        self.calls[call.key] = call
        self.arrivals += 1
        entry = (call.message.rank, call.deadline, self.arrivals, call)
        heapq.heappush(self.queue, entry)
        self.queue_length += 1
        return self._start_queued(now)

    def finish(
        self,
        now: float,
        key: Hashable,
        *,
        succeeded: bool,
        answered: bool = True,
        connection_failed: bool = False,
    ) -> list[LimiterAction]:
        """Record the end of a running call and start queued ones.

        Only a call that succeeded updates the call times. `connection_failed` means
        that the call got no answer because its connection broke or could not be made.
        """
        call = self.calls.pop(key, None)
        if call is None or call.started is None:
            return []
        self.running -= 1
        if answered:
            self.stall_detector.record_activity(now)
        if succeeded:
            self.circuit_breaker.record_success()
            self.call_times.record(call.message.route, now - call.started)
        if connection_failed:
            self.circuit_breaker.record_failure(now, started=call.started)
            if self.circuit_breaker.tripped:
                return self.refuse_queued(RefusalReason.UNREACHABLE)
        return self._start_queued(now)

    def cancel(self, now: float, key: Hashable) -> tuple[bool, list[LimiterAction]]:
        """Remove a call; return whether it was running and the resulting actions."""
        call = self.calls.get(key)
        if call is None:
            return False, []
        if call.started is not None:
            self.call_times.record_unfinished(call.message.route, now - call.started)
            return True, self.finish(now, key, succeeded=False, answered=False)
        del self.calls[key]
        call.removed = True
        self.queue_length -= 1
        return False, []

    def tick(self, now: float) -> list[LimiterAction]:
        """Refuse queued calls that wait too long; update the capacity."""
        self.rate_limiter.refill(now)
        if not self.rate_limiter.limited:
            # Under a rate limit, free slots show nothing about the capacity.
            queue_delay = self.queue_length * self.call_times.mean / self.limit
            self.capacity.update(
                now, running=self.running, limit=self.limit, queue_delay=queue_delay
            )
        return [
            *self._refuse_queued_if(lambda call: self._is_late(now, call)),
            *self._check_stalled(now),
            *self._start_queued(now),
            *self._refuse_overdue(now),
        ]

    def _is_late(self, now: float, call: LimiterCall) -> bool:
        """Return whether a queued call will miss its deadline."""
        return call.deadline - now < self.call_times.of(call.message.route) / 2

    def _refuse_overdue(self, now: float) -> list[LimiterAction]:
        """Refuse the calls that have waited too long for a token."""
        if not self.rate_limiter.limited:
            return []
        return self._refuse_queued_if(
            lambda call: now - call.arrived > MAX_RATE_DELAY_S,
            RefusalReason.RATE_LIMITED,
        )

    def _check_stalled(self, now: float) -> list[LimiterAction]:
        """Refuse queued calls if the target stalls, so that callers try another.

        Running calls keep their deadlines, as the target may be working on them.
        """
        running = [call for call in self.calls.values() if call.started is not None]
        call_times = [
            self.call_times.by_route.get(call.message.route) for call in running
        ]
        known_times = [seconds for seconds in call_times if seconds is not None]
        if not known_times or len(known_times) < len(call_times):
            return []
        if not self.stall_detector.detect_stall(
            now, running=len(running), call_time=max(known_times)
        ):
            return []
        return self.refuse_queued(RefusalReason.UNREACHABLE)

    def refuse_queued(
        self, reason: RefusalReason = RefusalReason.LEAVING
    ) -> list[LimiterAction]:
        """Refuse all queued calls."""
        return self._refuse_queued_if(lambda _: True, reason)

    def _refuse_queued_if(
        self,
        condition: Callable[[LimiterCall], bool],
        reason: RefusalReason = RefusalReason.EXPIRED,
    ) -> list[LimiterAction]:
        queued = [entry[3] for entry in self.queue if not entry[3].removed]
        return [self._refuse(call, reason) for call in queued if condition(call)]

    def _refuse(self, call: LimiterCall, reason: RefusalReason) -> RefuseCall:
        call.removed = True
        self.queue_length -= 1
        del self.calls[call.key]
        return RefuseCall(call, reason, self.retry_after())

    def _start(self, now: float, call: LimiterCall) -> StartCall:
        self.calls[call.key] = call
        call.started = now
        if not self.running:
            self.stall_detector.record_activity(now)
        self.running += 1
        return StartCall(call)

    def _start_queued(self, now: float) -> list[LimiterAction]:
        actions: list[LimiterAction] = []
        while self.queue and self.running < self.limit:
            if self._blocked(now):
                break
            call = self.queue[0][3]
            if call.removed:
                heapq.heappop(self.queue)
                continue
            if call.deadline <= now:
                heapq.heappop(self.queue)
                actions.append(self._refuse(call, RefusalReason.EXPIRED))
                continue
            if not self.rate_limiter.take(now):
                break
            heapq.heappop(self.queue)
            self.queue_length -= 1
            actions.append(self._start(now, call))
        return actions

    def _blocked(self, now: float) -> bool:
        """Return whether no call may start, as the target seems to be down."""
        if self.circuit_breaker.is_open(now):
            return True
        half_open = (
            self.stall_detector.is_restricted(now) or self.circuit_breaker.tripped
        )
        return half_open and self.running > 0

    def _outlasts_deadline(self, now: float, call: LimiterCall) -> bool:
        """Return whether a call would still run at its deadline, slots being free.

        Few of them are started all the same, to notice when the target is quick again.
        """
        route = call.message.route
        if now + self.call_times.by_route.get(route, 0.0) < call.deadline:
            return False
        running = sum(
            1
            for each in self.calls.values()
            if each.started is not None and each.message.route == route
        )
        return running >= MAX_PROBES

    def _calls_ahead(self, call: LimiterCall) -> int:
        """Return the queued calls that would start before a new one."""
        rank = call.message.rank
        return sum(
            1 for entry in self.queue if entry[0] <= rank and not entry[3].removed
        )

    def _can_meet_deadline(self, now: float, call: LimiterCall, ahead: int) -> bool:
        if self.queue_length >= self.limit * QUEUE_PER_SLOT:
            return False
        queue_delay = max(
            (ahead + 1) * self.call_times.mean / self.limit,
            self.rate_limiter.delay(now, ahead),
        )
        call_time = self.call_times.of(call.message.route)
        return now + queue_delay + call_time <= call.deadline
