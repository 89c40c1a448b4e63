"""Calls on a connection that has ended, of which it is not known whether they arrived.

A connection delivers the calls in the order in which they were sent, and their numbers
rise. The receiver tells the highest number that it has received when the same relay
connects again, and has closed the earlier connections by then. Calls with a higher
number have not arrived and never will, so they may be sent again.
"""

from typing import NamedTuple

__all__ = ["ALL_RECEIVED", "ReceivedCalls", "Resolution", "UnresolvedCalls"]

HOLD_S = 0.3
"""Time for which calls wait until their receiver is connected again."""
PROMPT_S = 0.05
"""Time in which a receiver that can be reached is connected again as a rule."""
MAX_SENDERS = 8_192
ALL_RECEIVED = 2**63 - 1
"""Number that is not lower than that of any call."""


class Resolution(NamedTuple):
    """Calls that may have been received, and calls that were not."""

    lost: list[int]
    unreceived: list[int]


class HeldCalls(NamedTuple):
    """Calls to one incarnation of a relay; `since` is in seconds."""

    started: int
    exchanges: list[int]
    since: float


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
        if exchanges:
            held = HeldCalls(started, exchanges, now)
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

    def late(self, now: float) -> dict[str, list[int]]:
        """Return the calls whose receiver is not connected again promptly."""
        return {
            instance: [exchange for each in held for exchange in each.exchanges]
            for instance, held in self.by_instance.items()
            if any(now - each.since >= PROMPT_S for each in held)
        }

    def keep(self, instance: str, exchanges: list[int]) -> None:
        """Keep only some of the calls to a relay; the others were sent again."""
        kept = set(exchanges)
        remaining = [
            each._replace(exchanges=[e for e in each.exchanges if e in kept])
            for each in self.by_instance.pop(instance, [])
        ]
        remaining = [each for each in remaining if each.exchanges]
        if remaining:
            self.by_instance[instance] = remaining

    def take_expired(self, now: float) -> dict[str, list[int]]:
        """Return the calls that have waited for too long, by instance."""
        expired = [
            instance
            for instance, held in self.by_instance.items()
            if any(now - each.since >= HOLD_S for each in held)
        ]
        return {instance: self.give_up(instance) for instance in expired}


class ReceivedCalls:
    """The highest number of the calls that each relay has sent to this one.

    Attributes
    ----------
    last_by_sender : dict
        That number by the instance and the start of the sender. What it does not have,
        such as the oldest entries of a full table, counts as received.
    """

    def __init__(self) -> None:
        self.last_by_sender: dict[tuple[str, int], int] = {}

    def greet(self, instance: str, started: int) -> int:
        """Return the highest number from a relay that connects, and remember it."""
        sender = instance, started
        last = self.last_by_sender.pop(sender, None)
        if len(self.last_by_sender) >= MAX_SENDERS:
            self.last_by_sender.pop(next(iter(self.last_by_sender)))
        self.last_by_sender[sender] = 0 if last is None else last
        return ALL_RECEIVED if last is None else last

    def record(self, instance: str, started: int, exchange: int) -> None:
        """Record a call of a relay that has connected."""
        sender = instance, started
        if sender in self.last_by_sender:
            self.last_by_sender[sender] = max(exchange, self.last_by_sender[sender])
