"""Stand-in for a client."""

import asyncio
import contextlib
import socket
import time
from typing import NamedTuple

from .wire import STREAM_LIMIT, read_head

CONNECT_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 65_536
WRITE_CHUNK_BYTES = 65_536
SMALL_WINDOW_BYTES = 32_768
DEADLINE_MARGIN_S = 0.5


class Outcome(NamedTuple):
    """How a request ended; `status` is 0 if its connection ended without an answer.

    `detail` tells why there is no answer. `seconds` is the time that it took.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    detail: str
    seconds: float


class Connection:
    """A kept connection of a client to the relay of its machine.

    Parameters
    ----------
    address : tuple
        Host and port of the relay.
    read_bytes_per_s : float
        Speed at which the body of an answer is read; 0 for full speed.
    write_bytes_per_s : float
        Speed at which requests are sent; 0 for full speed.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        read_bytes_per_s: float = 0.0,
        write_bytes_per_s: float = 0.0,
    ) -> None:
        self.address = address
        self.read_bytes_per_s = read_bytes_per_s
        self.write_bytes_per_s = write_bytes_per_s
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.reader is None or self.writer is None:
            sock = socket.socket()
            sock.setblocking(False)
            if self.read_bytes_per_s:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.sock_connect(sock, self.address)
            except BaseException:
                sock.close()
                raise
            self.reader, self.writer = await asyncio.open_connection(
                sock=sock, limit=STREAM_LIMIT
            )
        return self.reader, self.writer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(
        self,
        method: str,
        path: str,
        host: str,
        request_id: str,
        *,
        deadline_ms: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Send a request and wait for its answer until its deadline."""
        begun = time.monotonic()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            *(f"{name}: {value}" for name, value in (headers or {}).items()),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        try:
            async with asyncio.timeout(deadline_ms / 1e3 + DEADLINE_MARGIN_S):
                status, answer_headers, answer = await self._exchange(data)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.close()
            detail = type(error).__name__
            return Outcome(request_id, 0, {}, b"", detail, time.monotonic() - begun)
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        seconds = time.monotonic() - begun
        return Outcome(request_id, status, answer_headers, answer, "", seconds)

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(OSError):
            if not self.write_bytes_per_s:
                writer.write(data)
                await writer.drain()
                return
            begun = time.monotonic()
            for begin in range(0, len(data), WRITE_CHUNK_BYTES):
                due = begun + begin / self.write_bytes_per_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                writer.write(data[begin : begin + WRITE_CHUNK_BYTES])
                await writer.drain()

    async def _exchange(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        reader, writer = await self._open()
        sending = asyncio.get_running_loop().create_task(self._send(writer, data))
        try:
            # An answer may come before the request has been sent.
            head = await read_head(reader)
        finally:
            sending.cancel()
        left, parts = head.length, []
        while left:
            part = await reader.read(min(left, READ_CHUNK_BYTES))
            if not part:
                raise ConnectionResetError
            parts.append(part)
            left -= len(part)
            if self.read_bytes_per_s:
                await asyncio.sleep(len(part) / self.read_bytes_per_s)
        return int(head.start.split(" ")[1]), head.headers, b"".join(parts)
