"""Bytes that are no message, or never end one, sent until the other side closes."""

import asyncio
from contextlib import asynccontextmanager
from typing import NamedTuple

MAX_SENT_BYTES = 64 * 1024 * 1024
"""Bytes after which a sender stops, so that a test of an unbounded receiver ends."""
CHUNK_BYTES = 64 * 1024


class Stream(NamedTuple):
    """The first bytes of a stream and those that are repeated without end."""

    begin: bytes
    repeated: bytes


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"

ANSWERS = {
    "status line": Stream(b"HTTP/1.1 200 ", b"a"),
    "header name": Stream(HEAD, b"a"),
    "header value": Stream(HEAD + b"x: ", b"a"),
    "headers": Stream(HEAD, b"x: y\r\n"),
    "empty lines": Stream(b"", b"\r\n"),
    "interim answers": Stream(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "other interim answers": Stream(b"", b"HTTP/1.1 103 X\r\nx: y\r\n\r\n"),
    "body with a length": Stream(HEAD + b"content-length: 9999999999\r\n\r\n", b"a"),
    "chunks": Stream(CHUNKED, b"1\r\na\r\n"),
    "size of a chunk": Stream(CHUNKED, b"0"),
    "extension of a chunk": Stream(CHUNKED + b"1;", b"a"),
    "trailer": Stream(CHUNKED + b"0\r\nx: ", b"a"),
    "trailers": Stream(CHUNKED + b"0\r\n", b"x: y\r\n"),
    "no protocol": Stream(b"", b"\0\xff"),
}

START = b"POST /avail/1 HTTP/1.1\r\nhost: stalls.example\r\n"
CHUNKED_REQUEST = START + b"transfer-encoding: chunked\r\n\r\n"

REQUESTS = {
    "method": Stream(b"", b"A"),
    "path": Stream(b"GET /", b"a"),
    "header name": Stream(START, b"a"),
    "header value": Stream(START + b"x: ", b"a"),
    "headers": Stream(START, b"x: y\r\n"),
    "empty lines": Stream(b"", b"\r\n"),
    "body with a length": Stream(START + b"content-length: 9999999999\r\n\r\n", b"a"),
    "chunks": Stream(CHUNKED_REQUEST, b"1\r\na\r\n"),
    "extension of a chunk": Stream(CHUNKED_REQUEST + b"1;", b"a"),
    "trailer": Stream(CHUNKED_REQUEST + b"0\r\nx: ", b"a"),
    "trailers": Stream(CHUNKED_REQUEST + b"0\r\n", b"x: y\r\n"),
}


async def send_endless(stream, writer):
    """Send a stream until the other side closes; return the number of bytes sent."""
    repeated = stream.repeated * (CHUNK_BYTES // len(stream.repeated))
    sent = len(stream.begin)
    writer.write(stream.begin)
    try:
        while sent < MAX_SENT_BYTES:
            writer.write(repeated)
            sent += len(repeated)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        return sent
    finally:
        writer.transport.abort()
    return sent


class EndlessServer(NamedTuple):
    """Address of a server, and the number of bytes that it has sent in the end."""

    address: str
    sent: "asyncio.Future[int]"


@asynccontextmanager
async def endless_server(stream):
    """Run a server that answers a request with a stream without end."""
    sent = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        sent.set_result(await send_endless(stream, writer))

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield EndlessServer(f"{host}:{port}", sent)
    server.close()
