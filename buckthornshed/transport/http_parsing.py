"""Assembly of HTTP/1.1 messages from the callbacks of the parser library.

Whoever sends a message may never end it: a header line, the trailer of a body, empty
lines before the first one. The parser reports none of these before they are complete,
so the bytes that it keeps are counted here.
"""

from collections.abc import Callable

import httptools

from ..protocol.messages import Headers
from .buffer_budget import BufferBudget

__all__ = [
    "MAX_HEADERS",
    "MAX_HEAD_BYTES",
    "MAX_SKIPPED_ANSWERS",
    "MessageCollector",
    "MessageParser",
    "ParserError",
    "framing_fault",
]

MAX_HEAD_BYTES = 32_768
MAX_HEADERS = 100
HEAD_MARGIN_BYTES = 1_024
"""Allowance for the first line and the separators between headers."""
MAX_FEED_BYTES = 16_384
"""Bytes that are parsed at once, as only whole parts without a callback are counted."""
MAX_SMALL_PARTS = 4_096
MIN_PART_BYTES = 16
"""Mean size of the parts of a body beyond `MAX_SMALL_PARTS`.

Each part takes time, so a sender of tiny ones could keep the process busy.
"""
MAX_SKIPPED_ANSWERS = 16
"""Interim answers, or answers to other requests, before the one that is awaited."""


class MessageCollector:
    """Receiver of the callbacks of an `httptools` parser; assembles one message.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of a body.
    on_message : callable
        Called without arguments when a message is complete.
    on_head : callable, optional
        Called without arguments when the head is complete.
    max_head_bytes : int
        Maximum size of a head.
    buffers : BufferBudget, optional
        Bounds the bytes of the bodies that several connections receive.

    Attributes
    ----------
    too_large : bool
        Whether the message exceeds a limit; what is left of it is not kept.
    dropped : bool
        Whether that limit is the one on the bytes of all connections.
    events : int
        Number of callbacks of the parser so far.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int,
        on_message: Callable[[], None],
        on_head: Callable[[], None] | None = None,
        max_head_bytes: int = MAX_HEAD_BYTES,
        buffers: BufferBudget | None = None,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_head_bytes = max_head_bytes
        self.message_callback = on_message
        self.head_callback = on_head
        self.buffers = buffers
        self.body_bytes = 0
        self.events = 0
        self.reset()

    def reset(self) -> None:
        """Discard the message assembled so far."""
        if self.buffers is not None and self.body_bytes:
            self.buffers.release(self)
        self.url = b""
        self.pairs: list[tuple[bytes, bytes]] = []
        self.buffer = bytearray()
        self.head_bytes = 0
        self.body_bytes = 0
        self.body_parts = 0
        self.complete = False
        self.head_complete = False
        self.too_large = False
        self.dropped = False

    @property
    def headers(self) -> Headers:
        """Headers of the message, with names in lower case."""
        return tuple(self.pairs)

    @property
    def body(self) -> bytes:
        """Body of the message as received so far."""
        return bytes(self.buffer)

    def overflow(self) -> None:
        """Drop the body, as all connections together hold too much."""
        self.dropped = True
        self.refuse()

    def refuse(self) -> None:
        """Drop the body and mark the message as too large."""
        self.too_large = True
        self.buffer = bytearray()

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.events += 1
        self.reset()

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.events += 1
        self._count_head(len(part))
        if not self.too_large:
            self.url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are counted, but not kept."""
        self.events += 1
        self._count_head(len(name) + len(value))
        if len(self.pairs) >= MAX_HEADERS:
            self.too_large = True
        if not self.too_large and not self.head_complete:
            self.pairs.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Report that the head is complete."""
        self.events += 1
        self.head_complete = True
        if self.head_callback is not None:
            self.head_callback()

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.events += 1
        self.body_bytes += len(part)
        self.body_parts += 1
        too_many = self.body_parts > MAX_SMALL_PARTS + self.body_bytes / MIN_PART_BYTES
        if too_many or self.body_bytes > self.max_body_bytes:
            self.refuse()
        if self.too_large:
            return
        self.buffer += part
        if self.buffers is not None:
            self.buffers.hold(self, len(part))

    def on_message_complete(self) -> None:
        """Report that the message is complete."""
        self.events += 1
        self.complete = True
        self.message_callback()

    def _count_head(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.max_head_bytes:
            self.too_large = True


class MessageParser:
    """Parser that gives up a message of which it keeps too many unreported bytes.

    Parameters
    ----------
    parser : HttpRequestParser or HttpResponseParser
        Parser of the library, which calls the collector.
    collector : MessageCollector
        Assembles the messages. It is marked as too large if the parser has received
        more than the size of a head without a callback.
    """

    def __init__(
        self,
        *,
        parser: httptools.HttpRequestParser | httptools.HttpResponseParser,
        collector: MessageCollector,
    ) -> None:
        self.parser = parser
        self.collector = collector
        self.unreported_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        ParserError
            If they are not HTTP/1.1.
        httptools.HttpParserUpgrade
            If the message asks for an upgrade.
        """
        for begin in range(0, len(data), MAX_FEED_BYTES):
            self._feed_part(data[begin : begin + MAX_FEED_BYTES])

    def _feed_part(self, part: bytes) -> None:
        collector = self.collector
        events = collector.events
        self.parser.feed_data(part)
        if collector.events != events:
            self.unreported_bytes = 0
            return
        self.unreported_bytes += len(part)
        if self.unreported_bytes > collector.max_head_bytes + HEAD_MARGIN_BYTES:
            collector.refuse()


def framing_fault(headers: Headers) -> str | None:
    """Return why the framing of a message is ambiguous, or None.

    Two parties that interpret such framing differently can be made to see different
    messages (request smuggling, RFC 9112 section 11.2).
    """
    counts = dict.fromkeys(FRAMING_CHECKS, 0)
    for name, value in headers:
        if name in counts:
            counts[name] += 1
            fault = FRAMING_CHECKS[name](value)
            if fault is not None:
                return fault
    repeated = [name.decode() for name, count in counts.items() if count > 1]
    if repeated:
        return f"more than one {repeated[0]}"
    if counts[b"content-length"] and counts[b"transfer-encoding"]:
        return "content-length beside transfer-encoding"
    return None


def _length_fault(value: bytes) -> str | None:
    return None if value.isdigit() else "a content-length that is not a number"


def _encoding_fault(value: bytes) -> str | None:
    if value.lower() == b"chunked":
        return None
    return "a transfer-encoding other than chunked"


FRAMING_CHECKS: dict[bytes, Callable[[bytes], str | None]] = {
    b"content-length": _length_fault,
    b"transfer-encoding": _encoding_fault,
    b"host": lambda value: None,
}
"""Headers that may occur once, each with a function that checks its value."""

ParserError = httptools.HttpParserError
"""Error that the parser raises for input that is not HTTP/1.1."""
