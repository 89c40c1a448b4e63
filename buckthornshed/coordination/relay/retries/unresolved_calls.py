"""Calls on a connection that has ended, of which it is not known whether they arrived.

A connection delivers the calls in the order in which they were sent, and their numbers
rise. The receiver tells the highest number that it has received when the same relay
connects again, and has closed the earlier connections by then. Calls with a higher
number have not arrived and never will, so they may be sent again.
"""

from typing import NamedTuple

__all__ = ["ReceivedCalls", "Resolution", "UnresolvedCalls"]

HOLD_S = 0.3
"""Time for which calls wait until their receiver is connected again."""
MAX_SENDERS = 8_192


class Resolution(NamedTuple):
    """Calls that may have been received, and calls that were not."""

    lost: list[int]
    unreceived: list[int]


class HeldCalls(NamedTuple):
    """Calls to one incarnation of a relay; `until` is in seconds."""

    started: int
    exchanges: list[int]
    until: float


class UnresolvedCalls:
    """Calls of this relay that wait for news of their receiver.

    Attributes
    ----------
    by_instance : dict
        The calls that wait, by the instance of their receiver.
    """

    def __init__(self) -> None:
        self.by_instance: dict[str, list[HeldCalls]] = {}

    def hold(
        self, now: float, instance: str, started: int, exchanges: list[int]
    ) -> None:
        """Keep calls to an incarnation of a relay whose connection has ended."""
        held = HeldCalls(started, exchanges, now + HOLD_S)
        self.by_instance.setdefault(instance, []).append(held)

    def resolve(self, instance: str, started: int, last_exchange: int) -> Resolution:
        """Return what became of the calls to a relay that is connected again.

        Another incarnation does not know what the one before it has received.
        """
        resolution = Resolution([], [])
        for held in self.by_instance.pop(instance, []):
            for exchange in held.exchanges:
                arrived = held.started != started or exchange <= last_exchange
                (resolution.lost if arrived else resolution.unreceived).append(exchange)
        return resolution

    def give_up(self, instance: str) -> list[int]:
        """Return the calls to a relay that cannot be connected to."""
        held = self.by_instance.pop(instance, [])
        return [exchange for each in held for exchange in each.exchanges]

    def take_expired(self, now: float) -> dict[str, list[int]]:
        """Return the calls that have waited for too long, by instance."""
        expired = [
            instance
            for instance, held in self.by_instance.items()
            if any(each.until <= now for each in held)
        ]
        return {instance: self.give_up(instance) for instance in expired}


class ReceivedCalls:
    """The highest number of the calls that each relay has sent to this one."""

    def __init__(self) -> None:
        self.last_by_sender: dict[str, tuple[int, int]] = {}

    def record(self, instance: str, started: int, exchange: int) -> None:
        """Record a call of an incarnation of a relay."""
        last = max(exchange, self.last(instance, started))
        is_new = instance not in self.last_by_sender
        if is_new and len(self.last_by_sender) >= MAX_SENDERS:
            self.last_by_sender.pop(next(iter(self.last_by_sender)))
        self.last_by_sender[instance] = started, last

    def last(self, instance: str, started: int) -> int:
        """Return the highest number received from an incarnation, 0 without one."""
        known, last = self.last_by_sender.get(instance, (started, 0))
        return last if known == started else 0
