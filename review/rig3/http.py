"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
from typing import NamedTuple

READ_BYTES = 65_536
HEAD_LIMIT_BYTES = 1_048_576


class Message(NamedTuple):
    """One request or response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes


class BrokenMessageError(Exception):
    """A connection ended, or brought bytes that are no HTTP message."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, None if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenMessageError("the connection ended within a head") from error
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise BrokenMessageError(str(error)) from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that states its length."""
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenMessageError("the connection ended within a body") from error


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None if the connection has ended."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    return Message(start, headers, await read_body(reader, headers))


def render(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body or not start.startswith(("GET", "HEAD")):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
