"""Relays, targets and the store on a simulated network, and what relays must know."""

import asyncio
import contextlib
import zlib
from collections.abc import Callable, Coroutine, Iterable
from random import Random
from typing import Any, NamedTuple

from buckthornshed.platform.reader import StoreReader
from buckthornshed.platform.store import StoreClient
from buckthornshed.platform.wire import HEADERS
from buckthornshed.state.generation import Generation
from buckthornshed.state.relay_settings import RelaySettings, RetryLimits
from buckthornshed.transport.relay.relay import Relay

from ..relay.standin_store import StandinStore
from .network import VirtualLoop

STORE = "10.9.9.9"
BORN = 1_700_000_000_000
BEAT_S = 1.5
"""Interval at which a target writes its registration."""
TICK_S = 0.025
SAMPLE_S = 0.05
CONFIGURATION_BOUND_S = 2.0
"""Time after which a written configuration is in force at each relay in touch."""
DRAIN_BOUND_S = 2.0
"""Time after which the relay beside a leaving target refuses calls."""
STABLE_S = 3.0
"""Time without disturbance after which a relay is in touch."""
LEAVING_S = 9.0
"""Time for which a target that leaves still runs."""


class Stale(NamedTuple):
    """A relay in touch that lacks a change; times are in seconds."""

    rule: str
    instance: str
    change: str
    written: float
    seen: float
    until: float


class Instance:
    """One instance: a relay and its target."""

    def __init__(self, fleet: "SimulatedFleet", number: int, domain: str) -> None:
        self.fleet = fleet
        self.domain = domain
        self.host = f"10.{ord(domain)}.0.{number}"
        self.incarnation = 0
        self.sequence = 0
        self.registered = False
        self.relay: Any = None
        self.reader: Any = None
        self.tasks: list[asyncio.Task[Any]] = []
        self.disturbed_at = 0.0
        self.disturbances = 0
        self.paused = False

    @property
    def name(self) -> str:
        return f"i-{self.host}-{self.incarnation}"

    @property
    def in_touch(self) -> bool:
        now = self.fleet.loop.now
        return (
            self.relay is not None
            and not self.disturbances
            and now - self.disturbed_at > STABLE_S
        )

    def disturb(self) -> None:
        """Note that a disturbance of this instance begins."""
        self.disturbances += 1

    def calm(self) -> None:
        """Note that a disturbance has ended."""
        self.disturbances -= 1
        self.disturbed_at = self.fleet.loop.now

    async def start(self) -> None:
        fleet = self.fleet
        self.relay = Relay(
            settings=self._settings(),
            names=HEADERS,
            clock=fleet.loop.time,
            wall=lambda: 1.7e9 + fleet.loop.now,
            rng=Random(zlib.crc32(self.host.encode())),
        )
        await self.relay.open()
        client = StoreClient(address=fleet.store.address, clock=fleet.loop.time)
        self.reader = StoreReader(client=client, listener=self.relay.fleet_updater)
        self.tasks = [
            asyncio.create_task(self.reader.follow()),
            asyncio.create_task(self._tick(self.relay)),
        ]

    def stop(self) -> None:
        """End the relay at once."""
        for task in self.tasks:
            task.cancel()
        if self.relay is not None:
            self.relay.close()
        self.relay = None
        self.fleet.loop.network.close_host(self.host)

    async def register(self, state: str = "ready") -> None:
        self.sequence += 1
        entry = {
            "service": "stalls",
            "addr": f"{self.host}:8301",
            "zone": self.domain,
            "version": "v1",
            "slots": 100,
            "state": state,
            "coldLeftS": 0,
            "seq": self.sequence,
            "born": BORN + self.incarnation,
        }
        self.registered = True
        await self.fleet.store.put(f"servers/{self.name}", entry)

    async def unregister(self) -> None:
        self.registered = False
        await self.fleet.store.delete(f"servers/{self.name}")

    async def beat(self) -> None:
        """Write the registration at intervals while the target is ready."""
        await asyncio.sleep(self.fleet.rng.uniform(0.0, BEAT_S))
        while True:
            if self.registered and (STORE, self.host) not in self.fleet.network.cuts:
                await self.register()
            await asyncio.sleep(BEAT_S)

    async def _tick(self, relay: Relay) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if not self.paused:
                relay.tick()

    def _settings(self) -> RelaySettings:
        return RelaySettings(
            name=f"instance-{self.host}",
            failure_domain=self.domain,
            client_address=f"{self.host}:8304",
            ready_address=f"{self.host}:8302",
            peer_address=f"{self.host}:7620",
            metrics_address=f"{self.host}:7635",
            target_address=f"{self.host}:8301",
            target_service="stalls",
            store_address=self.fleet.store.address,
            grace=6.0,
            retry_limits=RetryLimits(ratio=0.2, window=10.0, slack=49.0),
            descriptors=1_000,
            memory=200_000_000,
            heartbeat=BEAT_S,
        )


class SimulatedFleet:
    """All instances and the store.

    Attributes
    ----------
    listeners : list of dict
        Hosts and their rules in each configuration from now on.
    stale : dict
        What each relay in touch lacked, by rule, host and change.
    """

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self.network = loop.network
        self.rng = Random(seed)
        self.store = StandinStore()
        self.instances: list[Instance] = []
        self.version = 1
        self.listeners: list[dict[str, Any]] = []
        self.configurations: list[tuple[float, int]] = []
        self.leaving: dict[Instance, tuple[float, str]] = {}
        self.stale: dict[tuple[str, str, str], Stale] = {}
        self.background: list[asyncio.Task[Any]] = []

    async def open(self, sizes: Iterable[int]) -> None:
        """Start the store and as many instances in each domain as `sizes` says."""
        await self.network.run_on(STORE, self.store.open(STORE))
        await self.publish()
        for index, size in enumerate(sizes):
            domain = chr(ord("a") + index)
            self.instances += [Instance(self, n + 1, domain) for n in range(size)]
        for each in self.instances:
            await each.register()
            await self.start(each)
            self.background.append(self.loop.create_task(each.beat()))
        self.background.append(self.loop.create_task(self._watch()))

    async def start(self, instance: Instance) -> None:
        """Start the relay of an instance."""
        await self.network.run_on(instance.host, instance.start())

    async def close(self) -> None:
        for task in self.background:
            task.cancel()
        for each in self.instances:
            each.stop()
        self.store.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)

    async def publish(self) -> None:
        """Write the next configuration."""
        self.version += 1
        document = {
            "version": f"r{self.version}",
            "listeners": self.listeners,
            "clusters": [{"name": "stalls"}],
        }
        await self.store.put("op/config", document)
        self.configurations.append((self.loop.now, self.version))

    async def leave(self, instance: Instance, *, tells: bool) -> None:
        """Let a target leave, and another one start on its instance after it has gone.

        `tells` is whether its registration says so before it ends.
        """
        if instance in self.leaving or not instance.registered:
            return
        name = instance.name
        if tells:
            await instance.register("draining")
            instance.registered = False
        else:
            await instance.unregister()
        self.leaving[instance] = self.loop.now, name
        await asyncio.sleep(LEAVING_S)
        del self.leaving[instance]
        if tells:
            await self.store.delete(f"servers/{name}")
        instance.incarnation += 1
        instance.sequence = 0
        await instance.register()

    def check_all(self) -> None:
        """Record what any relay lacks of the store's contents, or has in addition."""
        registered = {each.name for each in self.instances if each.registered}
        for instance in self.instances:
            view = instance.relay.fleet_view
            for name in sorted(view.targets.keys() ^ registered):
                self._record("TARGETS", instance, name, self.loop.now)
            if view.catalog is None or view.catalog.generation < Generation(
                self.version
            ):
                self._record("CONFIG", instance, f"r{self.version}", self.loop.now)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            for instance in self.instances:
                if instance.in_touch:
                    self._check_configuration(instance)
                    self._check_target(instance)

    def _check_configuration(self, instance: Instance) -> None:
        now = self.loop.now
        due = [
            (written, version)
            for written, version in self.configurations
            if now - written > CONFIGURATION_BOUND_S
        ]
        if not due:
            return
        written, version = due[-1]
        catalog = instance.relay.fleet_view.catalog
        if catalog is None or catalog.generation < Generation(version):
            self._record("CONFIG", instance, f"r{version}", written)

    def _check_target(self, instance: Instance) -> None:
        if instance not in self.leaving:
            return
        written, name = self.leaving[instance]
        local = instance.relay.local_target
        known = local.registration
        takes_calls = known is not None and known.name == name and not local.draining
        if self.loop.now - written > DRAIN_BOUND_S and takes_calls:
            self._record("DRAIN", instance, name, written)

    def _record(self, rule: str, instance: Instance, change: str, at: float) -> None:
        key = rule, instance.host, change
        now = self.loop.now
        first = self.stale.get(key)
        seen = now if first is None else first.seen
        self.stale[key] = Stale(rule, instance.host, change, at, seen, now)


def run(scenario: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine in virtual time; return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


@contextlib.asynccontextmanager
async def simulated_fleet(sizes: Iterable[int], *, seed: int = 1):
    """Run a fleet with as many instances in each domain as `sizes` says."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    fleet = SimulatedFleet(loop, seed)
    try:
        await fleet.open(sizes)
        yield fleet
    finally:
        await fleet.close()
