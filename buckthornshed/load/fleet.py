"""A deployment of separate processes on loopback, for the demo and the benchmarks.

This driver is the only code that starts processes; nodes and targets start none.
"""

import asyncio
import time
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import httpx
import msgspec

from ..protocol.configuration import require_valid
from ..protocol.published import PublishedSet, build_published_set
from ..protocol.published_values import published_values
from ..standins.ledger import Entry, read_journal
from .plan import Plan, Traffic
from .processes import (
    FleetError,
    Ports,
    Process,
    logged_generations,
    start_process,
    wait_until_key_owner,
    wait_until_ready,
)

__all__ = ["Fleet", "Member", "TargetLedger", "read_objects"]

SHARED_KEY = "5c" * 32
CONTROL_TIMEOUT_S = 20.0

Objects = dict[str, dict[str, dict[str, Any]]]


class Member(NamedTuple):
    """An instance and the addresses of its target and its node."""

    name: str
    service: str
    failure_domain: str
    target: str
    target_control: str
    ingress: str
    egress: str
    control: str
    admin: str


class TargetLedger(NamedTuple):
    """The runs that one target process recorded."""

    name: str
    service: str
    entries: list[Entry]


def read_objects(folder: Path) -> Objects:
    """Return the configuration objects of all TOML files in a folder.

    They are keyed by kind and name.
    """
    objects: Objects = {}
    for path in sorted(folder.glob("*.toml")):
        for kind, named in tomllib.loads(path.read_text()).items():
            objects.setdefault(kind, {}).update(named)
    return objects


class Fleet:
    """The platform, the targets and, optionally, their nodes.

    Parameters
    ----------
    objects : dict
        Configuration set; the addresses of its targets are replaced by loopback
        addresses.
    behaviour : Path
        TOML file with the behaviour of the targets.
    nodes : bool
        Whether each target has a node; without nodes targets call each other
        directly.
    folder : Path
        Folder for settings, logs and journals of the processes.
    ports : Ports
        Allocator of free ports.
    overrides : mapping
        Fields that replace those of each service's behaviour.
    seed : int
        Seed of the targets' random number generators.
    """

    def __init__(
        self,
        *,
        objects: Objects,
        behaviour: Path,
        nodes: bool,
        folder: Path,
        ports: Ports,
        overrides: Mapping[str, Any] | None = None,
        seed: int = 1,
    ) -> None:
        self.behaviour = behaviour
        self.nodes = nodes
        self.folder = folder
        self.overrides = dict(overrides or {})
        self.seed = seed
        # The ports are reserved as long as their allocator exists.
        self.ports = ports
        self.platform = ports.allocate()
        self.platform_control = ports.allocate()
        self.members = {
            name: create_member(name, target, ports)
            for name, target in objects["target"].items()
        }
        self.objects = with_loopback_addresses(objects, self.members)
        self.processes: dict[str, Process] = {}
        self.journals: dict[Path, Member] = {}
        self.generation = 0
        self.published: PublishedSet | None = None
        self.stopped: set[str] = set()
        # hypercorn closes idle connections after 5 s, so a reused connection could be
        # closed just as a request is sent on it.
        no_keep_alive = httpx.Limits(max_keepalive_connections=0)
        self.client = httpx.AsyncClient(timeout=CONTROL_TIMEOUT_S, limits=no_keep_alive)

    async def __aenter__(self) -> "Fleet":
        """Start all processes and wait until they are ready."""
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop all processes."""
        await self.stop()

    async def start(self) -> None:
        """Start the platform, publish the configuration set, start the instances."""
        await self.start_platform()
        async with asyncio.TaskGroup() as group:
            for name in self.members:
                group.create_task(self.start_member(name))
        if self.nodes:
            await self.wait_for_key_ownership()

    async def wait_for_key_ownership(self) -> None:
        """Wait until nodes own their keys and the clock bound has passed twice.

        Afterwards the nodes accept keys that are generated now as new ones.
        """
        async with asyncio.TaskGroup() as group:
            for name, member in self.members.items():
                if has_nonrepeatable_route(self.objects, member.service):
                    url = f"http://{member.admin}/dump"
                    waiting = wait_until_key_owner(
                        self.processes[f"{name}-node"], self.client, url
                    )
                    group.create_task(waiting)
        bounds = (
            policy.get("clock_bound_ms", 0)
            for policy in self.objects["idempotency"].values()
        )
        await asyncio.sleep(2 * max(bounds, default=0) / 1e3)

    async def start_platform(self) -> None:
        """Start the platform and publish the configuration set."""
        addresses = ["--address", self.platform, "--control", self.platform_control]
        await self.launch("platform", "platform", addresses)
        await self.wait_for_answer(
            "platform", f"http://{self.platform_control}/counters"
        )
        if self.nodes:
            await self.publish_next()

    async def publish(self, objects: Objects, *, generation: int) -> None:
        """Publish a configuration set to the platform.

        Raises
        ------
        FindingsError
            If the configuration set is invalid.
        """
        checked = require_valid(objects)
        values = published_values(checked, generation, self.published)
        for key, body in values.items():
            await self.put_value(key, body)
        self.published = build_published_set(checked, generation)

    async def publish_next(self) -> int:
        """Publish the set under the next generation and return the generation."""
        self.generation += 1
        await self.publish(self.objects, generation=self.generation)
        return self.generation

    def generations_in_force(self) -> dict[str, list[int]]:
        """Return the generations that each running node had in force, in order."""
        return {
            name: logged_generations(process)
            for name, process in self.processes.items()
            if name.endswith("-node") and process.is_alive()
        }

    async def save_dumps(self) -> None:
        """Write the dump of each running node to the folder."""
        for name, member in self.members.items():
            process = self.processes.get(f"{name}-node")
            if process is not None and process.is_alive():
                response = await self.client.get(f"http://{member.admin}/dump")
                (self.folder / f"{name}-dump.json").write_bytes(response.content)

    def addresses_of(self, name: str) -> tuple[str, str]:
        """Return the addresses that clients may have used for an instance."""
        member = self.members[name]
        return member.ingress, member.target

    async def put_value(self, key: str, value: bytes) -> None:
        """Put a value on the platform."""
        url = f"http://{self.platform_control}/values/{key}"
        (await self.client.put(url, content=value)).raise_for_status()

    async def start_member(self, name: str) -> None:
        """Start a target and its node, and register the instance as live."""
        await self.start_target(name)
        if self.nodes:
            await self.start_node(name)
        await self.register_instance(name, "live")

    async def register_instance(self, name: str, state: str) -> None:
        """Put an instance on the platform's instance list with a state."""
        url = f"http://{self.platform_control}/instances/{name}"
        content = {"incarnation": time.time_ns(), "state": state}
        (await self.client.put(url, json=content)).raise_for_status()

    async def start_target(self, name: str) -> None:
        """Start a target and wait until it is ready."""
        member = self.members[name]
        arguments = ["--name", name, "--service", member.service]
        arguments += ["--address", member.target, "--control", member.target_control]
        arguments += ["--behaviour", str(self.behaviour), "--seed", str(self.seed)]
        arguments += ["--override", msgspec.json.encode(self.overrides).decode()]
        journal = self.folder / f"{name}-{len(self.journals)}.journal"
        self.journals[journal] = member
        arguments += ["--journal", str(journal)]
        if self.nodes:
            arguments += ["--egress", member.egress]
        else:
            arguments += ["--peers", self.peers()]
        await self.launch(name, "target", arguments)
        await self.wait_for_answer(name, f"http://{member.target_control}/counters")

    def peers(self) -> str:
        """Return the ``--peers`` argument: the addresses of all targets by service."""
        services = sorted({member.service for member in self.members.values()})
        addresses = self.entry_addresses()
        return ",".join(f"{name}={'+'.join(addresses[name])}" for name in services)

    async def start_node(self, name: str) -> None:
        """Start a node and wait until it is ready."""
        member = self.members[name]
        settings = self.folder / f"{name}-node.toml"
        settings.write_text(format_node_settings(member, self.platform))
        await self.launch(f"{name}-node", "node", [str(settings)])
        await self.wait_for_answer(f"{name}-node", f"http://{member.admin}/ready")

    async def launch(self, name: str, command: str, arguments: list[str]) -> None:
        """Start a process and register it under its name."""
        self.processes[name] = await start_process(
            name, command, arguments, folder=self.folder
        )

    async def wait_for_answer(self, name: str, url: str) -> None:
        """Wait until a process answers with 200 at ``url``."""
        await wait_until_ready(self.processes[name], self.client, url)

    async def stop_member(self, name: str) -> dict[str, int]:
        """Stop an instance gracefully, first its node, then its target.

        Returns the exit codes of both. The next configuration set that is published
        marks the instance as retired, so that other instances own its keys.
        """
        control = self.members[name].target_control
        await self.register_instance(name, "leaving")
        (await self.client.post(f"http://{control}/drain")).raise_for_status()
        codes = {}
        for process in (f"{name}-node", name):
            if process in self.processes:
                codes[process] = await self.processes[process].stop()
        url = f"http://{self.platform_control}/instances/{name}"
        (await self.client.delete(url)).raise_for_status()
        self.stopped.add(name)
        self.objects["target"][name]["retired"] = True
        return codes

    async def stop(self) -> dict[str, int]:
        """Stop nodes, then targets, then the platform; return the exit codes."""
        codes: dict[str, int] = {}
        names = list(self.processes)
        nodes = [name for name in names if name.endswith("-node")]
        targets = [name for name in names if name in self.members]
        for group in (nodes, targets, ["platform"]):
            present = [name for name in group if name in self.processes]
            stops = (self.processes[name].stop() for name in present)
            codes |= dict(zip(present, await asyncio.gather(*stops), strict=True))
        await self.client.aclose()
        self.processes.clear()
        return codes

    def entry_addresses(self) -> dict[str, tuple[str, ...]]:
        """Return the addresses that clients may call, by service."""
        addresses: dict[str, tuple[str, ...]] = {}
        for member in self.members.values():
            if member.name in self.stopped:
                continue
            address = member.ingress if self.nodes else member.target
            addresses[member.service] = (*addresses.get(member.service, ()), address)
        return addresses

    def retry_allowances(self, plan: Plan) -> tuple[int, ...]:
        """Return the retry allowance of the route of each request type of a plan."""
        return tuple(find_retry_allowance(self.objects, kind) for kind in plan.traffic)

    async def set_faults(self, service: str, **faults: Any) -> None:
        """Set faults on all running targets of a service."""
        for member in self.members.values():
            if member.service == service and self.processes[member.name].is_alive():
                url = f"http://{member.target_control}/faults"
                (await self.client.put(url, json=faults)).raise_for_status()

    def processes_in(self, failure_domain: str) -> list[Process]:
        """Return the running processes of a failure domain."""
        names = [
            name
            for member in self.members.values()
            if member.failure_domain == failure_domain
            for name in (member.name, f"{member.name}-node")
        ]
        processes = [self.processes[name] for name in names if name in self.processes]
        return [process for process in processes if process.is_alive()]

    def kill(self, name: str) -> None:
        """Kill a target and its node."""
        for process in (name, f"{name}-node"):
            if process in self.processes:
                self.processes[process].kill()

    def ledgers(self) -> list[TargetLedger]:
        """Return the recorded runs of all target processes, including ended ones."""
        ledgers = []
        for journal, member in self.journals.items():
            with journal.open("rb") as lines:
                entries = read_journal(lines)
            ledgers.append(TargetLedger(member.name, member.service, entries))
        return ledgers


def find_retry_allowance(objects: Objects, kind: Traffic) -> int:
    """Return the retry allowance of the route that matches a request type.

    Raises
    ------
    FleetError
        If no route of the set matches.
    """
    matching = [
        route
        for route in objects["route"].values()
        if route["service"] == kind.service
        and kind.method in route["methods"]
        and kind.path.startswith(route["path"])
    ]
    if not matching:
        raise FleetError(
            subject=f"{kind.service} {kind.method} {kind.path}",
            found="no route",
            expected="a route of the configuration set",
        )
    route = max(matching, key=lambda one: len(one["path"]))
    allowance: int = objects["retry"][route["retry"]]["allowance"]
    return allowance


def has_nonrepeatable_route(objects: Objects, service: str) -> bool:
    """Return whether a service has a route with non-repeatable work."""
    return any(
        route["service"] == service
        and not objects["idempotency"][route["idempotency"]]["repeatable"]
        for route in objects["route"].values()
    )


def create_member(name: str, target: Mapping[str, Any], ports: Ports) -> Member:
    """Return an instance with newly allocated addresses."""
    addresses = [ports.allocate() for _ in range(6)]
    return Member(name, target["service"], target["failure_domain"], *addresses)


def with_loopback_addresses(objects: Objects, members: Mapping[str, Member]) -> Objects:
    """Return the set with its targets at loopback addresses."""
    targets = {
        name: target
        | {"address": members[name].ingress, "control": members[name].control}
        for name, target in objects["target"].items()
    }
    return {**objects, "target": targets}


def format_node_settings(member: Member, platform: str) -> str:
    """Return the settings of a node as TOML."""
    values = {
        "name": member.name,
        "failure_domain": member.failure_domain,
        "ingress": member.ingress,
        "egress": member.egress,
        "control": member.control,
        "admin": member.admin,
        "target": member.target,
        "platform": f"http://{platform}",
    }
    lines = [f'{name} = "{value}"' for name, value in values.items()]
    return "\n".join([*lines, f'keys = ["{SHARED_KEY}"]', ""])
