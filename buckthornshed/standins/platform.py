"""An emulated platform that readers poll and watch, with faults and counters.

It holds values by key, each with a version that increases by one with each put, and
the instance list. Faults, which are set at a control endpoint, make reads fail or
return outdated content.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Annotated, Literal, NamedTuple

import anyio
import msgspec
from pydantic import Field

from ..errors import SettingsError
from .asgi import Application, Request, Response, json_response, patch

__all__ = [
    "Counters",
    "Instance",
    "PlatformFaults",
    "PlatformState",
    "control_application",
    "reader_application",
]

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0
MAX_VERSIONS = 256


class Version(NamedTuple):
    """One version of a value."""

    number: int
    body: bytes


class Instance(NamedTuple):
    """An entry of the instance list."""

    incarnation: int
    state: Literal["live", "leaving"]


class PlatformFaults(NamedTuple):
    """Faults of the platform.

    Parameters
    ----------
    down : bool
        Whether every read gets a 503, including waiting watches.
    stale : bool
        Whether readers get the values and instances from when the fault was set.
    rolled_back : int
        Number of versions by which the values that readers get are behind.
    slow_s : float
        Additional latency of each read, seconds.
    instance_lag_s : float
        Delay until readers get a change of the instance list, seconds.
    rate : float
        Maximum rate of reads per second; reads beyond it get a 429.
    """

    down: bool = False
    stale: bool = False
    rolled_back: Annotated[int, Field(ge=0)] = 0
    slow_s: Annotated[float, Field(ge=0.0)] = 0.0
    instance_lag_s: Annotated[float, Field(ge=0.0)] = 5.0
    rate: Annotated[float, Field(gt=0.0)] = 2000.0


class Counters(NamedTuple):
    """Counters of reads.

    Parameters
    ----------
    reads, watches, limited, instance_reads : int
        All reads since the start, and those of them that were watches, were refused
        by the rate limit, or read the instance list.
    waiting : int
        Watches that wait now.
    """

    reads: int = 0
    watches: int = 0
    limited: int = 0
    instance_reads: int = 0
    waiting: int = 0


class PlatformState:
    """Values, instance list, faults and counters of the platform.

    Parameters
    ----------
    clock : callable
        Returns the time of a monotonic clock, seconds.
    faults : PlatformFaults
        Initial faults, including rate limit and instance list delay.
    """

    def __init__(
        self, *, clock: Callable[[], float], faults: PlatformFaults | None = None
    ) -> None:
        self.clock = clock
        self.faults = faults or PlatformFaults()
        self.counters = Counters()
        self.values: dict[str, deque[Version]] = {}
        self.stale_values: dict[str, tuple[Version, ...]] = {}
        self.instances: dict[str, Instance] = {}
        self.instance_history: deque[tuple[float, dict[str, Instance]]] = deque()
        self.stale_instances: dict[str, Instance] = {}
        self.changed = asyncio.Event()
        self.tokens = self.faults.rate
        self.refilled_at = clock()
        self.record_instances()

    def count(self, **increments: int) -> None:
        """Increase the counters that are named."""
        values = self.counters._asdict()
        self.counters = self.counters._replace(
            **{name: values[name] + by for name, by in increments.items()}
        )

    def take_token(self) -> bool:
        """Take a token of the rate limit; return False and count it if none is left."""
        now = self.clock()
        refill = (now - self.refilled_at) * self.faults.rate
        self.tokens = min(self.faults.rate, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.count(limited=1)
            return False
        self.tokens -= 1.0
        return True

    def notify(self) -> None:
        """Notify all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, body: bytes) -> int:
        """Store a value and return its version.

        Raises
        ------
        SettingsError
            If the value is larger than ``MAX_VALUE_BYTES``.
        """
        if len(body) > MAX_VALUE_BYTES:
            raise SettingsError(
                subject=key,
                found=f"{len(body)} bytes",
                expected=f"at most {MAX_VALUE_BYTES}",
            )
        versions = self.values.setdefault(key, deque(maxlen=MAX_VERSIONS))
        number = versions[-1].number + 1 if versions else 1
        versions.append(Version(number, body))
        self.notify()
        return number

    def visible_version(self, key: str) -> Version | None:
        """Return the version of a value that readers get, None if there is none."""
        source = self.stale_values if self.faults.stale else self.values
        versions = source.get(key)
        if not versions:
            return None
        return versions[max(0, len(versions) - 1 - self.faults.rolled_back)]

    def record_instances(self) -> None:
        """Add the current instance list to the history, from which readers get it."""
        self.instance_history.append((self.clock(), dict(self.instances)))

    def visible_instances(self) -> dict[str, Instance]:
        """Return the instance list that readers get, delayed by the lag."""
        if self.faults.stale:
            return self.stale_instances
        horizon = self.clock() - self.faults.instance_lag_s
        history = self.instance_history
        while len(history) > 1 and history[1][0] <= horizon:
            history.popleft()
        return history[0][1]

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults and notify waiting watches."""
        if faults.stale and not self.faults.stale:
            self.stale_instances = self.visible_instances()
            self.stale_values = {
                key: tuple(versions) for key, versions in self.values.items()
            }
        self.faults = faults
        self.notify()

    async def read(self, key: str, *, after: int | None, wait_s: float) -> Response:
        """Answer a read, or a watch for a version beyond ``after`` if that is given."""
        watching = after is not None
        self.count(reads=1, watches=int(watching))
        if not self.take_token():
            return Response(429, headers=((b"retry-after", b"1"),))
        await anyio.sleep(self.faults.slow_s)
        if not watching:
            return self.current_response(key, after=None)
        self.count(waiting=1)
        try:
            with anyio.move_on_after(min(wait_s, MAX_WAIT_S)):
                while self.current_response(key, after=after).status in (304, 404):
                    await self.changed.wait()
        finally:
            self.count(waiting=-1)
        return self.current_response(key, after=after)

    def current_response(self, key: str, *, after: int | None) -> Response:
        """Return the response to a read that is answered now."""
        if self.faults.down:
            return Response(503)
        version = self.visible_version(key)
        if version is None:
            return Response(404)
        headers = ((b"x-version", str(version.number).encode()),)
        if after is not None and version.number <= after:
            return Response(304, headers=headers)
        return Response(200, version.body, headers)

    async def read_instances(self) -> Response:
        """Answer a read of the instance list."""
        self.count(reads=1, instance_reads=1)
        if not self.take_token():
            return Response(429, headers=((b"retry-after", b"1"),))
        await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            return Response(503)
        visible = self.visible_instances()
        return json_response(
            [
                {
                    "name": name,
                    "incarnation": instance.incarnation,
                    "state": instance.state,
                }
                for name, instance in sorted(visible.items())
            ]
        )


def reader_application(platform: PlatformState) -> Application:
    """Return the application that nodes read and watch."""
    application = Application()

    @application.route("GET", "/v1/values/")
    async def read(request: Request) -> Response:
        try:
            after = int(request.query["after"]) if "after" in request.query else None
            wait_s = float(request.query.get("wait", "0"))
        except ValueError:
            return Response(400)
        return await platform.read(request.path_suffix, after=after, wait_s=wait_s)

    @application.route("GET", "/v1/instances")
    async def read_instances(request: Request) -> Response:
        return await platform.read_instances()

    return application


def control_application(platform: PlatformState) -> Application:
    """Return the application with which operators and test drivers make changes."""
    application = Application()

    @application.route("PUT", "/values/")
    async def put(request: Request) -> Response:
        return json_response(
            {"version": platform.put(request.path_suffix, request.body)}
        )

    @application.route("DELETE", "/values/")
    async def delete(request: Request) -> Response:
        platform.values.pop(request.path_suffix, None)
        return Response(204)

    @application.route("PUT", "/instances/")
    async def put_instance(request: Request) -> Response:
        default = Instance(incarnation=0, state="live")
        current = platform.instances.get(request.path_suffix, default)
        platform.instances[request.path_suffix] = patch(current, request.body)
        platform.record_instances()
        return Response(204)

    @application.route("DELETE", "/instances/")
    async def delete_instance(request: Request) -> Response:
        platform.instances.pop(request.path_suffix, None)
        platform.record_instances()
        return Response(204)

    @application.route("PUT", "/faults")
    async def put_faults(request: Request) -> Response:
        platform.set_faults(patch(platform.faults, request.body))
        return json_response(platform.faults._asdict())

    @application.route("GET", "/counters")
    async def counters(request: Request) -> Response:
        return json_response(platform.counters._asdict())

    @application.route("GET", "/values")
    async def versions(request: Request) -> Response:
        numbers = {key: history[-1].number for key, history in platform.values.items()}
        return Response(200, msgspec.json.encode(numbers))

    return application
