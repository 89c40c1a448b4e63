"""Stand-in of the platform's store: ranges and watches, as PROTOCOL.md tells them."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from .http import BrokenMessageError, read_message, render

PAGE_ITEMS = 500
MIN_WAIT_S = 0.001


class Store:
    """Keys with revisions; every change is kept as history."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self.changed = asyncio.Event()
        self.calls = 0
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def put(self, key: str, value: object) -> None:
        """Write a value; the change is acknowledged when this returns."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": text,
            "rev": self.revision,
            "created": created,
            "leaseId": 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "rev": self.revision, "deleted": True})

    def _publish(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                self.calls += 1
                writer.write(await self._answer(message.start.split(" ")[1]))
                await writer.drain()
        except (BrokenMessageError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> bytes:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            body: object = self._range(query.get("prefix", ""), query.get("after", ""))
        elif url.path == "/kv-watch":
            body = await self._watch(
                query.get("prefix", ""),
                int(query.get("after", "0")),
                int(query.get("waitMs", "0")) / 1e3,
            )
        else:
            body = self.items.get(query.get("key", ""))
        status = "404 Not Found" if body is None else "200 OK"
        headers = {"Content-Type": "application/json"}
        return render(f"HTTP/1.1 {status}", headers, json.dumps(body).encode())

    def _range(self, prefix: str, after: str) -> dict[str, object]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self.items[key] for key in page],
            "hasMore": len(keys) > len(page),
            "at": self.revision,
        }

    async def _watch(self, prefix: str, after: int, wait: float) -> dict[str, object]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if str(event["key"]).startswith(prefix)
                and int(str(event["rev"])) > after
            ]
            left = ends_at - loop.time()
            if events or left < MIN_WAIT_S:
                return {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
