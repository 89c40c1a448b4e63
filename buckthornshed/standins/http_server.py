"""A minimal HTTP/1.1 server on ``asyncio.Protocol`` and httptools.

It serves the requests of emulated targets, for which hypercorn would use more
processor time than the emulated work.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import httptools

from .asgi import Request, Response

__all__ = ["HttpServerProtocol", "RawResponse", "encode_response"]

MAX_BODY_BYTES = 4_000_000
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class RawResponse(Response):
    """A response whose body is written without a head; then the connection closes."""


Handler = Callable[[Request], Awaitable[Response]]


def encode_response(response: Response, *, close: bool) -> bytes:
    """Return an encoded response with a content length."""
    phrase = REASON_PHRASES.get(response.status, b"")
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase)]
    lines += [b"%s: %s" % header for header in response.headers]
    lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join([*lines, b"", response.body])


class HttpServerProtocol(asyncio.Protocol):
    """A server connection; pipelined requests are handled one at a time.

    Parameters
    ----------
    handler : callable
        Coroutine function that returns the response to a request.
    connections : set
        Open connections of the server, to which this one adds itself.
    accept_delay : callable
        Returns the delay before the first read from a new connection, seconds, or
        None to close the connection immediately.
    cancel_on_close : bool
        Whether a lost connection cancels the running request.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        connections: set["HttpServerProtocol"],
        accept_delay: Callable[[], float | None] = lambda: 0.0,
        cancel_on_close: bool = True,
    ) -> None:
        self.handler = handler
        self.connections = connections
        self.accept_delay = accept_delay
        self.cancel_on_close = cancel_on_close
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self.pending: deque[tuple[Request, bool]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: Any) -> None:
        """Accept the connection, with its delay, or refuse it."""
        self.transport = transport
        delay = self.accept_delay()
        if delay is None:
            transport.abort()
            return
        self.connections.add(self)
        if delay > 0.0:
            transport.pause_reading()
            asyncio.get_running_loop().call_later(delay, self.start_reading)

    def start_reading(self) -> None:
        """Start reading after the accept delay."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop pending requests and cancel the running one, if configured."""
        self.connections.discard(self)
        self.pending.clear()
        if self.task is not None and self.cancel_on_close:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse request data; malformed data get a 400 and close the connection."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.write(encode_response(Response(400), close=True))
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a request header."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append to the body; a body that is too large gets a 413."""
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            self.transport.write(encode_response(Response(413), close=True))
            self.transport.close()

    def on_message_complete(self) -> None:
        """Handle the request, or queue it until the previous one is answered."""
        path, _, query = self.url.decode("latin-1").partition("?")
        method = self.parser.get_method().decode()
        request = Request(method, path, {"": query}, self.headers, self.body)
        self.url, self.headers, self.body = b"", {}, b""
        self.pending.append((request, self.parser.should_keep_alive()))
        if self.task is None:
            self.start_next()

    def start_next(self) -> None:
        """Start the next pending request."""
        self.task = None
        if self.pending:
            request, keep_alive = self.pending.popleft()
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self.respond(request, keep_alive))

    async def respond(self, request: Request, keep_alive: bool) -> None:
        """Run the handler and write its response."""
        response = await self.handler(request)
        if self.transport.is_closing():
            return
        if isinstance(response, RawResponse):
            self.transport.write(response.body)
            self.transport.close()
            return
        self.transport.write(encode_response(response, close=not keep_alive))
        if not keep_alive:
            self.transport.close()
        self.start_next()
