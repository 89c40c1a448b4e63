"""One connection to the target beside the relay.

It carries one exchange at a time. An answer that echoes the identifier of another
request, such as a late copy of the answer to an earlier one, is discarded; one without
any identifier is not accepted.
"""

import asyncio
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools

from ....protocol.http import get_header, is_final_status, is_interim_status
from ....protocol.messages import Headers
from ...http_parsing import (
    MAX_SKIPPED_ANSWERS,
    MessageCollector,
    MessageParser,
    ParserError,
    framing_fault,
)

if TYPE_CHECKING:
    from .target_pool import TargetPool

__all__ = ["FaultKind", "TargetAnswer", "TargetConnection", "TargetFault"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_JOINED_BYTES = 65_536
"""Size of a body that is written together with its head."""
FAILED_STATUS = 400
"""Lowest status after which a request may be sent to the target again."""
MAX_FAILED_REQUESTS = 64
"""Identifiers of failed requests that a connection keeps before it is replaced."""


class FaultKind(Enum):
    """Reason why an exchange has no usable answer."""

    UNREACHABLE = "no connection"
    """The request was not sent."""
    BROKEN = "connection closed before the answer was complete"
    """The request may have run."""
    UNUSABLE = "unusable answer"
    """The request may have run."""


class TargetAnswer(NamedTuple):
    """A target's complete answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class TargetFault(NamedTuple):
    """The failure of an exchange."""

    kind: FaultKind
    detail: str


class TargetConnection(asyncio.Protocol):
    """One connection of the pool."""

    def __init__(self, *, pool: "TargetPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.exchange: int | None = None
        self.request_id = b""
        self.failed_ids: set[bytes] = set()
        self.head_only = False
        self.delimited_by_close = False
        self.complete_answer: TargetAnswer | None = None
        self.reusable = False
        self.skipped_answers = 0
        self.idle_until = 0.0
        self._new_parser()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether no copy of an earlier answer can bear this identifier."""
        return request_id != self.request_id and request_id not in self.failed_ids

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from the classes of asyncio.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in progress, if any."""
        self.transport = None
        self.pool.discard(self)
        if self.delimited_by_close and exc is None and self.collector.head_complete:
            # An answer without a length ends when its connection closes.
            self._finish_answer(reusable=False)
            if self.complete_answer is not None:
                self._end_exchange()
                return
        self._fail(FaultKind.BROKEN, str(exc or "connection closed"))

    def eof_received(self) -> bool:
        """Let the transport close when the target half-closes the connection."""
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if self.exchange is None:
            # The target sent data without a request.
            self.abort()
            return
        try:
            self.feed(data)
        except (ParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            if self.complete_answer is None:
                self._fail(FaultKind.UNUSABLE, str(error))
        else:
            if self.collector.too_large and self.complete_answer is None:
                self._fail(FaultKind.UNUSABLE, "answer exceeds the size limit")
        if self.complete_answer is not None:
            # Data after the complete answer belongs to no request.
            self.reusable = self.reusable and self.collector.complete
            self._end_exchange()
        elif self.exchange is not None:
            self.pool.reading.note_progress(self)

    def send(
        self,
        exchange: int,
        request_id: bytes,
        head: bytes,
        body: bytes,
        *,
        head_only: bool,
    ) -> None:
        """Send the request of an exchange."""
        self.exchange = exchange
        self.request_id = request_id
        self.head_only = head_only
        self.delimited_by_close = False
        self.reusable = False
        self.skipped_answers = 0
        self.collector.reset()
        self.pool.requests_sent += 1
        assert self.transport is not None
        if len(body) <= MAX_JOINED_BYTES:
            self.transport.write(head + body)
            return
        # A joined copy of a large body would take as much memory again.
        self.transport.write(head)
        self.transport.write(body)

    def pause(self) -> None:
        """Stop reading, so that the target waits."""
        if self.is_open:
            assert self.transport is not None
            self.transport.pause_reading()

    def resume(self) -> None:
        """Go on reading."""
        if self.is_open:
            assert self.transport is not None
            self.transport.resume_reading()

    def abort(self) -> None:
        """Abort the connection; an exchange in progress ends without a report."""
        self.exchange = None
        self.collector.reset()
        self.pool.reading.note_end(self)
        if self.transport is not None:
            self.transport.abort()

    def _new_parser(self) -> None:
        self.collector = MessageCollector(
            max_body_bytes=MAX_ANSWER_BYTES,
            on_message=self._message_complete,
            on_head=self._head_complete,
            buffers=self.pool.buffers,
        )
        self.parser = httptools.HttpResponseParser(self.collector)
        self.feed = MessageParser(parser=self.parser, collector=self.collector).feed

    def _head_complete(self) -> None:
        status = self.parser.get_status_code()
        if is_interim_status(status):
            return
        if not is_final_status(status) and not self._answers_another():
            self._fail(FaultKind.UNUSABLE, f"status {status:03}")
            return
        names = {name for name, _ in self.collector.pairs}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        self.delimited_by_close = not has_length
        if self.head_only and has_length:
            self._finish_answer(reusable=False)

    def _message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.exchange is None:
            return
        if self.complete_answer is not None:
            # A second answer belongs to no request.
            self.reusable = False
            return
        if is_interim_status(status):
            self._skip_answer()
            return
        bodyless = status in (204, 304)
        if self.delimited_by_close and not bodyless and self.transport is not None:
            return
        self._finish_answer(reusable=self.parser.should_keep_alive())

    def _finish_answer(self, *, reusable: bool) -> None:
        if self.collector.too_large:
            self._fail(FaultKind.UNUSABLE, "answer exceeds the size limit")
            return
        headers = self.collector.headers
        fault = framing_fault(headers)
        if fault is not None:
            self._fail(FaultKind.UNUSABLE, fault)
            return
        answered_id = get_header(headers, self.pool.names.request_id)
        if answered_id is None and self.request_id:
            self._fail(FaultKind.UNUSABLE, "answer without the request's identifier")
            return
        if self._answers_another():
            self._skip_answer()
            return
        status = self.parser.get_status_code()
        self.complete_answer = TargetAnswer(status, headers, self.collector.body)
        self.reusable = reusable and not self.head_only

    def _answers_another(self) -> bool:
        """Return whether an answer states that it belongs to another request."""
        name = self.pool.names.request_id
        answered_id = get_header(self.collector.headers, name)
        return answered_id is not None and answered_id != self.request_id

    def _skip_answer(self) -> None:
        """Discard an interim answer, or one to another request."""
        self.collector.reset()
        self.delimited_by_close = False
        self.skipped_answers += 1
        if self.skipped_answers > MAX_SKIPPED_ANSWERS:
            self._fail(FaultKind.UNUSABLE, "other answers without an end")

    def _end_exchange(self) -> None:
        exchange, answer = self.exchange, self.complete_answer
        self.collector.reset()
        self.exchange = None
        self.complete_answer = None
        self.pool.reading.note_end(self)
        if exchange is None or answer is None:
            return
        if answer.status >= FAILED_STATUS:
            self.failed_ids.add(self.request_id)
        if self.reusable and len(self.failed_ids) < MAX_FAILED_REQUESTS:
            self.pool.release(self, answer.headers)
        elif self.transport is not None:
            self.transport.close()
        self.pool.end(exchange, answer)

    def _fail(self, kind: FaultKind, detail: str) -> None:
        exchange = self.exchange
        self.abort()
        if exchange is not None:
            self.pool.end(exchange, TargetFault(kind, detail))
