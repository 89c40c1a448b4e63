"""Downstream calls that an emulated target makes while it serves a request."""

import asyncio
import hashlib
import uuid
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from ..errors import UpstreamError
from .asgi import Request, Response, json_response
from .behaviour import DownstreamCall, RouteBehaviour, ServiceBehaviour
from .http_client import ClientPool, encode_request
from .ledger import Ledger

__all__ = [
    "DownstreamCaller",
    "DownstreamResult",
    "InboundRequest",
    "derive_downstream_key",
]

MS = 1e-3
NO_DEADLINE = float("inf")
CONTEXT_HEADERS = (b"buckthornshed-context", b"traceparent")
DEADLINE_HEADER = b"buckthornshed-deadline-ms"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class InboundRequest(NamedTuple):
    """Headers of a request that a target needs while it serves the request."""

    request_id: str
    key: str
    deadline: float
    context: tuple[tuple[bytes, bytes], ...]

    def time_left(self, now: float) -> float | None:
        """Return the seconds until the deadline, None if there is none."""
        return None if self.deadline == NO_DEADLINE else self.deadline - now

    @classmethod
    def from_request(
        cls, request: Request, *, now: float, behaviour: ServiceBehaviour
    ) -> "InboundRequest":
        """Read the headers of a request that arrived at time ``now``."""
        headers = request.headers
        deadline = NO_DEADLINE
        deadline_ms = headers.get(DEADLINE_HEADER, b"")
        if behaviour.deadlines and deadline_ms.isdigit():
            deadline = now + int(deadline_ms) * MS
        context = tuple(
            (name, headers[name])
            for name in CONTEXT_HEADERS
            if behaviour.pass_context and name in headers
        )
        return cls(
            request_id=headers.get(b"x-request-id", b"").decode("latin-1"),
            key=headers.get(b"idempotency-key", b"").decode("latin-1"),
            deadline=deadline,
            context=context,
        )


class DownstreamResult(NamedTuple):
    """Answer parts of the downstream calls, or the failure of a required call.

    ``failure`` is the response to the inbound request if a required call failed.
    """

    parts: list[object]
    failure: Response | None


def derive_downstream_key(key: str, call: DownstreamCall) -> str:
    """Return the idempotency key of a downstream call.

    It has the timestamp of the inbound key and bits that are derived from the key and
    the call. Retries of the inbound request therefore use the same downstream keys.
    """
    try:
        inbound_key = uuid.UUID(key).bytes
    except ValueError:
        return key
    name = "\n".join((key, call.service, call.method, call.path))
    digest = hashlib.blake2b(name.encode(), digest_size=10).digest()
    derived = bytearray(inbound_key[:6] + digest)
    derived[6] = 0x70 | derived[6] & 0x0F
    derived[8] = 0x80 | derived[8] & 0x3F
    return str(uuid.UUID(bytes=bytes(derived)))


class DownstreamCaller:
    """Makes downstream calls, through the egress of a node or directly to peers.

    Parameters
    ----------
    behaviour : ServiceBehaviour
        Provides retries, backoff and timeout.
    egress : str or None
        Address of the node's egress; None calls the peers directly.
    peers : dict
        Addresses of the targets, by service.
    clock : callable
        Returns the time of a monotonic clock, seconds.
    """

    def __init__(
        self,
        *,
        behaviour: ServiceBehaviour,
        egress: str | None,
        peers: dict[str, tuple[str, ...]],
        clock: Callable[[], float],
    ) -> None:
        self.behaviour = behaviour
        self.egress = egress
        self.peers = peers
        self.clock = clock
        self.pool = ClientPool()
        self.calls_sent: Counter[str] = Counter()

    def choose_address(self, service: str) -> str:
        """Return the address for the next call to a service, round robin over peers.

        Raises
        ------
        UpstreamError
            If there is no egress and the service has no peers.
        """
        if self.egress is not None:
            return self.egress
        peers = self.peers.get(service)
        if not peers:
            raise UpstreamError(subject=service, found="no peer", expected="addresses")
        self.calls_sent[service] += 1
        return peers[self.calls_sent[service] % len(peers)]

    async def call_all(
        self, route: RouteBehaviour, inbound: InboundRequest, ledger: Ledger
    ) -> DownstreamResult:
        """Make the downstream calls of a route."""
        if route.parallel:
            calls = (self.call(call, inbound, ledger) for call in route.calls)
            answers = await asyncio.gather(*calls)
            return collect_parts(route, list(answers))
        answers = []
        for call in route.calls:
            answers.append(await self.call(call, inbound, ledger))
            if call.required and answers[-1].status != 200:
                break
        return collect_parts(route, answers)

    async def call(
        self, call: DownstreamCall, inbound: InboundRequest, ledger: Ledger
    ) -> Response:
        """Make one call and retry it as the behaviour of the service defines."""
        backoff_s = self.behaviour.backoff_ms * MS
        ledger.count("calls_below")
        response = await self.send(call, inbound)
        for _ in range(self.behaviour.retries):
            if response.status < 500:
                break
            await asyncio.sleep(backoff_s)
            backoff_s *= 2
            ledger.count("retries_below")
            response = await self.send(call, inbound)
        return response

    async def send(self, call: DownstreamCall, inbound: InboundRequest) -> Response:
        """Send one call; a connection error or timeout gives a response with 502."""
        timeout_s = self.behaviour.call_timeout_ms * MS
        headers = [
            (b"x-request-id", inbound.request_id.encode("latin-1")),
            *inbound.context,
        ]
        time_left = inbound.time_left(self.clock())
        if time_left is not None:
            headers.append((DEADLINE_HEADER, b"%d" % max(0, round(time_left / MS))))
        # A node generates the keys of downstream calls itself, and may send a call
        # with such a key to any target.
        without_node = self.egress is None
        if without_node and inbound.key and call.method not in REPEATABLE_METHODS:
            key = derive_downstream_key(inbound.key, call)
            headers.append((b"idempotency-key", key.encode()))
        request = encode_request(
            method=call.method,
            path=call.path,
            host=call.service,
            headers=headers,
            body=b"",
        )
        try:
            address = self.choose_address(call.service)
            return await self.pool.request(address, request, timeout_s=timeout_s)
        except UpstreamError as error:
            return json_response({"error": str(error)}, status=502)


def collect_parts(route: RouteBehaviour, answers: list[Response]) -> DownstreamResult:
    """Return the answer parts, or the failure of the first failed required call."""
    parts: list[object] = []
    for call, answer in zip(route.calls, answers, strict=False):
        part = decode_part(answer)
        if part is None and call.required:
            return DownstreamResult([], failure_response(call, answer))
        parts.append(part)
    return DownstreamResult(parts, None)


def decode_part(answer: Response) -> Any:
    """Return the content of a downstream answer, None if it has none."""
    if answer.status != 200:
        return None
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return None


def failure_response(call: DownstreamCall, answer: Response) -> Response:
    """Return the response to a request whose required downstream call failed.

    The status is 503 if that of the call was 503, otherwise 502. A Retry-After header
    of the call's answer is passed on.
    """
    content = {"error": f"{call.service} {call.method} {call.path}: {answer.status}"}
    status = 503 if answer.status == 503 else 502
    response = json_response(content, status=status)
    retry_after = tuple(pair for pair in answer.headers if pair[0] == b"retry-after")
    return response._replace(headers=response.headers + retry_after)
