"""Limits and priorities of the control traffic that a node sends.

Messages wait in one bounded queue for each priority. Drains and configurations never
wait for the bucket, they overdraw it; digests and membership wait until it is paid
back. The rate of whole sets and of long chains is bounded where they are answered,
in ``coordination.repair``.
"""

from collections import deque
from typing import NamedTuple

from .fleet_actions import Priority, Send

__all__ = ["BURST_BYTES", "STEADY_BYTES_PER_S", "ControlBudget"]

STEADY_BYTES_PER_S = 1_000.0
"""Rate at which the bucket fills."""

BURST_BYTES = 60_000.0
"""Size of the bucket: a minute of the steady rate."""

DEBT_BYTES = 5_000.0
"""Greatest overdraft; digests pause for at most five seconds to pay it back."""

MAX_QUEUED = 1_024
"""Messages that wait in each queue."""


class Rule(NamedTuple):
    """Limits of a priority.

    Parameters
    ----------
    floor : float
        Level of the bucket, in bytes, above which messages may go.
    drops_oldest : bool
        Whether a full queue drops its oldest message, as a later one replaces it.
    """

    floor: float
    drops_oldest: bool


RULES: dict[Priority, Rule] = {
    Priority.DRAIN: Rule(floor=float("-inf"), drops_oldest=False),
    Priority.CONFIGURATION: Rule(floor=float("-inf"), drops_oldest=True),
    Priority.DIGEST: Rule(floor=0.0, drops_oldest=True),
    Priority.MEMBERSHIP: Rule(floor=BURST_BYTES / 4, drops_oldest=True),
}


class ControlBudget:
    """Release control messages by priority within a rate of bytes.

    Sizes are known when a message is queued. Times are seconds.
    """

    def __init__(self) -> None:
        self.level = BURST_BYTES
        self.filled_at = 0.0
        self.queues: dict[Priority, deque[tuple[Send, int]]] = {
            priority: deque() for priority in Priority
        }
        self.sent_bytes: dict[Priority, int] = dict.fromkeys(Priority, 0)
        self.dropped: dict[Priority, int] = dict.fromkeys(Priority, 0)

    def fill(self, now: float) -> None:
        """Add what has come in since the last call."""
        gained = (now - self.filled_at) * STEADY_BYTES_PER_S
        self.level = min(BURST_BYTES, self.level + max(0.0, gained))
        self.filled_at = now

    def put(self, send: Send, size: int) -> None:
        """Queue a message of a size in bytes."""
        queue = self.queues[send.priority]
        if len(queue) >= MAX_QUEUED:
            self.dropped[send.priority] += 1
            if not RULES[send.priority].drops_oldest:
                return
            queue.popleft()
        queue.append((send, size))

    def take(self, now: float) -> list[Send]:
        """Return the messages that may go now, most urgent first."""
        self.fill(now)
        released: list[Send] = []
        for priority in Priority:
            queue = self.queues[priority]
            floor = RULES[priority].floor
            while queue and self.level >= floor:
                send, size = queue.popleft()
                self.level = max(-DEBT_BYTES, self.level - size)
                self.sent_bytes[priority] += size
                released.append(send)
        return released

    def due(self, now: float) -> float:
        """Return when a message that waits may go; infinity if none waits."""
        times = [
            now + max(0.0, RULES[priority].floor - self.level) / STEADY_BYTES_PER_S
            for priority in Priority
            if self.queues[priority]
        ]
        return min(times, default=float("inf"))
