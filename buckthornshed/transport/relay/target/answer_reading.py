"""Which answers of the target are read on while others still take memory.

An answer takes memory until the relay that asked for it has taken it. Large ones
therefore wait in the connections of the target while much is incomplete or unsent,
except for the one that is nearest to its end. Small ones never wait, and none waits for
one that arrives slowly.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ...buffer_budget import BufferBudget, BufferHolder

__all__ = ["AnswerReading", "AnswerSource"]

SMALL_BYTES = 65_536
"""Bytes of an answer up to which it never waits."""
INCOMPLETE_FRACTION = 0.25
"""Part of the budget for incomplete messages beyond which large answers wait."""
UNSENT_FRACTION = 0.25
"""The same for the bytes that the relay which asked has not taken yet."""


STEP_BYTES = 16_384
"""Bytes that an answer which others wait for has to bring in each `STEP_S`."""
STEP_S = 0.25


class Progress(NamedTuple):
    """Bytes of an answer at a time in seconds."""

    held: int
    at: float


class AnswerSource(Protocol):
    """Connection that an answer arrives on."""

    @property
    def exchange(self) -> int | None:
        """Exchange in progress, None if there is none."""

    @property
    def collector(self) -> BufferHolder:
        """What holds the bytes of the answer."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Go on reading, if the connection is still open."""


class AnswerReading:
    """Pauses and resumes the connections of the target.

    Parameters
    ----------
    buffers : BufferBudget
        Knows the bytes of incomplete messages.
    unsent_bytes : callable
        Returns the bytes of answers that the relay which asked for an exchange has not
        taken yet.
    clock : callable
        Returns seconds of the monotonic clock.

    Attributes
    ----------
    reading : dict
        Connections with a large incomplete answer that arrives quickly, with the latest
        step of its progress.
    slow : dict
        The same for those that arrive slowly. They are read, but none waits for them.
    waiting : dict
        Connections that are paused, with their exchange, in the order of their pause.
    """

    def __init__(
        self,
        *,
        buffers: BufferBudget,
        unsent_bytes: Callable[[int], int],
        clock: Callable[[], float],
    ) -> None:
        self.buffers = buffers
        self.unsent_bytes = unsent_bytes
        self.clock = clock
        self.reading: dict[AnswerSource, Progress] = {}
        self.slow: dict[AnswerSource, Progress] = {}
        self.waiting: dict[AnswerSource, int] = {}

    def note_progress(self, source: AnswerSource) -> None:
        """Pause the connections whose answers have to wait, after one got a part."""
        held = self._held(source)
        if source.exchange is None or held <= SMALL_BYTES:
            return
        progress = self.reading.get(source) or self.slow.get(source)
        if progress is None or held >= progress.held + STEP_BYTES:
            self.slow.pop(source, None)
            self.reading[source] = Progress(held, self.clock())
        elif source in self.slow:
            return
        if self._is_unsent(source.exchange):
            self._pause(source)
        elif self._is_full():
            fullest = max(self.reading, key=self._held)
            for other in [each for each in self.reading if each is not fullest]:
                self._pause(other)

    def note_end(self, source: AnswerSource) -> None:
        """Forget a connection whose exchange has ended, and resume others."""
        self.reading.pop(source, None)
        self.slow.pop(source, None)
        if self.waiting.pop(source, None) is not None:
            source.resume()
        self.resume()

    def resume(self) -> None:
        """Resume the connections that need not wait any longer, the fullest first."""
        if not self.waiting:
            return
        now = self.clock()
        for source in [e for e, step in self.reading.items() if now - step.at > STEP_S]:
            self.slow[source] = self.reading.pop(source)
        for source in sorted(self.waiting, key=self._held, reverse=True):
            if self._is_unsent(self.waiting[source]):
                continue
            if self._is_full() and self.reading:
                return
            del self.waiting[source]
            self.reading[source] = Progress(self._held(source), now)
            source.resume()

    def _pause(self, source: AnswerSource) -> None:
        assert source.exchange is not None
        self.reading.pop(source, None)
        self.waiting[source] = source.exchange
        source.pause()

    def _is_unsent(self, exchange: int) -> bool:
        """Return whether the relay that asked has to take earlier answers first."""
        return self.unsent_bytes(exchange) > self.buffers.limit * UNSENT_FRACTION

    def _is_full(self) -> bool:
        return self.buffers.total > self.buffers.limit * INCOMPLETE_FRACTION

    def _held(self, source: AnswerSource) -> int:
        return self.buffers.held.get(source.collector, 0)
