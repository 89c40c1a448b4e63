"""Stand-in for an application server: runs one request at a time on a connection."""

import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from .http import Message, read_message
from .record import Record

__all__ = ["Reply", "Run", "Server"]


class Reply(NamedTuple):
    """How a server handles a request: seconds of work, then the body."""

    work_s: float
    body: bytes = b"done"


class Run(NamedTuple):
    """Begin of the work on a request, in seconds since the start of the case."""

    at: float
    request_id: str


class Server:
    """One incarnation of a server.

    Parameters
    ----------
    name : str
        Identifier, which other servers' requests do not name.
    record : Record
        Record of the case.
    reply : callable
        Returns how a request is handled.

    Attributes
    ----------
    runs : list of Run
        Requests that the server began to work on.
    """

    def __init__(
        self, *, name: str, record: Record, reply: Callable[[Message], Reply]
    ) -> None:
        self.name = name
        self.record = record
        self.reply = reply
        self.runs: list[Run] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen on an address, ``ip:port``."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def exit(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._run(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            head = f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
            writer.write(f"{head}content-length: 0\r\n\r\n".encode())
            return
        at = self.record.write("run", server=self.name, request=request_id)
        self.runs.append(Run(at, request_id))
        reply = self.reply(request)
        await asyncio.sleep(reply.work_s)
        seal = hashlib.sha256(reply.body).hexdigest()[:16]
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: {seal}\r\n"
            f"content-length: {len(reply.body)}\r\n\r\n"
        )
        writer.write(head.encode() + reply.body)
        await writer.drain()
        self.record.write("ran", server=self.name, request=request_id)
