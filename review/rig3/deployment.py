"""A small deployment: store, servers and relays on loopback addresses."""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from .platform import Machine, Ports, temporary_folder
from .record import Record
from .server import AppServer
from .store import Store

STORE_HOST = "127.0.0.1"
BEAT_S = 1.5
CONFIG_KEY = "op/config"


class Deployment:
    """Machines, each with a server and a relay, and the store that they read.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    services : list of str
        Service of each machine's server.
    slots : int
        Slots of each server.
    overrides : dict
        Settings that differ from the example of DEPLOY.md.
    """

    def __init__(
        self,
        *,
        folder: Path,
        services: list[str],
        slots: int = 80,
        overrides: dict[str, object] | None = None,
    ) -> None:
        self.record = Record(folder=folder)
        self.temporary = temporary_folder()
        self.ports = Ports(machines=len(services))
        self.store = Store()
        self.version = 0
        self.tenants: list[dict[str, Any]] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.machines = [
            Machine(
                index=index,
                zone=f"zone-{'abc'[index % 3]}",
                service=service,
                ports=self.ports,
                store_address=f"{STORE_HOST}:{self.ports.store}",
                folder=Path(self.temporary.name),
                record=self.record,
                overrides=overrides or {},
            )
            for index, service in enumerate(services)
        ]
        self.servers = [
            AppServer(
                name=f"i-{index:08x}",
                service=service,
                zone=self.machines[index].zone,
                host=self.machines[index].host,
                port=self.ports.app,
                slots=slots,
                record=self.record,
            )
            for index, service in enumerate(services)
        ]

    async def open(self, rules: list[dict[str, Any]], step: int = 3) -> None:
        """Start everything and wait until all relays are ready."""
        await self.store.open(STORE_HOST, self.ports.store)
        self.configure(rules, step)
        for machine, server in zip(self.machines, self.servers, strict=True):
            server.outbound = machine.client_address
            await server.open()
            self.spawn(server.beat(self.store, BEAT_S))
        for machine in self.machines:
            machine.start()
            self.spawn(machine.supervise())
        for machine in self.machines:
            await machine.wait_until_ready()

    def configure(self, rules: list[dict[str, Any]], step: int = 3) -> None:
        """Publish a configuration; it is acknowledged when this returns."""
        self.version += step
        services = sorted({server.service for server in self.servers})
        document: dict[str, Any] = {
            "version": f"r{self.version}",
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
            "listeners": [{"host": "app.example", "rules": rules}],
            "clusters": [
                {"name": each, "healthPath": "/health", "maxConns": 424}
                for each in services
            ],
        }
        if self.tenants:
            document["tenants"] = self.tenants
        self.store.put(CONFIG_KEY, document)
        self.record.say("configuration", version=f"r{self.version}")

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    def close(self) -> None:
        """End all processes and tasks."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        self.record.close()
        self.temporary.cleanup()


def rule(
    name: str,
    service: str,
    *,
    kind: str = "idempotent",
    timeout: float = 5.0,
    attempts: int = 2,
    priority: int = 1,
) -> dict[str, Any]:
    """Return a route for the prefix `/name/`."""
    return {
        "name": f"r-{name}",
        "kind": kind,
        "sloS": 1.5,
        "priority": priority,
        "match": {"prefix": f"/{name}/"},
        "action": {"service": service, "timeoutS": timeout, "attempts": attempts},
    }
