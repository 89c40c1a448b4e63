"""A log handler that never blocks, with a bounded buffer and a rate limit in bytes.

When the rate limit is nearly reached, lines of lower levels are dropped first, so that
failures and changes of the fleet view are kept longest. The number of dropped lines is
logged.
"""

import logging
import os
from collections import deque

__all__ = ["LogBuffer", "LogBufferHandler"]

BYTES_PER_S = 64 * 1024
BURST_BYTES = 256 * 1024
MAX_BUFFER_BYTES = 1024 * 1024
BATCH_BYTES = 32 * 1024
RESERVED_FRACTIONS = {logging.DEBUG: 0.5, logging.INFO: 0.2}
"""Fraction of the burst that lines of a level leave for lines of higher levels."""


class LogBuffer:
    """Buffers log lines until `flush` writes them.

    A token bucket limits the bytes per second that are accepted.

    Parameters
    ----------
    descriptor : int
        File descriptor to which lines are written; it is set to non-blocking mode.
    """

    def __init__(self, *, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.tokens = float(BURST_BYTES)
        self.refilled_at: float | None = None
        self.dropped = 0

    def accepts(self, level: int) -> bool:
        """Return whether a line of a level may be added; count it as dropped if not."""
        reserved = RESERVED_FRACTIONS.get(level, 0.0) * BURST_BYTES
        if self.tokens <= reserved or self.buffered_bytes >= MAX_BUFFER_BYTES:
            self.dropped += 1
            return False
        return True

    def add(self, line: bytes) -> None:
        """Add a line to the buffer."""
        self.tokens -= len(line)
        self.buffered_bytes += len(line)
        self.chunks.append(line)

    def flush(self, now: float) -> None:
        """Write as many lines as possible without blocking; `now` is in seconds."""
        elapsed = 0.0 if self.refilled_at is None else now - self.refilled_at
        self.refilled_at = now
        self.tokens = min(BURST_BYTES, self.tokens + elapsed * BYTES_PER_S)
        while self.chunks:
            batch = self._take_batch()
            try:
                written = os.write(self.descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # The log is no longer read. The relay continues without it.
                # The batch that failed counts as one dropped line.
                self.dropped += len(self.chunks) + 1
                self.chunks.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(batch):
                self.chunks.appendleft(batch[written:])
                return

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _take_batch(self) -> bytes:
        size = 0
        lines = []
        while self.chunks and size < BATCH_BYTES:
            line = self.chunks.popleft()
            size += len(line)
            lines.append(line)
        return b"".join(lines)


class LogBufferHandler(logging.Handler):
    """Formats the records that a buffer accepts and adds them to it.

    Parameters
    ----------
    buffer : LogBuffer
        Buffer for the formatted lines.
    """

    def __init__(self, *, buffer: LogBuffer) -> None:
        super().__init__()
        self.buffer = buffer

    def emit(self, record: logging.LogRecord) -> None:
        """Add a record to the buffer if it is accepted."""
        if self.buffer.accepts(record.levelno):
            line = self.format(record).encode("utf-8", "replace") + b"\n"
            self.buffer.add(line)
