"""Load and latency of one target as measured by one node, and the cost of a call.

All measurements come from the answers to real calls, because the health and load
endpoints of a target lag behind or report wrong values, and a probe occupies one of
the target's slots.
"""

import math

from ...protocol.messages import NodeSignal
from ...state.objects import Target
from .outlier_ejection import EjectionState

__all__ = ["LATENCY_DECAY_S", "MIN_SLOW_START_WEIGHT", "SLOW_START_S", "TargetState"]

LATENCY_EWMA_WEIGHT = 0.1
LATENCY_DECAY_S = 10.0
SLOW_START_S = 10.0
MIN_SLOW_START_WEIGHT = 0.1
REPORTED_LOAD_DECAY_S = 1.0
THRESHOLD_DECAY_S = 1.5
MIN_LATENCY_S = 1e-4
SATURATED_COST_FACTOR = 4.0
EXPLORATION_COST_FACTOR = 0.8


class TargetState:
    """Measurements that this node has of one target.

    Parameters
    ----------
    name : str
        Name of the target.
    target : Target
        Configuration object of the target.
    distance : int
        0 in the failure domain of this node, 1 in the same region, 2 in other regions.
    """

    __slots__ = (
        "answered_at",
        "distance",
        "draining",
        "ejection",
        "in_flight",
        "incarnation",
        "latency",
        "name",
        "reported_at",
        "reported_in_flight",
        "sent_since_report",
        "slots",
        "slow_start_since",
        "target",
        "threshold",
        "waiting_since",
    )

    def __init__(self, *, name: str, target: Target, distance: int) -> None:
        self.name = name
        self.target = target
        self.slots = target["slots"]
        self.distance = distance
        self.in_flight = 0
        self.waiting_since = 0.0
        self.ejection = EjectionState()
        self.draining = False
        self.incarnation = 0
        self.slow_start_since = -math.inf
        self._reset_measurements()

    def record_send(self, now: float) -> None:
        """Count a call that was sent to the target."""
        if self.in_flight == 0:
            self.waiting_since = now
        self.in_flight += 1
        self.sent_since_report += 1

    def record_answer(
        self, now: float, signal: NodeSignal, latency: float | None
    ) -> None:
        """Update the measurements from an answer that took ``latency`` seconds.

        ``latency`` is None if the target did not do the work. A refusal takes little
        time and must not make the target look fast.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self.waiting_since = now
        self.ejection.record_success()
        if signal.incarnation > self.incarnation:
            self._handle_restart(now, signal.incarnation)
        if signal.incarnation < self.incarnation:
            return
        self.draining = signal.draining
        self.reported_in_flight = signal.in_flight
        self.reported_at = now
        self.sent_since_report = 0
        self.threshold = signal.threshold
        if latency is not None:
            self._update_latency(now, latency)

    def record_end(self) -> None:
        """Count a call that ended without an answer."""
        self.in_flight = max(0, self.in_flight - 1)

    def cost(self, now: float, mean_latency: float) -> float:
        """Return the expected seconds that an additional call takes.

        A target without a recent latency and without a call in flight gets a cost
        slightly below the average, so that one call measures its current latency.
        While calls are in flight, the latency is at least the time since the last
        answer, or since the first of these calls was sent if that is later. An
        unresponsive target thus becomes expensive before any of its calls ends.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        mean_latency : float
            Mean latency of the service in seconds, assumed where the target's own
            latency is unknown or outdated.
        """
        confidence = self._latency_confidence(now)
        if confidence == 0 and self.in_flight == 0:
            mean_latency *= EXPLORATION_COST_FACTOR
        latency = mean_latency + confidence * (self.latency - mean_latency)
        if self.in_flight:
            latency = max(latency, now - self.waiting_since)
        load = self.load(now)
        saturation = SATURATED_COST_FACTOR if load >= 1 else 1.0
        return max(latency, MIN_LATENCY_S) * (1 + load) * saturation

    def load(self, now: float) -> float:
        """Return the estimated number of calls per slot of the target.

        The estimate is the maximum of two values: the calls that this node has in
        flight, and the number that the target last reported, scaled down with the age
        of the report, plus the calls that this node sent since then.
        """
        freshness = max(0.0, 1 - (now - self.reported_at) / REPORTED_LOAD_DECAY_S)
        reported_load = self.reported_in_flight * freshness + self.sent_since_report
        return max(self.in_flight, reported_load) / self.slots

    def weight(self, now: float) -> float:
        """Return the sampling weight of the target in slots.

        During slow start, after a restart or when the target is added, the weight
        grows linearly up to the full number of slots.
        """
        if self.slow_start_since == -math.inf:
            return self.slots
        ramp = min(1.0, (now - self.slow_start_since) / SLOW_START_S)
        return self.slots * max(MIN_SLOW_START_WEIGHT, ramp)

    def refuses(self, now: float, level: int) -> bool:
        """Return whether the target is expected to refuse calls of ``level``.

        The reported admission threshold falls linearly to 0 with its age.
        """
        if not self.threshold:
            return False
        age = now - self.reported_at
        freshness = max(0.0, 1 - age / THRESHOLD_DECAY_S)
        return level < self.threshold * freshness

    def usable(self, now: float) -> bool:
        """Return whether the target may get a call."""
        if self.draining:
            return False
        return not self.ejection.ejections or self.ejection.allows_call(
            now, self.in_flight
        )

    def _update_latency(self, now: float, latency: float) -> None:
        confidence = self._latency_confidence(now)
        weight = max(LATENCY_EWMA_WEIGHT, 1 - confidence)
        self.latency += weight * (latency - self.latency)
        self.answered_at = now

    def _latency_confidence(self, now: float) -> float:
        """Return the weight of the measured latency; it falls from 1 to 0 with age."""
        return max(0.0, 1 - (now - self.answered_at) / LATENCY_DECAY_S)

    def _handle_restart(self, now: float, incarnation: int) -> None:
        if self.incarnation:
            self._reset_measurements()
            self.slow_start_since = now
        self.incarnation = incarnation

    def _reset_measurements(self) -> None:
        self.latency = 0.0
        self.answered_at = -math.inf
        self.reported_in_flight = 0
        self.reported_at = -math.inf
        self.sent_since_report = 0
        self.threshold = 0
