"""A node process: settings in, sockets open, drained on SIGTERM."""

import signal
import time
from random import Random, SystemRandom

import anyio
import httpx
from anyio.abc import TaskGroup
from pydantic import TypeAdapter

from ..coordination.node import NodeCore
from ..coordination.view import View
from ..protocol.authentication import Authenticator
from ..protocol.wire_context import ContextCodec
from ..state.objects import ConfigurationSet
from .data_path import DataPath
from .logs import log_event
from .settings import DEFAULTS, NodeSettings, split_address

__all__ = ["NodeProcess"]

TICK_S = 0.02
SWEEP_TICKS = 50
SEED_BITS = 256
POLL_S = 0.5
DRAIN_POLL_S = 0.05

SETS: TypeAdapter[ConfigurationSet] = TypeAdapter(ConfigurationSet)


class NodeProcess:
    """Owns the parts of one node and their tasks.

    Parameters
    ----------
    settings : NodeSettings
        The settings of the process.
    """

    def __init__(self, *, settings: NodeSettings) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.wall = time.time
        self.core = NodeCore(
            name=settings["name"],
            domain=settings["failure_domain"],
            rng=Random(SystemRandom().getrandbits(SEED_BITS)),
            now=self.clock(),
            incarnation=time.time_ns(),
            drain_s=settings.get("drain_s", DEFAULTS["drain_s"]),
        )
        keys = tuple(bytes.fromhex(key) for key in settings["keys"])
        self.data_path = DataPath(
            core=self.core,
            codec=ContextCodec(authenticator=Authenticator(keys=keys)),
            target_address=settings["target"],
            body_bytes_max=settings.get("body_bytes_max", DEFAULTS["body_bytes_max"]),
            clock=self.clock,
            wall=self.wall,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and return."""
        await self.data_path.ingress.open(*split_address(self.settings["ingress"]))
        await self.data_path.egress.open(*split_address(self.settings["egress"]))
        log_event("node_started", name=self.settings["name"])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._read_configuration)
            await self._until_signal(tasks)
        log_event("node_stopped", name=self.settings["name"])

    async def _until_signal(self, tasks: TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                log_event("drain_started", signal=signal.Signals(number).name)
                break
        await self._drain()
        tasks.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Leave: tell the callers, finish what is in flight, then close."""
        self.core.stop(self.clock())
        while not self._is_drained():
            await anyio.sleep(DRAIN_POLL_S)
        self.data_path.ingress.stop_accepting()
        self.data_path.egress.stop_accepting()

    def _is_drained(self) -> bool:
        drain = self.core.drain
        if not drain.exits:
            return False
        elapsed = self.clock() - (drain.stopped_at or 0.0)
        return not self.data_path.replies or elapsed >= drain.deadline_s

    async def _tick(self) -> None:
        ticks = 0
        while True:
            await anyio.sleep(TICK_S)
            self.data_path.tick()
            ticks += 1
            if ticks % SWEEP_TICKS == 0:
                self.data_path.sweep()

    async def _read_configuration(self) -> None:
        async with httpx.AsyncClient(base_url=self.settings["platform"]) as client:
            while True:
                await self._read_once(client)
                await anyio.sleep(POLL_S)

    async def _read_once(self, client: httpx.AsyncClient) -> None:
        try:
            response = await client.get("/v1/values/set")
        except httpx.HTTPError as error:
            log_event("platform_unreachable", error=str(error) or type(error).__name__)
            return
        if response.status_code != httpx.codes.OK:
            return
        generation = int(response.headers["x-version"])
        view = self.core.view
        if view is not None and view.generation >= generation:
            return
        objects = SETS.validate_json(response.content)
        name = self.settings["name"]
        self.core.configure(
            self.clock(),
            self.wall(),
            View(name=name, generation=generation, objects=objects),
        )
        log_event("configuration_in_force", generation=generation)
