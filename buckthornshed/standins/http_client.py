"""A minimal HTTP/1.1 client with a connection pool for each address."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import httptools

from ..errors import UpstreamError
from ..protocol.http import is_final_status, is_interim_status
from .asgi import Response, parse_address

__all__ = ["ClientPool", "UnreachableError", "encode_request"]

Headers = Iterable[tuple[bytes, bytes]]


def encode_request(
    *, method: str, path: str, host: str, headers: Headers, body: bytes
) -> bytes:
    """Return an encoded request, with a content length if it may have a body."""
    lines = [f"{method} {path} HTTP/1.1".encode(), b"host: " + host.encode()]
    lines += [b"%s: %s" % header for header in headers]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


class UnreachableError(UpstreamError):
    """No connection could be made, so nothing was sent."""


class ClientConnection(asyncio.Protocol):
    """A connection with at most one request in flight."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.pending_response: asyncio.Future[Response] | None = None
        self.reset()

    def reset(self) -> None:
        """Replace the parser and clear the stored response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.keep_alive = False

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight, if any."""
        self.fail("connection lost" if exc is None else f"connection lost: {exc!r}")

    def fail(self, found: str) -> None:
        """Fail the request in flight with an error, if there is one."""
        if self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_exception(
                UpstreamError(subject="answer", found=found, expected="a response")
            )

    def data_received(self, data: bytes) -> None:
        """Parse a response; data without a request in flight close the connection."""
        if self.pending_response is None or self.pending_response.done():
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(f"malformed response: {error!r}")
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a response header."""
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the response body."""
        self.body.append(body)

    def on_headers_complete(self) -> None:
        """Fail the request if the status is that of no answer."""
        status = self.parser.get_status_code()
        if not (is_final_status(status) or is_interim_status(status)):
            self.fail(f"status {status:03}")
            self.transport.abort()

    def on_message_complete(self) -> None:
        """Complete the pending response, unless it is informational."""
        status = self.parser.get_status_code()
        if (
            is_interim_status(status)
            or self.pending_response is None
            or self.pending_response.done()
        ):
            return
        # The parser resets this state once the callback has returned.
        self.keep_alive = self.parser.should_keep_alive()
        response = Response(status, b"".join(self.body), tuple(self.headers))
        self.pending_response.set_result(response)

    async def send(self, request: bytes) -> Response:
        """Send a request and return its response.

        Raises
        ------
        UpstreamError
            If the connection ends, or the response is malformed.
        """
        self.reset()
        self.pending_response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self.pending_response

    def reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.keep_alive and not self.transport.is_closing()


class ClientPool:
    """Pools idle connections by address.

    A request that fails or is cancelled closes its connection.
    """

    def __init__(self) -> None:
        self.idle: dict[str, list[ClientConnection]] = defaultdict(list)
        self.connections_opened = 0

    async def acquire(self, address: str) -> ClientConnection:
        """Return an idle connection or open a new one."""
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                return connection
        self.connections_opened += 1
        loop = asyncio.get_running_loop()
        host, port = parse_address(address)
        try:
            _, connection = await loop.create_connection(ClientConnection, host, port)
        except OSError as error:
            raise UnreachableError(
                subject=address, found=repr(error), expected="a connection"
            ) from error
        return connection

    async def request(
        self, address: str, request: bytes, *, timeout_s: float
    ) -> Response:
        """Send ``request`` and return the response.

        Raises
        ------
        UpstreamError
            If there is no complete response within ``timeout_s`` seconds.
        """
        connection: ClientConnection | None = None
        reusable = False
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.acquire(address)
                response = await connection.send(request)
            reusable = connection.reusable()
            return response
        except TimeoutError as error:
            raise UpstreamError(
                subject=address,
                found=f"no response within {timeout_s:.3f} s",
                expected="a response",
            ) from error
        finally:
            if connection is not None:
                self.release(address, connection, reusable)

    def release(
        self, address: str, connection: ClientConnection, reusable: bool
    ) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        connection.pending_response = None
        if reusable:
            self.idle[address].append(connection)
        else:
            connection.transport.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.transport.close()
        self.idle.clear()
