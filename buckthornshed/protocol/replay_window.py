"""Replay protection for messages between nodes."""

from collections import OrderedDict

from .peer_messages import Envelope

__all__ = ["ReplayWindow"]

WINDOW_SIZE = 1_024
"""Sequence numbers tracked for each sender; messages behind them are rejected."""

MAX_SENDERS = 4_096
"""Maximum number of tracked senders; the least recently active one is evicted."""


class ReplayWindow:
    """Reject messages that were accepted before.

    For each sender, the window keeps the highest accepted sequence number and a bit for
    each of the ``WINDOW_SIZE`` numbers that end with it.
    """

    def __init__(self) -> None:
        self.senders: OrderedDict[str, tuple[int, int, int]] = OrderedDict()

    def accept(self, envelope: Envelope) -> bool:
        """Return whether the envelope is new, and record it if so."""
        incarnation, highest, seen_bits = self.senders.get(envelope.sender, (0, -1, 0))
        if envelope.incarnation < incarnation:
            return False
        if envelope.incarnation > incarnation:
            highest, seen_bits = -1, 0
        offset = envelope.sequence - highest
        if offset <= -WINDOW_SIZE:
            return False
        if offset <= 0 and seen_bits >> -offset & 1:
            return False
        if offset > 0:
            # An offset beyond the window clears all bits. Limiting the shift keeps a
            # large sequence number from creating a huge integer.
            seen_bits = (seen_bits << min(offset, WINDOW_SIZE)) & (
                (1 << WINDOW_SIZE) - 1
            )
            highest = envelope.sequence
            offset = 0
        seen_bits |= 1 << -offset
        self.senders[envelope.sender] = (envelope.incarnation, highest, seen_bits)
        self.senders.move_to_end(envelope.sender)
        if len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)
        return True
