"""Stand-in for a client."""

import asyncio
import socket
from typing import NamedTuple

from .http import read_head
from .record import Record

__all__ = ["Client", "Outcome"]

CHUNK_BYTES = 65_536
SMALL_RECEIVE_BUFFER_BYTES = 65_536


class Outcome(NamedTuple):
    """What a client saw of one request; times are seconds since the case's start.

    `status` is 0 if the connection ended before a status arrived. `complete` is
    whether the whole announced body arrived.
    """

    request_id: str
    sent_at: float
    ended_at: float
    status: int
    received: int
    expected: int
    complete: bool


class Client:
    """Sends requests on one kept connection to the client address of a relay.

    Parameters
    ----------
    address : str
        Client address, ``ip:port``.
    host : str
        Value of the header ``Host``.
    record : Record
        Record of the case.
    """

    def __init__(self, *, address: str, host: str, record: Record) -> None:
        self.address = address
        self.host = host
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection, with a small receive buffer as on a mobile device."""
        ip, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=CHUNK_BYTES
        )

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        deadline_s: float,
        bytes_per_s: float | None = None,
        body: bytes = b"",
        sent_bytes_per_s: float | None = None,
    ) -> Outcome:
        """Send a request and read its answer.

        Parameters
        ----------
        path, request_id, method, body
            The request.
        deadline_s : float
            Time that the client announces, in seconds.
        bytes_per_s : float, optional
            Rate at which the body of the answer is read, at most.
        sent_bytes_per_s : float, optional
            Rate at which the body of the request is sent, at most.
        """
        if self.writer is None:
            await self.connect()
        assert self.reader is not None
        assert self.writer is not None
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_s * 1e3:.0f}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        sent_at = self.record.write("sent", request=request_id, path=path)
        self.writer.write(f"{head}\r\n".encode())
        status = received = expected = 0
        closes = True
        try:
            await self._send_body(body, sent_bytes_per_s)
            message = await read_head(self.reader)
            if message is not None:
                status = message.status
                expected = int(message.headers.get("content-length", "0"))
                closes = message.headers.get("connection", "").lower() == "close"
                while received < expected:
                    part = await self.reader.read(min(CHUNK_BYTES, expected - received))
                    if not part:
                        break
                    received += len(part)
                    if bytes_per_s is not None:
                        await asyncio.sleep(len(part) / bytes_per_s)
        except ConnectionError:
            pass
        complete = status != 0 and received == expected
        if closes or not complete:
            self.close()
        ended_at = self.record.write(
            "answered" if complete else "cut",
            request=request_id,
            status=status,
            received=received,
            expected=expected,
        )
        return Outcome(
            request_id, sent_at, ended_at, status, received, expected, complete
        )

    async def _send_body(self, body: bytes, bytes_per_s: float | None) -> None:
        """Send a body, and stop if an answer comes first."""
        assert self.writer is not None
        for begin in range(0, len(body), CHUNK_BYTES):
            part = body[begin : begin + CHUNK_BYTES]
            if self.writer.is_closing():
                return
            self.writer.write(part)
            await self.writer.drain()
            if bytes_per_s is not None:
                await asyncio.sleep(len(part) / bytes_per_s)
