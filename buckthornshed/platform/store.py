"""HTTP client of the platform's store: ranges of items and watches."""

import asyncio
import base64
import binascii
import logging
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote

import msgspec

from ..errors import PlatformError
from ..protocol.decoding import DECODE_ERRORS
from ..protocol.foreign_objects import read_json, usable_numbers
from ..protocol.messages import Fault
from ..transport.http_client import ConnectionPool, ExchangeHandlers, RawAnswer
from ..transport.logs import log_event
from .wire import is_history_lost, read_era

__all__ = [
    "Change",
    "ChangeBatch",
    "HistoryLostError",
    "ReadCutError",
    "StoreClient",
    "StoreRestoredError",
]

READ_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 0.6
"""Time that a watch may take in addition to its wait time before it times out."""
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_RANGE_ITEMS = 100_000


class HistoryLostError(PlatformError):
    """The store no longer has the changes after the revision of a watch."""


class StoreRestoredError(HistoryLostError):
    """The store has returned from an old copy and gives out revisions again."""


class ConnectionEndedError(PlatformError):
    """The connection of a call ended before the answer was complete."""


class AnswerTooLargeError(PlatformError):
    """An answer exceeds the size limit, and would again."""


class ReadCutError(PlatformError):
    """The connection of a watch was closed early, or that of a read became silent."""


class Change(NamedTuple):
    """A key and its value, which is None if the key was deleted."""

    key: str
    value: bytes | None


class ChangeBatch(NamedTuple):
    """Changes and the revision of the store from which to watch for further ones."""

    changes: tuple[Change, ...]
    revision: int


class Item(msgspec.Struct):
    """An item or a change event; `rev` is the revision of the item's last change."""

    key: str
    rev: int | float
    value: str | None = None
    deleted: bool = False


class Page(msgspec.Struct):
    """One page of a range; `at` is the revision of the store.

    Items are decoded one by one, so that one that cannot be read hides no other.
    """

    items: list[msgspec.Raw]
    at: int
    more: bool = msgspec.field(name="hasMore", default=False)


class Events(msgspec.Struct):
    """Response to a watch; `at` is the revision from which to continue."""

    events: list[msgspec.Raw]
    at: int


Body = TypeVar("Body", Page, Events)

ITEM_FIELDS = {"items", "events"}
PAGE_DECODER = msgspec.json.Decoder(Page)
EVENTS_DECODER = msgspec.json.Decoder(Events)
ITEM_DECODER = msgspec.json.Decoder(Item)


class StoreClient:
    """Reads the platform's store.

    Parameters
    ----------
    address : str
        Address of the store, ``ip:port``.
    clock : callable
        Returns seconds of the monotonic clock.

    Attributes
    ----------
    calls : int
        Number of calls to the store so far.
    era : int or None
        Number of the copy that the store runs from; None if it has stated none.
    """

    def __init__(self, *, address: str, clock: Callable[[], float]) -> None:
        self.address = address
        self.pool = ConnectionPool(
            max_body_bytes=MAX_BODY_BYTES, max_idle=4, clock=clock
        )
        self.last_exchange = 0
        self.calls = 0
        self.era: int | None = None

    async def range(self, prefix: str) -> ChangeBatch:
        """Read all items under a prefix, page by page.

        Raises
        ------
        StoreRestoredError
            If the store has returned from an old copy since the last answer.
        ReadCutError
            If nothing arrives.
        PlatformError
            If the store does not answer, or answers with an error or invalid data.
        """
        changes: list[Change] = []
        revision: int | None = None
        after = ""
        while True:
            query = f"/kv-range?prefix={quote(prefix, safe='/')}"
            if after:
                query += f"&after={quote(after, safe='/')}"
            page = _decode(PAGE_DECODER, await self._get(query, READ_TIMEOUT_S))
            # Pages can be of different revisions. A watch from the revision of the
            # first page misses no change made between pages.
            revision = page.at if revision is None else revision
            page_changes = _read_items(page.items)
            changes += page_changes
            if not page.more or not page.items:
                return ChangeBatch(tuple(changes), revision)
            last = page_changes[-1].key if page_changes else ""
            if last <= after or len(changes) > MAX_RANGE_ITEMS:
                raise self._error("pages without an end", "a last page")
            after = last

    async def watch(
        self, prefix: str, after: int, wait: float, margin: float = WATCH_MARGIN_S
    ) -> ChangeBatch:
        """Wait at most `wait` seconds for changes after a revision.

        The store has `margin` seconds more to answer.

        Raises
        ------
        ReadCutError
            If the connection is closed before the wait is over, or nothing arrives.
        HistoryLostError
            If the store no longer has the changes after that revision, or leaves
            them out, or has more than an answer may contain.
        StoreRestoredError
            If the store has returned from an old copy since the last answer.
        PlatformError
            If the store does not answer, or answers with an error or invalid data.
        """
        query = (
            f"/kv-watch?prefix={quote(prefix, safe='/')}"
            f"&after={after}&waitMs={int(wait * 1e3)}"
        )
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            body = await self._get(query, wait + margin)
        except ConnectionEndedError as error:
            waited = loop.time() - begun
            if waited > wait:
                raise
            raise ReadCutError(
                subject=error.subject,
                found=f"the connection closed after {waited:.3f} s",
                expected=f"events within {wait} s",
            ) from error
        except AnswerTooLargeError as error:
            # The same question would get the same answer. A range has pages.
            raise HistoryLostError(
                subject=error.subject,
                found="more changes than an answer may contain",
                expected=f"events after revision {after}",
            ) from error
        events = _decode(EVENTS_DECODER, body)
        if events.at < after:
            # An answer to an earlier watch; the one to this watch may still come.
            self.pool.close_idle()
            raise HistoryLostError(
                subject=f"store at {self.address}",
                found=f"events up to revision {events.at}",
                expected=f"events after revision {after}",
            )
        if not prefix and not events.events and events.at > after:
            # Each revision is a change of some key, so this answer lacks changes.
            raise HistoryLostError(
                subject=f"store at {self.address}",
                found=f"no events up to revision {events.at}",
                expected=f"events after revision {after}",
            )
        return ChangeBatch(tuple(_read_items(events.events)), events.at)

    async def _get(self, query: str, timeout: float) -> bytes:
        loop = asyncio.get_running_loop()
        answer_future: asyncio.Future[RawAnswer] = loop.create_future()
        self.last_exchange += 1
        self.calls += 1
        exchange = self.last_exchange

        def on_answer(_: int, answer: RawAnswer) -> None:
            if not answer_future.done():
                answer_future.set_result(answer)

        def on_fault(fault: Fault) -> None:
            if not answer_future.done():
                answer_future.set_exception(self._fault_error(fault))

        request = f"GET {query} HTTP/1.1\r\nhost: {self.address}\r\n\r\n"
        self.pool.send(
            exchange=exchange,
            address=self.address,
            data=request.encode(),
            head_only=False,
            handlers=ExchangeHandlers(on_answer, on_fault),
        )
        try:
            async with asyncio.timeout(timeout):
                answer = await answer_future
        except TimeoutError as error:
            raise ReadCutError(
                subject=f"store at {self.address}",
                found=f"nothing within {timeout:.3f} s",
                expected="an answer",
            ) from error
        finally:
            # After a timeout this closes the connection, as the answer may still come.
            self.pool.cancel(exchange)
        self._check_era(answer)
        if is_history_lost(answer.status):
            raise HistoryLostError(
                subject="store", found="history dropped", expected="events"
            )
        if answer.status != 200:
            raise self._error(f"status {answer.status}", "status 200")
        return answer.body

    def _check_era(self, answer: RawAnswer) -> None:
        """Compare the copy that an answer is from with that of earlier answers."""
        era = read_era(answer.headers)
        previous = self.era
        if era is None or era == previous:
            return
        if previous is not None and era < previous:
            raise self._error(
                f"an answer of the earlier copy {era}", f"copy {previous}"
            )
        self.era = era
        if previous is not None:
            raise StoreRestoredError(
                subject=f"store at {self.address}",
                found=f"copy {era}",
                expected=f"copy {previous}",
            )

    def _fault_error(self, fault: Fault) -> PlatformError:
        if fault.too_large:
            error_type: type[PlatformError] = AnswerTooLargeError
        else:
            error_type = ConnectionEndedError if fault.closed else PlatformError
        return error_type(
            subject=f"store at {self.address}", found=fault.detail, expected="an answer"
        )

    def _error(self, found: str, expected: str) -> PlatformError:
        return PlatformError(
            subject=f"store at {self.address}", found=found, expected=expected
        )


def _decode(decoder: msgspec.json.Decoder[Body], data: bytes) -> Body:
    try:
        return decoder.decode(data)
    except DECODE_ERRORS:
        pass
    try:
        return decoder.decode(_in_usable_form(data))
    except (*DECODE_ERRORS, ValueError) as error:
        raise PlatformError(
            subject="store", found=str(error), expected="items or events"
        ) from error


def _in_usable_form(data: bytes) -> bytes:
    """Return an answer in a form that can be decoded.

    Null takes the place of items that are no text, an integer that of a revision that
    is written with a fraction.

    Raises
    ------
    ValueError, RecursionError
        If the answer is not JSON, or nested too deeply.
    """
    body = read_json(data)
    if isinstance(body, dict):
        for name in ITEM_FIELDS & body.keys():
            if isinstance(body[name], list):
                body[name] = [_if_readable(item) for item in body[name]]
        body |= {name: usable_numbers(body[name]) for name in {"at"} & body.keys()}
    try:
        return msgspec.json.encode(body)
    except TypeError as error:
        raise ValueError(str(error)) from error


def _if_readable(item: Any) -> Any:
    try:
        msgspec.json.encode(item)
    except (TypeError, ValueError):
        return None
    return item


def _read_items(items: list[msgspec.Raw]) -> list[Change]:
    """Return the changes that can be read."""
    changes: list[Change] = []
    for item in items:
        try:
            changes.append(_to_change(ITEM_DECODER.decode(item)))
        except DECODE_ERRORS as error:
            log_event("store_item_ignored", level=logging.WARNING, error=str(error))
    return changes


def _to_change(item: Item) -> Change:
    if item.deleted or item.value is None:
        return Change(item.key, None)
    try:
        return Change(item.key, base64.b64decode(item.value, validate=True))
    except (binascii.Error, ValueError):
        # An empty value decodes to no document, so the reader reports the key.
        return Change(item.key, b"")
