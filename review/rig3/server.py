"""Stand-in of an application server, as PROTOCOL.md tells its manners."""

import asyncio
import contextlib
import hashlib
import os
import re
import secrets
import time
from urllib.parse import unquote

from .http import BrokenMessageError, Message, read_message, render
from .record import Record
from .store import Store

WORK = re.compile(r"/work-([0-9]+)(?=/|$)")
"""Part of a path that states the milliseconds of work."""
SIZE = re.compile(r"/bytes-([0-9]+)(?=/|$)")
"""Part of a path that states the bytes of the answer."""
CALL = re.compile(r"/call-([a-z]+)(?=/|$)")
"""Part of a path that names the route of a call that the run makes."""
CALL_DEADLINE_MS = 2_000
POOL_BYTES = 8 * 1024 * 1024
POOL = os.urandom(POOL_BYTES)
"""Bytes that answers are cut from; they cannot be compressed."""


class AppServer:
    """One server of a service; it drops a request when its connection closes.

    Parameters
    ----------
    name, service, zone : str
        What it registers.
    host : str
        Loopback address of its machine.
    port : int
        Port that it listens on.
    slots : int
        Requests that it runs at once; it rejects the others.
    record : Record
        Where runs are noted.
    slow_factor : float
        Factor on the time of work.

    Attributes
    ----------
    runs : dict
        Number of runs by `Request-Id`.
    outbound : tuple or None
        Address of the relay on its machine, to which it sends its calls.
    call_statuses : list of tuple
        Status of each of its calls, and whether the answer had a seal.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        slots: int,
        record: Record,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.slots = slots
        self.record = record
        self.slow_factor = 1.0
        self.running = 0
        self.state = "ready"
        self.beating = True
        self.sequence = 0
        self.born = int(time.time() * 1e3)
        self.runs: dict[str, int] = {}
        self.arrived_at: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.outbound: tuple[str, int] | None = None
        self.call_statuses: list[tuple[int, bool]] = []

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1_024
        )

    def registration(self) -> dict[str, object]:
        """Return the entry of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftS": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def beat(self, store: Store, interval: float) -> None:
        """Write heartbeats to the store until cancelled."""
        while self.beating:
            store.put(f"servers/{self.name}", self.registration())
            await asyncio.sleep(interval)

    async def end(self) -> None:
        """End at once, with all connections."""
        self.record.say("server_ends", server=self.name, running=self.running)
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self._run_while_connected(message, reader)
                writer.write(answer)
                await writer.drain()
        except (BrokenMessageError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run_while_connected(
        self, message: Message, reader: asyncio.StreamReader
    ) -> bytes:
        """Run a request, or drop it when its connection closes."""
        run = asyncio.ensure_future(self._answer(message))
        closed = asyncio.ensure_future(self._wait_for_close(reader))
        await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
        if run.done():
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            return run.result()
        run.cancel()
        request_id = message.headers.get("request-id", "")
        self.record.note("dropped", server=self.name, id=request_id)
        raise BrokenMessageError("the caller has closed the connection")

    async def _wait_for_close(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def _answer(self, message: Message) -> bytes:
        method, target, _ = message.start.split(" ", 2)
        if target == "/health":
            return render("HTTP/1.1 200 OK", {"Instance-Id": self.name})
        headers = message.headers
        request_id = headers.get("request-id", "")
        echoed = {"Request-Id": request_id}
        if headers.get("expect-instance", self.name) != self.name:
            own = {"Instance-Id": self.name}
            return render("HTTP/1.1 421 Misdirected Request", echoed | own)
        if self.running >= self.slots:
            shed = {"Not-Executed": "1"}
            return render("HTTP/1.1 503 Service Unavailable", echoed | shed)
        return await self._run(method, unquote(target), message, echoed)

    async def _run(
        self, method: str, path: str, message: Message, echoed: dict[str, str]
    ) -> bytes:
        request_id = echoed["Request-Id"]
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.arrived_at[request_id] = self.record.now
        self.record.note(
            "run",
            server=self.name,
            id=request_id,
            method=method,
            path=path,
            bytes=len(message.body),
            digest=hashlib.blake2b(message.body, digest_size=8).hexdigest(),
            caller=message.headers.get("caller-service", "-"),
            left=message.headers.get("deadline-ms", "-"),
        )
        try:
            work = WORK.search(path)
            if work is not None:
                await asyncio.sleep(self.slow_factor * int(work[1]) / 1e3)
            call = CALL.search(path)
            if call is not None and not await self._call(call[1]):
                seal = {"Response-Seal": f"{self.name}.0"}
                self.record.note("failed", server=self.name, id=request_id)
                return render("HTTP/1.1 500 Internal Server Error", echoed | seal)
        finally:
            self.running -= 1
        size = SIZE.search(path)
        body = answer_body(request_id, 100 if size is None else int(size[1]))
        seal = {"Response-Seal": f"{self.name}.{len(body)}"}
        self.record.note("ran", server=self.name, id=request_id, bytes=len(body))
        return render("HTTP/1.1 200 OK", echoed | seal, body)

    async def _call(self, route: str) -> bool:
        """Make a call through the system; return whether it succeeded."""
        assert self.outbound is not None
        call_id = secrets.token_hex(8)
        headers = {
            "Host": "app.example",
            "Request-Id": call_id,
            "Deadline-Ms": str(CALL_DEADLINE_MS),
        }
        reader, writer = await asyncio.open_connection(*self.outbound)
        try:
            writer.write(render(f"GET /{route}/work-5/x HTTP/1.1", headers))
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return False
        status = int(message.start.split(" ")[1])
        sealed = "response-seal" in message.headers
        self.call_statuses.append((status, sealed))
        self.record.note(
            "call", server=self.name, id=call_id, status=status, sealed=sealed
        )
        return status == 200


def answer_body(request_id: str, size: int) -> bytes:
    """Return the whole body of the answer to a request."""
    start = int.from_bytes(hashlib.blake2b(request_id.encode()).digest()[:4], "big")
    offset = start % (POOL_BYTES // 2)
    return (
        (POOL[offset:] + POOL)[:size]
        if size > POOL_BYTES // 2
        else POOL[offset : offset + size]
    )
