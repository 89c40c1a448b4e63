"""A small deployment on loopback addresses, with a relay process beside each server."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from .http import Message, read_head
from .record import Record
from .server import Reply, Server
from .store import Store

__all__ = ["Deployment", "Machine", "route", "temporary_deployment"]

REPOSITORY = Path(__file__).resolve().parents[2]
STORE_IP = "127.0.0.9"
FIRST_IP = 10
PORT_COUNT = 8
START_TIMEOUT_S = 15.0
SETTINGS = """\
node={name}
role=relay
machineClass=sidecar
serves=sidecar
ip={ip}
zone={zone}
region=r
zones.{zone}=r
listen.inbound={ip}:{inbound}
listen.outbound={ip}:{outbound}
listen.ready={ip}:{ready}
internalPorts={first},{last}
seedAddrs=
bootstrap=true
inTolerance=false
limits.cpuShare=0.86
limits.vcpus=2
limits.memoryMb={memory}
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=static
beatS=1.5
contracts=base,drain,config,cost,retry,recover,pressure,platform
tolerate.machines=1
tolerate.zones=1
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableS=3
bounds.ackS=4
bounds.catchUpS=4
bounds.drainS=2
bounds.graceS=6
bounds.lostSlackS=0.2
bounds.configS=2
bounds.rollbackSlackS=0.25
bounds.skewMaxS=5
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=50
bounds.recoverS=15
appAddr={ip}:{app}
service={service}
platform.addr={store}
platform.form=read
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinS=1
"""


def route(
    name: str, prefix: str, service: str, *, kind: str, timeout_s: float
) -> dict[str, object]:
    """Return a rule of the operator's configuration."""
    return {
        "name": name,
        "kind": kind,
        "sloS": 1.5,
        "priority": 0,
        "public": False,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeoutS": timeout_s, "attempts": 2},
    }


class Machine:
    """A server, the relay beside it, and the addresses of both."""

    def __init__(self, *, name: str, ip: str, zone: str, server: Server) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.server = server
        self.service = ""
        self.client_address = ""
        self.ready_address = ""
        self.app_address = ""
        self.settings_path = Path()
        self.process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the relay."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def resident_mb(self) -> float:
        """Resident memory of the relay, in megabytes; 0 if it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self) -> bool:
        """Return whether the relay's readiness address answers with 200."""
        ip, _, port = self.ready_address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        answer = await read_head(reader)
        writer.close()
        return answer is not None and answer.status == 200


class Deployment:
    """Machines, the platform's store and the operator's configuration.

    Parameters
    ----------
    record : Record
        Record of the case.
    folder : Path
        Temporary folder for settings and logs.
    memory_mb : int
        Memory limit in the settings of each relay.
    """

    host = "case.example"

    def __init__(self, *, record: Record, folder: Path, memory_mb: int = 300) -> None:
        self.record = record
        self.folder = folder
        self.memory_mb = memory_mb
        self.store = Store()
        self.machines: list[Machine] = []
        self.ports = _free_ports()
        self.store_address = f"{STORE_IP}:{self.ports[7]}"
        self.version = 0
        self.born = int(time.time() * 1e3) - 60_000

    def add(
        self,
        service: str,
        *,
        zone: str = "z-a",
        reply: Callable[[Message], Reply] = lambda _: Reply(0.02),
    ) -> Machine:
        """Add a machine with a server of a service."""
        index = len(self.machines)
        ip = self.next_ip(0)
        server = Server(name=f"i-{index:08x}", record=self.record, reply=reply)
        machine = Machine(name=f"side-{index}", ip=ip, zone=zone, server=server)
        machine.service = service
        machine.client_address = f"{ip}:{self.ports[1]}"
        machine.ready_address = f"{ip}:{self.ports[2]}"
        machine.app_address = f"{ip}:{self.ports[3]}"
        self.machines.append(machine)
        return machine

    def next_ip(self, offset: int) -> str:
        """Return the address of the next machine, or of one after it."""
        return f"127.0.0.{FIRST_IP + len(self.machines) + offset}"

    def configure(
        self, rules: list[dict[str, object]], **fields: object
    ) -> dict[str, object]:
        """Write a configuration with these rules to the store and return it."""
        self.version += 1
        services = sorted({machine.service for machine in self.machines})
        document: dict[str, object] = {
            "version": f"r{self.version}",
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 67_108_864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
            "listeners": [{"host": self.host, "rules": rules}],
            "clusters": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 448,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            **fields,
        }
        self.store.put("op/config", document)
        self.record.write("configuration", version=document["version"])
        return document

    def register(self, machine: Machine, **changes: object) -> None:
        """Write the registration of a machine's server to the store."""
        registration: dict[str, object] = {
            "service": machine.service,
            "addr": machine.app_address,
            "zone": machine.zone,
            "version": "v1",
            "slots": 60,
            "state": "ready",
            "coldLeftS": 0,
            "seq": 4,
            "born": self.born,
            **changes,
        }
        self.store.put(f"servers/{machine.server.name}", registration)

    async def start(self) -> None:
        """Start the store, the servers and the relays, and wait until all are ready."""
        await self.store.open(self.store_address)
        for machine in self.machines:
            await machine.server.open(machine.app_address)
            self.register(machine)
        for machine in self.machines:
            await self.start_relay(machine)
        until = time.monotonic() + START_TIMEOUT_S
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f"the relay of {machine.name} is not ready")
                await asyncio.sleep(0.05)

    async def start_relay(self, machine: Machine) -> None:
        """Start the relay of a machine with the command of the deploy file."""
        machine.settings_path = self.folder / f"{machine.name}.conf"
        machine.settings_path.write_text(self._settings(machine))
        environment = {
            "PATH": os.environ["PATH"],
            "BUCKTHORNSHED_BOOT": str(machine.settings_path),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "buckthornshed.platform",
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write("started", relay=machine.name, pid=machine.process.pid)

    async def stop(self) -> None:
        """Kill all relays that still run."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()

    def _settings(self, machine: Machine) -> str:
        return SETTINGS.format(
            name=machine.name,
            ip=machine.ip,
            zone=machine.zone,
            service=machine.service,
            memory=self.memory_mb,
            store=self.store_address,
            inbound=self.ports[0],
            outbound=self.ports[1],
            ready=self.ports[2],
            app=self.ports[3],
            first=self.ports[4],
            last=self.ports[6],
        )


@contextmanager
def temporary_deployment(record: Record, memory_mb: int = 300) -> Iterator[Deployment]:
    """Yield a deployment whose files are removed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        yield Deployment(record=record, folder=Path(folder), memory_mb=memory_mb)


def _free_ports() -> list[int]:
    """Return consecutive ports that are free on all loopback addresses.

    They are below the ephemeral ports, so that no outgoing connection takes one.
    """
    for first in range(20_000 + os.getpid() % 1_000 * 10, 32_000, PORT_COUNT):
        ports = list(range(first, first + PORT_COUNT))
        sockets = [socket.socket() for _ in ports]
        try:
            for each, port in zip(sockets, ports, strict=True):
                each.bind(("0.0.0.0", port))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
        return ports
    raise OSError("no free ports")
