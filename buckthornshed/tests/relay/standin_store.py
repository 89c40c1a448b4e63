"""Stand-in for the platform's store with ranges, watches and failure modes."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit


class StandinStore:
    """Holds items in memory and serves reads over HTTP/1.1.

    Attributes
    ----------
    mode : str
        ``up``, or how requests fail: ``busy`` (status 503), ``many`` (status 429),
        ``reset`` (connection aborted) or ``silent`` (no response).
    era : int
        Number of the copy that the store runs from, sent in all its responses.
    before_range : coroutine function or None
        Awaited before the answer to each read of a range.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.oldest_revision = 10
        self.mode = "up"
        self.page_size = 500
        self.calls = []
        self.era = 1
        self.before_range = None
        self.changed = asyncio.Condition()
        self.waiting = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def open(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self):
        if self.server is not None:
            self.server.close()

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (self.revision, base64.b64encode(data).decode())
        await self._record(key)

    async def delete(self, key):
        self.revision += 1
        del self.items[key]
        await self._record(key)

    async def drop_history(self):
        self.history.clear()
        self.oldest_revision = self.revision
        async with self.changed:
            self.changed.notify_all()

    def cut_watches(self):
        """Abort the connections of all watches that wait; return how many."""
        waiting = list(self.waiting)
        for writer in waiting:
            writer.transport.abort()
        return len(waiting)

    def copy(self):
        """Return a copy of the contents, for `restore`."""
        return self.revision, dict(self.items), list(self.history)

    async def restore(self, copy):
        """Go back to a copy; revisions after it are given out again."""
        revision, items, history = copy
        self.revision, self.items, self.history = revision, dict(items), list(history)
        self.era += 1
        async with self.changed:
            self.changed.notify_all()

    async def _record(self, key):
        self.history.append((self.revision, self._event(key)))
        async with self.changed:
            self.changed.notify_all()

    def _event(self, key):
        if key not in self.items:
            return {"key": key, "rev": self.revision, "deleted": True}
        rev, value = self.items[key]
        return {"key": key, "value": value, "rev": rev, "created": rev, "leaseId": 0}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                self.calls.append(path)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if path.startswith("/kv-watch"):
                    self.waiting.add(writer)
                status, body = await self._answer(path)
                self.waiting.discard(writer)
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"store-era: %d\r\ncontent-length: %d\r\n\r\n%s"
                    % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
        finally:
            self.waiting.discard(writer)

    async def _answer(self, path):
        error_statuses = {"busy": 503, "many": 429}
        if self.mode in error_statuses:
            return error_statuses[self.mode], {"error": self.mode}
        parts = urlsplit(path)
        query = {
            name: values[0] for name, values in parse_qs(parts.query, True).items()
        }
        if parts.path == "/kv-range":
            if self.before_range is not None:
                await self.before_range()
            return 200, self._range(query)
        return await self._watch(query)

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > after]
        page = keys[: self.page_size]
        return {
            "items": [self._event(key) for key in page],
            "hasMore": len(keys) > len(page),
            "at": self.revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        if not self.oldest_revision <= after <= self.revision:
            return 410, {"error": "history is gone"}
        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1e3):
                while not self._events(query["prefix"], after):
                    async with self.changed:
                        await self.changed.wait()
                    if after < self.oldest_revision:
                        return 410, {"error": "history is gone"}
        except TimeoutError:
            pass
        return 200, {
            "events": self._events(query["prefix"], after),
            "at": self.revision,
        }

    def _events(self, prefix, after):
        return [
            event
            for revision, event in self.history
            if revision > after and event["key"].startswith(prefix)
        ]
