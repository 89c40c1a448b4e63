"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
from typing import NamedTuple

STREAM_LIMIT = 1 << 16
MAX_HEAD_BYTES = 65_536


class Head(NamedTuple):
    """Start line and headers of a message; header names are in lower case."""

    start: str
    headers: dict[str, str]

    @property
    def length(self) -> int:
        """Length of the body according to the head."""
        return int(self.headers.get("content-length", "0"))


class Message(NamedTuple):
    """A complete message."""

    head: Head
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.head.start.split(" ", 2)[1])


def render(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        If the connection ends first.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Head(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length, at full speed."""
    head = await read_head(reader)
    return Message(head, await reader.readexactly(head.length))
