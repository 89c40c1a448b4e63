"""Stand-ins of clients, as PROTOCOL.md tells their manners."""

import asyncio
import itertools
import os
import socket
from dataclasses import dataclass, field

from .http import BrokenMessageError, Message, read_message, render
from .record import Record

HOST_HEADER = "app.example"
READ_LIMIT_BYTES = 1_048_576
STEP_S = 0.1
"""Interval at which a client on a slow network reads."""
RUN_MARK = os.urandom(4).hex()
NUMBERS = itertools.count(1)


def new_id() -> str:
    """Return the identifier of a new attempt."""
    return f"{RUN_MARK}{next(NUMBERS):08x}"


def request_bytes(
    path: str,
    request_id: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 5_000,
    key: str = "",
) -> bytes:
    """Return the bytes of a request; `key` is that of the client's tenant, if any."""
    headers = {
        "Host": HOST_HEADER,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
    }
    if key:
        headers["Credential"] = key
    return render(f"{method} {path} HTTP/1.1", headers, body)


@dataclass
class Outcome:
    """End of one request: a status, or None if the connection ended first."""

    request_id: str
    sent_at: float
    ended_at: float
    status: int | None
    message: Message | None = field(default=None, repr=False)


class KeptConnection:
    """A client that keeps its connection and sends one request at a time.

    Parameters
    ----------
    address : tuple
        Address of the relay.
    record : Record
        Where requests and answers are noted.
    name : str
        Name of the client in the record.
    key : str
        Key of the client's tenant, empty if it has none.
    """

    def __init__(
        self, *, address: tuple[str, int], record: Record, name: str, key: str = ""
    ) -> None:
        self.key = key
        self.address = address
        self.record = record
        self.name = name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5_000,
    ) -> Outcome:
        """Send one request and return how it ended."""
        request_id = new_id()
        sent_at = self.record.now
        self.record.note("sent", client=self.name, id=request_id, path=path)
        message = None
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.address)
            assert self.reader is not None
            data = request_bytes(
                path,
                request_id,
                method=method,
                body=body,
                deadline_ms=deadline_ms,
                key=self.key,
            )
            self.writer.write(data)
            async with asyncio.timeout(deadline_ms / 1e3 + 1.0):
                message = await read_message(self.reader)
        except (OSError, BrokenMessageError, TimeoutError):
            message = None
        status = None if message is None else int(message.start.split(" ")[1])
        if message is None or message.headers.get("connection") == "close":
            self.close()
        self.record.note(
            "answered" if message is not None else "cut",
            client=self.name,
            id=request_id,
            status=status,
        )
        return Outcome(request_id, sent_at, self.record.now, status, message)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def open_with_small_buffer(
    address: tuple[str, int], receive_bytes: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a small receive buffer, as a client on a slow network has."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=receive_bytes)


@dataclass
class PipelineResult:
    """What a client that sends requests without waiting has got."""

    statuses: dict[str, int] = field(default_factory=dict)
    read_bytes: int = 0
    cut: bool = False

    def count(self, status: str) -> None:
        """Count an answer."""
        self.statuses[status] = self.statuses.get(status, 0) + 1


async def send_pipeline(
    address: tuple[str, int],
    record: Record,
    *,
    name: str,
    paths: list[str],
    deadline_ms: int,
) -> PipelineResult:
    """Send requests at once on one connection and read their answers promptly."""
    result = PipelineResult()
    try:
        reader, writer = await asyncio.open_connection(*address, limit=READ_LIMIT_BYTES)
    except OSError:
        result.cut = True
        return result
    try:
        for path in paths:
            request_id = new_id()
            record.note("sent", client=name, id=request_id, path=path)
            writer.write(request_bytes(path, request_id, deadline_ms=deadline_ms))
        async with asyncio.timeout(deadline_ms / 1e3 + 1.0):
            for _ in paths:
                message = await read_message(reader)
                if message is None:
                    result.cut = True
                    break
                result.count(message.start.split(" ")[1])
                result.read_bytes += len(message.body)
                record.note(
                    "answered",
                    client=name,
                    id=message.headers.get("request-id"),
                    status=message.start.split(" ")[1],
                    bytes=len(message.body),
                )
    except (OSError, BrokenMessageError):
        result.cut = True
    except TimeoutError:
        result.count("none in time")
    finally:
        writer.close()
    record.note("pipeline_ended", client=name, cut=result.cut, got=result.statuses)
    return result


async def read_steadily(
    reader: asyncio.StreamReader,
    result: PipelineResult,
    *,
    bytes_per_s: float | None,
    seconds: float,
) -> None:
    """Read for a time at most at a rate, or as fast as bytes arrive without one."""
    part = READ_LIMIT_BYTES if bytes_per_s is None else int(bytes_per_s * STEP_S)
    try:
        async with asyncio.timeout(seconds):
            while data := await reader.read(part):
                result.read_bytes += len(data)
                if bytes_per_s is not None:
                    await asyncio.sleep(STEP_S)
            result.cut = True
    except TimeoutError:
        return
    except OSError:
        result.cut = True
