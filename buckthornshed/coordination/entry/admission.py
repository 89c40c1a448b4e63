"""Admission control: load shedding by priority when a target is overloaded.

Without overload the controller admits every call. When calls wait longer than the
policy allows, it sets a threshold over admission levels (priority, then request
hash) so that the rate of admitted calls matches the capacity of the target, and
adjusts the threshold to the length of the queue. The threshold returns to 0 once
the capacity covers the offered load. See ``docs/design/admission.md``.
"""

from math import exp

from ...protocol.messages import CallContext
from ...protocol.outcome import Reason
from ...state.objects import Admission
from ...state.random_source import RandomSource
from ..pause import PAUSE_THRESHOLD_S
from .deadlines import can_finish
from .demand import DemandEstimator
from .retry_after import RetryAfterSchedule
from .thresholds import admission_level

__all__ = ["AdmissionController", "admission_level"]

UPDATE_INTERVAL_S = 0.05
"""Seconds between two updates of the threshold."""

QUEUE_CORRECTION_S = 0.2
"""Seconds within which the queue is brought to its desired length."""

MIN_ADMITTED_SHARE = 0.5
"""Minimum share of the capacity that is admitted, however long the queue is."""

MIN_SERVICE_TIME_WEIGHT = 0.02
"""Minimum weight of one call in the moving average of the service time."""

SERVICE_TIME_DECAY_S = 1.0
"""Time constant, in seconds, of the average service time when calls are rare."""

SERVICE_TIME_FLOOR_S = 1e-6
"""Service time of a call that starts and finishes at the same clock reading."""

INITIAL_SERVICE_TIME_S = 0.01
"""Service time assumed until the first call finishes."""

OVERLOAD_UTILIZATION = 0.95
"""Share of the capacity above which a queue delay over the limit means overload."""

BURST_DELAY_FACTOR = 3.0
"""Multiple of the allowed delay that means overload whatever the demand is."""

RECOVERY_S = 0.2
"""Seconds for which the threshold must stay at 0 before overload control ends."""


class AdmissionController:
    """Decide which calls for one target are admitted.

    Parameters
    ----------
    policy : Admission
        Admission policy of the service.
    slots : int
        Concurrency limit: number of calls that the target runs at once.
    """

    def __init__(self, *, policy: Admission, slots: int) -> None:
        self.policy = policy
        self.slots = slots
        self.delay_limit = policy["queue_delay_ms"] / 1000
        self.service_time = INITIAL_SERVICE_TIME_S
        self.min_service_time = INITIAL_SERVICE_TIME_S
        self.finished_calls = 0
        self.last_finish = 0.0
        self.retry_schedule = RetryAfterSchedule(
            min_delay=policy["retry_after_min_s"], max_delay=policy["retry_after_max_s"]
        )
        self.last_event: float | None = None
        self.reset(0.0)

    @property
    def capacity(self) -> float:
        """Calls per second that the target can complete."""
        return self.slots / self.service_time

    @property
    def allowed_delay(self) -> float:
        """Allowed queue delay in seconds: that of the policy, or one service time.

        The greater of the two applies, because slots become idle when the queue
        holds fewer calls than there are slots.
        """
        return max(self.delay_limit, self.service_time)

    def reset(self, now: float) -> None:
        """Discard the threshold and the measured demand."""
        self.threshold = 0
        self.overloaded = False
        self.over_delay_windows = 0
        self.demand = DemandEstimator()
        self.reset_at = now
        self.last_update = now
        self.recovered_since: float | None = None
        self.queue_length = 0
        self.max_wait = 0.0
        self.retry_schedule.reset(now)

    def decide(
        self, now: float, context: CallContext, queue_length: int, running: int
    ) -> Reason | None:
        """Return the reason to refuse a call, or None to admit it.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        context : CallContext
            Context of the call.
        waiting : int
            Number of queued calls.
        running : int
            Number of calls that run at the target.
        """
        self._advance(now)
        self.queue_length = queue_length
        level = admission_level(context.priority, context.request_id)
        self.demand.record_arrival(level)
        self.retry_schedule.record_offered(now)
        if not can_finish(now, context.deadline, self._service_time_lower_bound()):
            return Reason.DEADLINE
        if level < self.threshold:
            return Reason.OVERLOAD
        if running >= self.slots and self.policy["queue"] == 0:
            return Reason.QUEUE_FULL
        return None

    def record_start(self, now: float, waited: float) -> None:
        """Record that a call started after ``waited`` seconds in the queue."""
        self._advance(now)
        self.max_wait = max(self.max_wait, waited)

    def record_finish(self, now: float, service_time: float) -> None:
        """Record that a call finished after ``service_time`` seconds at the target."""
        self._advance(now)
        self.retry_schedule.record_finish(now)
        if now - service_time < self.reset_at:
            # The call spans a pause of this process, which its time includes.
            return
        service_time = max(service_time, SERVICE_TIME_FLOOR_S)
        if self.finished_calls == 0:
            self.service_time = self.min_service_time = service_time
        gap = max(0.0, now - self.last_finish)
        weight = max(MIN_SERVICE_TIME_WEIGHT, 1.0 - exp(-gap / SERVICE_TIME_DECAY_S))
        self.last_finish = now
        self.finished_calls += 1
        self.service_time += weight * (service_time - self.service_time)
        rise = MIN_SERVICE_TIME_WEIGHT * (self.service_time - self.min_service_time)
        self.min_service_time = min(service_time, self.min_service_time + rise)

    def tick(self, now: float, queue_length: int | None = None) -> None:
        """Update the threshold if an update is due."""
        if queue_length is not None:
            self.queue_length = queue_length
        self._advance(now)

    def retry_after(self, now: float, priority: int, rng: RandomSource) -> float:
        """Return the number of seconds after which a refused caller may retry."""
        return self.retry_schedule.schedule(now, priority, rng)

    def _service_time_lower_bound(self) -> float:
        return self.min_service_time if self.finished_calls else 0.0

    def _advance(self, now: float) -> None:
        if self.last_event is None or now - self.last_event > PAUSE_THRESHOLD_S:
            self.reset(now)
        self.last_event = now
        elapsed = now - self.last_update
        if elapsed >= UPDATE_INTERVAL_S:
            self.last_update = now
            self._end_window(now, elapsed)

    def _end_window(self, now: float, elapsed: float) -> None:
        self.demand.end_window(elapsed, self.threshold)
        delay = max(self.max_wait, self.queue_length / self.capacity)
        self.max_wait = 0.0
        near_capacity = self.demand.total > OVERLOAD_UTILIZATION * self.capacity
        over_delay = delay > self.allowed_delay * (
            1.0 if near_capacity else BURST_DELAY_FACTOR
        )
        self.over_delay_windows = self.over_delay_windows + 1 if over_delay else 0
        if self.over_delay_windows >= 2:
            self.overloaded = True
            self.recovered_since = None
        if self.overloaded:
            self._update_threshold(now)

    def _update_threshold(self, now: float) -> None:
        """Set the threshold so that the admitted rate matches the capacity."""
        desired_queue = self.capacity * self.allowed_delay
        desired_queue = min(desired_queue, self.policy["queue"] / 2)
        queue_correction = (desired_queue - self.queue_length) / QUEUE_CORRECTION_S
        floor = MIN_ADMITTED_SHARE * self.capacity
        self.threshold = self.demand.threshold_for(
            max(floor, self.capacity + queue_correction)
        )
        if self.threshold > 0:
            self.recovered_since = None
        elif self.recovered_since is None:
            self.recovered_since = now
        elif now - self.recovered_since >= RECOVERY_S:
            self.overloaded = False
