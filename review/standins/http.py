"""Reading of HTTP/1.1 messages that have a length, with the standard library only."""

import asyncio
from typing import NamedTuple

__all__ = ["Message", "read_head", "read_message"]


class Message(NamedTuple):
    """Start line, headers with names in lower case, and body of a message."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def path(self) -> str:
        """Path of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(start, {n.lower(): v.strip() for n, _, v in pairs}, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head.headers.get("content-length", "0"))
    return head._replace(body=await reader.readexactly(length))
