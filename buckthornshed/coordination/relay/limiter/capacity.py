"""Estimate of a target's capacity in slots.

The estimate is the concurrency limit times a correction factor that follows from
feedback: queued calls lower it, and slots that stay free while requests are shed raise
it. The capacity shrinks by the fraction of calls that the target rejects.
"""

__all__ = ["CapacityEstimate"]

QUEUE_DELAY_SETPOINT_S = 0.02
"""Queueing delay that a call chain can tolerate at each of its hops."""
MAX_QUEUE_DELAY_RATIO = 3.0
MIN_CORRECTION = 0.4
MAX_CORRECTION = 1.15
CORRECTION_DECREASE_PER_S = 0.15
"""Decrease of the correction per second while the wait is twice the setpoint."""
CORRECTION_INCREASE_PER_S = 0.1
"""Increase of the correction per second while slots are free."""
CORRECTION_DEADBAND = 0.02
"""Excess of the correction over 1 that is kept while no requests are shed."""
UTILIZATION_SETPOINT = 0.92
"""Utilization from which the target counts as fully used."""
UTILIZATION_TIME_CONSTANT_S = 0.3
REJECTION_SMOOTHING = 0.02


class CapacityEstimate:
    """Capacity estimate of one target.

    Attributes
    ----------
    shedding : bool
        Whether requests are shed because the target's service is saturated.
    """

    def __init__(self) -> None:
        self.shedding = False
        self.correction = 1.0
        self.utilization = 0.0
        self.rejection_rate = 0.0
        self.updated_at: float | None = None

    def record_result(self, *, rejected: bool) -> None:
        """Record whether the target ran a call or rejected it."""
        self.rejection_rate += REJECTION_SMOOTHING * (
            float(rejected) - self.rejection_rate
        )

    def update(
        self, now: float, *, running: int, limit: int, queue_delay: float
    ) -> None:
        """Update the estimate; `queue_delay` is the queueing delay in seconds."""
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if elapsed <= 0.0:
            return
        weight = min(1.0, elapsed / UTILIZATION_TIME_CONSTANT_S)
        self.utilization += weight * (running / limit - self.utilization)
        change = self._correction_rate(queue_delay) * min(
            elapsed, UTILIZATION_TIME_CONSTANT_S
        )
        self.correction = min(
            MAX_CORRECTION, max(MIN_CORRECTION, self.correction + change)
        )

    def _correction_rate(self, queue_delay: float) -> float:
        """Return the change of the correction per second.

        Free slots show that the capacity is underestimated only while requests are
        shed. Without shedding they show nothing, and a correction that had risen then
        would overestimate the capacity at the start of the next overload.
        """
        if self.utilization >= UTILIZATION_SETPOINT:
            delay_ratio = min(
                queue_delay / QUEUE_DELAY_SETPOINT_S, MAX_QUEUE_DELAY_RATIO
            )
            return CORRECTION_DECREASE_PER_S * (1.0 - delay_ratio)
        if self.shedding or self.correction < 1.0:
            return CORRECTION_INCREASE_PER_S
        return (
            -CORRECTION_INCREASE_PER_S
            if self.correction > 1.0 + CORRECTION_DEADBAND
            else 0.0
        )

    def usable_slots(self, limit: int) -> float:
        """Return the estimated number of slots that admitted calls may fill."""
        return self.correction * (1.0 - self.rejection_rate) * limit
