"""Stand-in for the platform's store: ranges, single keys and watches."""

import asyncio
import base64
import json
import time
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from .wire import Head, read_head, render

PAGE_ITEMS = 500
FIRST_REVISION = 100
HISTORY_S = 20.0
"""Time for which changes are kept for watches."""


class Item(NamedTuple):
    """A value and the revisions of its last change and its creation."""

    value: bytes
    rev: int
    created: int


class Store:
    """Keeps items in memory and serves reads of them.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    reads : int
        Calls that were answered.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.events: list[dict[str, object]] = []
        self.times: list[float] = []
        self.dropped_up_to = FIRST_REVISION
        self.revision = FIRST_REVISION
        self.changed = asyncio.Event()
        self.reads = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self._accept, host, port)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def put(self, key: str, value: bytes) -> int:
        """Write an item; return its revision."""
        self.revision += 1
        old = self.items.get(key)
        created = self.revision if old is None else old.created
        self.items[key] = Item(value, self.revision, created)
        self._add_event(self._show(key))
        return self.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "rev": self.revision, "deleted": True})

    def _add_event(self, event: dict[str, object]) -> None:
        self.events.append(event)
        self.times.append(time.monotonic())
        while self.times[0] < time.monotonic() - HISTORY_S:
            self.times.pop(0)
            self.dropped_up_to = int(str(self.events.pop(0)["rev"]))
        self.changed.set()
        self.changed = asyncio.Event()

    def _show(self, key: str) -> dict[str, object]:
        item = self.items[key]
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "rev": item.rev,
            "created": item.created,
            "leaseId": 0,
        }

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                status, body = await self._answer(await read_head(reader))
                data = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(render(f"HTTP/1.1 {status} -", headers, data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head: Head) -> tuple[int, dict[str, object]]:
        self.reads += 1
        url = urlsplit(head.start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            return 200, self._range(query)
        if url.path == "/kv-watch":
            if int(query["after"]) < self.dropped_up_to:
                return 410, {}
            return 200, await self._watch(query)
        key = query.get("key", "")
        if url.path == "/kv-key" and key in self.items:
            return 200, {**self._show(key), "at": self.revision}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self._show(key) for key in page],
            "hasMore": len(keys) > len(page),
            "at": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1e3
        while True:
            changed = self.changed
            events = [
                event
                for event in self.events
                if int(str(event["rev"])) > after
                and str(event["key"]).startswith(prefix)
            ]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0.0:
                return {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
