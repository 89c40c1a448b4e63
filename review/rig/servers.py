"""Stand-in for an application server."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .wire import Head, Message, read_head, render

READ_CHUNK_BYTES = 65_536


class Run(NamedTuple):
    """A request that a server began to work on; `at` is in monotonic seconds."""

    request_id: str
    server: str
    at: float
    headers: dict[str, str]


class AppServer:
    """Runs requests and keeps a ledger of them.

    Parameters
    ----------
    name : str
        Identifier under which it registers.
    service : str
        Its service.
    slots : int
        Requests that run at the same time; as many again wait.

    Attributes
    ----------
    work_s : float
        Time of a run.
    read_bytes_per_s : float
        Speed at which a body is read; 0 for full speed.
    answer : callable
        Returns the body of an answer, given the request.
    runs : list of Run
        The ledger.
    arrived : set of str
        Identifiers of the requests whose heads have arrived.
    """

    def __init__(self, *, name: str, service: str, slots: int) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = 0.02
        self.read_bytes_per_s = 0.0
        self.answer: Callable[[Message], bytes] = lambda message: b"ok"
        self.before_answer: Callable[[Message], Awaitable[None]] | None = None
        self.runs: list[Run] = []
        self.arrived: set[str] = set()
        self.free = asyncio.Semaphore(slots)
        self.held = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self._accept, host, port, backlog=1024)

    def close(self) -> None:
        """End at once, as a process that is killed does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

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
                head = await read_head(reader)
                self.arrived.add(head.headers.get("request-id", ""))
                body = await self._read_body(reader, head)
                writer.write(await self._handle(Message(head, body)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, head: Head) -> bytes:
        left, parts = head.length, []
        while left:
            part = await reader.read(min(left, READ_CHUNK_BYTES))
            if not part:
                raise ConnectionResetError
            parts.append(part)
            left -= len(part)
            if self.read_bytes_per_s:
                await asyncio.sleep(len(part) / self.read_bytes_per_s)
        return b"".join(parts)

    async def _handle(self, message: Message) -> bytes:
        headers = message.head.headers
        request_id = headers.get("request-id")
        if request_id is None:
            return render("HTTP/1.1 400 -", {"Not-Executed": "1"})
        echo = {"Request-Id": request_id}
        if headers.get("expect-instance", self.name) != self.name:
            return render("HTTP/1.1 421 -", {**echo, "Instance-Id": self.name})
        if self.held >= 2 * self.slots:
            return render("HTTP/1.1 503 -", {**echo, "Not-Executed": "1"})
        self.held += 1
        try:
            async with self.free:
                return await self._run(request_id, message, echo)
        finally:
            self.held -= 1

    async def _run(
        self, request_id: str, message: Message, echo: dict[str, str]
    ) -> bytes:
        headers = message.head.headers
        self.runs.append(Run(request_id, self.name, time.monotonic(), headers))
        time_left = int(headers.get("deadline-ms", "60000")) / 1e3
        try:
            async with asyncio.timeout(time_left):
                await asyncio.sleep(self.work_s)
                if self.before_answer is not None:
                    await self.before_answer(message)
        except TimeoutError:
            return render("HTTP/1.1 504 -", echo)
        sealed = {**echo, "Response-Seal": f"seal-{request_id}"}
        return render("HTTP/1.1 200 OK", sealed, self.answer(message))
