"""Rate limit and priorities of the control traffic that a node sends.

Each priority has a bounded queue; a token bucket, filled in bytes, limits the rate.
Drain and configuration messages never wait for tokens and may overdraw the bucket;
digests and membership messages wait until the overdraft is repaid. Whole sets and long
chains of deltas have a rate limit of their own, in ``coordination.knowledge.repair``.
"""

from collections import deque
from typing import NamedTuple

from .fleet_actions import Priority, Send

__all__ = ["BURST_BYTES", "REFILL_BYTES_PER_S", "ControlBudget"]

REFILL_BYTES_PER_S = 1_000.0
"""Refill rate of the token bucket."""

BURST_BYTES = 60_000.0
"""Capacity of the token bucket: one minute of the refill rate."""

MAX_OVERDRAFT_BYTES = 5_000.0
"""Maximum overdraft of the bucket; digests wait at most 5 s until it is repaid."""

MAX_QUEUED = 1_024
"""Maximum number of messages in each queue."""


class PriorityRule(NamedTuple):
    """Sending rule of a priority.

    Parameters
    ----------
    min_level : float
        Bucket level, in bytes, at or above which messages may be sent.
    drops_oldest : bool
        Whether a full queue drops its oldest message, because a later message
        supersedes it, or else the new one.
    """

    min_level: float
    drops_oldest: bool


PRIORITY_RULES: dict[Priority, PriorityRule] = {
    Priority.DRAIN: PriorityRule(min_level=float("-inf"), drops_oldest=False),
    Priority.CONFIGURATION: PriorityRule(min_level=float("-inf"), drops_oldest=True),
    Priority.DIGEST: PriorityRule(min_level=0.0, drops_oldest=True),
    Priority.MEMBERSHIP: PriorityRule(min_level=BURST_BYTES / 4, drops_oldest=True),
}


class ControlBudget:
    """Release control messages by priority within a rate of bytes per second.

    The size of a message is known when it is enqueued. Times are in seconds.
    """

    def __init__(self) -> None:
        self.level = BURST_BYTES
        self.refilled_at = 0.0
        self.queues: dict[Priority, deque[tuple[Send, int]]] = {
            priority: deque() for priority in Priority
        }
        self.sent_bytes: dict[Priority, int] = dict.fromkeys(Priority, 0)
        self.dropped: dict[Priority, int] = dict.fromkeys(Priority, 0)

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        gained = (now - self.refilled_at) * REFILL_BYTES_PER_S
        self.level = min(BURST_BYTES, self.level + max(0.0, gained))
        self.refilled_at = now

    def enqueue(self, send: Send, size: int) -> None:
        """Enqueue a message with its size in bytes."""
        queue = self.queues[send.priority]
        if len(queue) >= MAX_QUEUED:
            self.dropped[send.priority] += 1
            if not PRIORITY_RULES[send.priority].drops_oldest:
                return
            queue.popleft()
        queue.append((send, size))

    def release(self, now: float) -> list[Send]:
        """Return the messages that may be sent now, highest priority first."""
        self.refill(now)
        released: list[Send] = []
        for priority in Priority:
            queue = self.queues[priority]
            min_level = PRIORITY_RULES[priority].min_level
            while queue and self.level >= min_level:
                send, size = queue.popleft()
                self.level = max(-MAX_OVERDRAFT_BYTES, self.level - size)
                self.sent_bytes[priority] += size
                released.append(send)
        return released

    def due(self, now: float) -> float:
        """Return the earliest time to send a queued message; infinity without one."""
        times = [
            now
            + max(0.0, PRIORITY_RULES[priority].min_level - self.level)
            / REFILL_BYTES_PER_S
            for priority in Priority
            if self.queues[priority]
        ]
        return min(times, default=float("inf"))
