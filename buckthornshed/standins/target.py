"""An emulated target instance with slots, queue, service times and faults."""

import asyncio
import random
from collections.abc import Callable
from typing import Annotated, Literal, NamedTuple

import msgspec
from pydantic import Field

from .asgi import Request, Response, json_response
from .behaviour import RouteBehaviour, ServiceBehaviour, find_route
from .calls import DownstreamCaller, InboundRequest
from .http_server import HttpServerProtocol, RawResponse, encode_response
from .ledger import Ledger, RunOutcome

__all__ = ["EmulatedTarget", "Health", "TargetFaults"]

MS = 1e-3
INVALID_HTTP = b"\x00\x17 this is not HTTP \xff\r\n\r\n"
RETRY_AFTER = ((b"retry-after", b"1"),)
ERROR_STATUS = 500

Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
NonNegative = Annotated[float, Field(ge=0.0)]


class TargetFaults(NamedTuple):
    """Faults of a target.

    Parameters
    ----------
    slow_factor : float
        Factor by which service times are multiplied.
    slow_answer_s : float
        Delay of each answer after the run has ended, seconds.
    garbage, truncated, excess, foreign, error : float
        Fraction of answers that are not HTTP, are truncated, are followed by excess
        bytes, carry the id of another request, or are a 500.
    refuse_connections : bool
        Whether new connections are closed immediately.
    health : str
        What the health endpoint reports: ``true`` for the actual state, or always
        ``healthy`` or ``failing``.
    health_lag_s : float
        Maximum age of a report that the health endpoint repeats, seconds.
    """

    slow_factor: NonNegative = 1.0
    slow_answer_s: NonNegative = 0.0
    garbage: Fraction = 0.0
    truncated: Fraction = 0.0
    excess: Fraction = 0.0
    foreign: Fraction = 0.0
    error: Fraction = 0.0
    refuse_connections: bool = False
    health: Literal["true", "healthy", "failing"] = "true"
    health_lag_s: NonNegative = 0.0


class Health(NamedTuple):
    """Report of the health endpoint."""

    state: Literal["serving", "draining", "failing"]
    running: int
    waiting: int
    slots: int


class EmulatedTarget:
    """One instance of a service.

    Parameters
    ----------
    name, service : str
        Name of the instance and of its service.
    behaviour : ServiceBehaviour
        Behaviour of the service.
    caller : DownstreamCaller
        Makes the downstream calls.
    clock : callable
        Returns the time of the machine's monotonic clock, seconds.
    rng : random.Random
        Random number generator for service times and faults.
    ledger : Ledger
        Records the runs.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        behaviour: ServiceBehaviour,
        caller: DownstreamCaller,
        clock: Callable[[], float],
        rng: random.Random,
        ledger: Ledger,
    ) -> None:
        self.name = name
        self.service = service
        self.behaviour = behaviour
        self.caller = caller
        self.clock = clock
        self.rng = rng
        self.faults = TargetFaults()
        self.ledger = ledger
        self.slots = asyncio.Semaphore(behaviour.slots)
        self.running = 0
        self.waiting = 0
        self.connections: set[HttpServerProtocol] = set()
        self.started_at = clock()
        self.accept_free_at = 0.0
        self.draining_since: float | None = None
        self.cached_health: tuple[float, Health] | None = None
        self.idle = asyncio.Event()
        self.idle.set()

    def create_protocol(self) -> HttpServerProtocol:
        """Create the protocol of a new connection."""
        return HttpServerProtocol(
            handler=self.handle,
            connections=self.connections,
            accept_delay=self.accept_delay,
            cancel_on_close=self.behaviour.cancellation,
        )

    def accept_delay(self) -> float | None:
        """Return the delay in seconds of a new connection, None to refuse it.

        Connections are set up one at a time, so their delays add up.
        """
        full = len(self.connections) >= self.behaviour.connections
        if full or self.faults.refuse_connections:
            self.ledger.count("refused_connections")
            return None
        self.ledger.count("connections")
        now = self.clock()
        cost = self.behaviour.connection_ms * MS
        self.accept_free_at = max(now, self.accept_free_at) + cost
        return self.accept_free_at - now

    def start_draining(self) -> None:
        """Start draining; requests that still arrive are served and recorded."""
        if self.draining_since is None:
            self.draining_since = self.clock()

    def draining_s(self) -> float:
        """Return the seconds since draining started, 0 before."""
        if self.draining_since is None:
            return 0.0
        return max(self.clock() - self.draining_since, 1e-9)

    def restart_slow_start(self) -> None:
        """Start the slow start period again."""
        self.started_at = self.clock()

    async def handle(self, request: Request) -> Response:
        """Serve a request: queue it, run it in a slot, and return the response."""
        if request.path == "/health":
            return await self.handle_probe()
        self.ledger.count("received")
        route = find_route(self.behaviour, request.method, request.path)
        if route is None:
            return json_response({"error": "no such route"}, status=404)
        inbound = InboundRequest.from_request(
            request, now=self.clock(), behaviour=self.behaviour
        )
        if self.slots.locked() and self.waiting >= self.behaviour.queue:
            self.ledger.count("shed")
            return Response(503, headers=RETRY_AFTER)
        await self.acquire_slot()
        try:
            if self.clock() >= inbound.deadline:
                self.ledger.count("expired")
                return json_response({"error": "deadline"}, status=504)
            return await self.run(route, inbound)
        finally:
            self.release_slot()

    async def acquire_slot(self) -> None:
        """Wait for a slot; a cancellation while waiting is counted."""
        self.waiting += 1
        self.idle.clear()
        try:
            await self.slots.acquire()
        except asyncio.CancelledError:
            self.ledger.count("abandoned")
            self.waiting -= 1
            self.update_idle()
            raise
        self.waiting -= 1
        self.running += 1

    def release_slot(self) -> None:
        """Release a slot."""
        self.slots.release()
        self.running -= 1
        self.update_idle()

    def update_idle(self) -> None:
        """Set the idle event if no request is running or waiting."""
        if not self.running and not self.waiting:
            self.idle.set()

    async def run(self, route: RouteBehaviour, inbound: InboundRequest) -> Response:
        """Run a request up to its deadline and record the run."""
        run = self.ledger.start(
            request=inbound.request_id,
            key=inbound.key,
            route=f"{route.method} {route.path}",
            now=self.clock(),
            leaving_s=self.draining_s(),
        )
        outcome: RunOutcome = "failed"
        try:
            async with asyncio.timeout(inbound.time_left(self.clock())):
                response = await self.execute(route, inbound, run)
            outcome = "completed" if response.status == 200 else "failed"
        except TimeoutError:
            return json_response({"error": "deadline"}, status=504)
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        finally:
            self.ledger.end(run, outcome, now=self.clock())
        return await self.apply_answer_faults(response)

    async def execute(
        self, route: RouteBehaviour, inbound: InboundRequest, run: int
    ) -> Response:
        """Wait for the service time and make the downstream calls halfway."""
        seconds = self.service_time(route)
        if not route.calls:
            await asyncio.sleep(seconds)
            return self.build_answer(route, inbound, run, [])
        await asyncio.sleep(seconds / 2)
        result = await self.caller.call_all(route, inbound, self.ledger)
        if result.failure is not None:
            return result.failure
        await asyncio.sleep(seconds / 2)
        return self.build_answer(route, inbound, run, result.parts)

    def service_time(self, route: RouteBehaviour) -> float:
        """Draw a random service time, seconds."""
        seconds = (
            route.service_ms * MS * self.faults.slow_factor * self.slow_start_factor()
        )
        if route.sigma:
            seconds *= self.rng.lognormvariate(0.0, route.sigma)
        return seconds

    def slow_start_factor(self) -> float:
        """Return the slow start factor, which falls to 1 linearly."""
        if not self.behaviour.cold_s:
            return 1.0
        left = 1.0 - (self.clock() - self.started_at) / self.behaviour.cold_s
        return 1.0 + max(0.0, left) * (self.behaviour.cold_factor - 1.0)

    def build_answer(
        self,
        route: RouteBehaviour,
        inbound: InboundRequest,
        run: int,
        parts: list[object],
    ) -> Response:
        """Return the answer, in which each part carries the request id."""
        request = inbound.request_id
        if self.faults.foreign and self.rng.random() < self.faults.foreign:
            request = f"not-{request}"
        content = {
            "request": request,
            "service": self.service,
            "route": f"{route.method} {route.path}",
            "run": f"{self.name}/{run}",
            "parts": parts,
        }
        if route.filler:
            content["filler"] = "." * route.filler
        return json_response(content)

    async def apply_answer_faults(self, response: Response) -> Response:
        """Delay or replace the response according to the faults."""
        faults = self.faults
        if faults.slow_answer_s:
            await asyncio.sleep(faults.slow_answer_s)
        draw = self.rng.random() if any(faults[2:7]) else 1.0
        encoded = encode_response(response, close=False)
        replacements = (
            (faults.garbage, RawResponse(200, INVALID_HTTP)),
            (faults.truncated, RawResponse(200, encoded[: -len(response.body) // 2])),
            (faults.excess, RawResponse(200, encoded + response.body)),
            (faults.error, Response(ERROR_STATUS)),
        )
        for fraction, replacement in replacements:
            if draw < fraction:
                return replacement
            draw -= fraction
        return response

    async def handle_probe(self) -> Response:
        """Answer a health probe, which occupies a slot for ``probe_ms`` if not 0."""
        self.ledger.count("probes")
        if self.behaviour.probe_ms:
            await self.acquire_slot()
            try:
                await asyncio.sleep(self.behaviour.probe_ms * MS)
            finally:
                self.release_slot()
        health = self.reported_health()
        status = 503 if health.state == "failing" else 200
        return Response(status, msgspec.json.encode(health._asdict()))

    def reported_health(self) -> Health:
        """Return the report of the health endpoint, which may be outdated or false."""
        now = self.clock()
        lag = self.faults.health_lag_s
        if self.cached_health is None or now - self.cached_health[0] >= lag:
            self.cached_health = (now, self.actual_health())
        reported = self.cached_health[1]
        if self.faults.health == "healthy":
            return reported._replace(state="serving", running=0, waiting=0)
        if self.faults.health == "failing":
            return reported._replace(state="failing")
        return reported

    def actual_health(self) -> Health:
        """Return the current state and counts of calls."""
        state: Literal["serving", "draining"] = "serving"
        if self.draining_since is not None:
            state = "draining"
        return Health(state, self.running, self.waiting, self.behaviour.slots)
