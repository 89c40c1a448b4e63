"""Recognition of messages between nodes that were taken before."""

from collections import OrderedDict

from .peer_messages import Envelope

__all__ = ["ReplayWindow"]

REPLAY_SPAN = 1_024
"""How far a message may arrive behind a later one of the same sender."""

REPLAY_SENDERS = 4_096
"""Senders that are remembered."""


class ReplayWindow:
    """Recognize messages that were taken before.

    For each sender the highest sequence number and a bit for each of the
    ``REPLAY_SPAN`` numbers below it are kept.
    """

    def __init__(self) -> None:
        self.senders: OrderedDict[str, tuple[int, int, int]] = OrderedDict()

    def accept(self, envelope: Envelope) -> bool:
        """Return whether the envelope is new, and remember it."""
        incarnation, highest, seen = self.senders.get(envelope.sender, (0, -1, 0))
        if envelope.incarnation < incarnation:
            return False
        if envelope.incarnation > incarnation:
            highest, seen = -1, 0
        step = envelope.sequence - highest
        if step <= -REPLAY_SPAN:
            return False
        if step <= 0 and seen >> -step & 1:
            return False
        if step > 0:
            # A step beyond the span forgets all bits; the shift stays bounded.
            seen = (seen << min(step, REPLAY_SPAN)) & ((1 << REPLAY_SPAN) - 1)
            highest = envelope.sequence
            step = 0
        seen |= 1 << -step
        self.senders[envelope.sender] = (envelope.incarnation, highest, seen)
        self.senders.move_to_end(envelope.sender)
        if len(self.senders) > REPLAY_SENDERS:
            self.senders.popitem(last=False)
        return True
