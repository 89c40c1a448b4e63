"""Reads of the platform over HTTP."""

from typing import NamedTuple

import anyio
import httpx
import msgspec

from ..errors import PlatformError
from ..protocol.decoding import DECODE_ERRORS, parse_decimal
from ..protocol.peer_messages import MAX_SET_BYTES, NodeState, PeerState

__all__ = ["PlatformReader", "Unchanged", "Value"]

READ_TIMEOUT_S = 5.0
"""Timeout of each part of an answer, in addition to the requested wait."""

ANSWER_TIMEOUT_S = 20.0
"""Timeout of a whole answer, whose parts may come without end."""

MAX_INSTANCES_BYTES = 4_000_000
"""Maximum size of the instance list."""

PEER_STATES = {"live": PeerState.LIVE, "leaving": PeerState.LEAVING}


class Value(NamedTuple):
    """Value with the platform's version of it."""

    version: int
    body: bytes


class Unchanged(NamedTuple):
    """Result of a watch that ended without a change."""


class Instance(msgspec.Struct):
    """Entry of the instance list."""

    name: str
    incarnation: int
    state: str


INSTANCES_DECODER = msgspec.json.Decoder(list[Instance])


class PlatformReader:
    """Client that reads and watches values of the platform.

    Parameters
    ----------
    url : str
        Base URL of the platform, such as ``http://127.0.0.1:8000``.
    """

    def __init__(self, *, url: str) -> None:
        self.client = httpx.AsyncClient(base_url=url, timeout=READ_TIMEOUT_S)
        self.reads = 0

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def read(
        self, key: str, *, after: int = 0, wait: float = 0.0
    ) -> Value | Unchanged:
        """Read a value; with ``wait``, wait for a version other than ``after``.

        Raises
        ------
        PlatformError
            If the platform is unreachable, the value does not exist, or the answer is
            invalid.
        """
        parameters = {"after": str(after), "wait": f"{wait:g}"} if wait else {}
        status, headers, body = await self.get(
            f"/v1/values/{key}", parameters, MAX_SET_BYTES, wait
        )
        if status == httpx.codes.NOT_MODIFIED:
            return Unchanged()
        version = headers.get("X-Version", "")
        number = parse_decimal(version)
        if number is None:
            raise answer_error(key, f"version {version[:80]!r}", "a number")
        return Value(number, body)

    async def read_instances(self) -> tuple[NodeState, ...]:
        """Read the instance list, which lags behind the actual state.

        Raises
        ------
        PlatformError
            If the platform is unreachable or the list is invalid.
        """
        path = "/v1/instances"
        _, _, body = await self.get(path, {}, MAX_INSTANCES_BYTES, 0.0)
        try:
            entries = INSTANCES_DECODER.decode(body)
        except DECODE_ERRORS as error:
            raise answer_error(path, str(error), "a list of instances") from error
        return tuple(
            NodeState(entry.name, entry.incarnation, PEER_STATES[entry.state])
            for entry in entries
            if entry.state in PEER_STATES
        )

    async def get(
        self, path: str, parameters: dict[str, str], limit: int, wait: float
    ) -> tuple[int, httpx.Headers, bytes]:
        """Send a request and read the answer, whose size must not exceed ``limit``."""
        self.reads += 1
        timeout = httpx.Timeout(READ_TIMEOUT_S, read=READ_TIMEOUT_S + wait)
        request = self.client.stream("GET", path, params=parameters, timeout=timeout)
        body = bytearray()
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S + wait):
                async with request as response:
                    async for chunk in response.aiter_bytes():
                        body += chunk
                        if len(body) > limit:
                            raise answer_error(path, "a longer value", f"{limit} bytes")
        except (httpx.HTTPError, TimeoutError) as error:
            found = f"{type(error).__name__}: {error}"
            raise answer_error(path, found, "an answer") from error
        if response.status_code not in (httpx.codes.OK, httpx.codes.NOT_MODIFIED):
            raise answer_error(path, f"status {response.status_code}", "200")
        return response.status_code, response.headers, bytes(body)


def answer_error(subject: str, found: str, expected: str) -> PlatformError:
    """Return the error for a failed read or an invalid answer."""
    return PlatformError(subject=subject, found=found, expected=expected)
