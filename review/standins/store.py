"""Stand-in for the platform's store: items, ranges and watches."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .http import read_message

__all__ = ["Store"]


class Store:
    """Keeps items by key and tells watches of their changes.

    Attributes
    ----------
    watches_cut : int
        Number of waiting watches that were cut so far.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.cut = asyncio.Event()
        self.watches_cut = 0
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen on an address, ``ip:port``."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, key: str, document: dict[str, object]) -> None:
        """Write an item; it is acknowledged when this returns."""
        self.put_bytes(key, json.dumps(document).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write an item with any value."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item: dict[str, object] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": created,
            "leaseId": 0,
        }
        self.items[key] = item
        self._announce(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        del self.items[key]
        self.revision += 1
        self._announce({"key": key, "rev": self.revision, "deleted": True})

    def cut_watches(self) -> None:
        """Close the connections of all watches that wait; later ones are served."""
        self.cut.set()
        self.cut = asyncio.Event()
        self.changed.set()
        self.changed = asyncio.Event()

    def _announce(self, event: dict[str, object]) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                parts = urlsplit(request.path)
                query = {n: v[0] for n, v in parse_qs(parts.query).items()}
                body = await self._answer(parts.path, query)
                if body is None:
                    self.watches_cut += 1
                    break
                data = json.dumps(body).encode()
                head = (
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str]
    ) -> dict[str, object] | None:
        """Return the body of a response; None if the connection is to be closed."""
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix))
            items = [self.items[key] for key in keys if key > query.get("after", "")]
            return {"items": items, "hasMore": False, "at": self.revision}
        return await self._watch(prefix, int(query["after"]), int(query["waitMs"]))

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> dict[str, object] | None:
        until = time.monotonic() + wait_ms / 1e3
        cut = self.cut
        while True:
            changed = self.changed
            events = [
                each
                for each in self.events
                if int(str(each["rev"])) > after and str(each["key"]).startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0.0:
                return {"events": events, "at": self.revision}
            if cut.is_set():
                return None
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
