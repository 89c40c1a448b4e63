"""Stand-in of the platform: runs relays with the command of the deploy file.

It restarts a process that has ended, and kills one that takes more memory than
`limits.memoryMb`, as DEPLOY.md says.
"""

import asyncio
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from collections.abc import Callable
from pathlib import Path

from .record import Record

ROOT = Path(__file__).resolve().parents[2]
RESTART_DELAY_S = 0.5
MEMORY_POLL_S = 0.02
BYTES_PER_MB = 1_048_576
READY_TIMEOUT_S = 20.0


class Machine:
    """One machine with a relay; its addresses are on the loopback interface.

    Parameters
    ----------
    index : int
        Number of the machine, which gives it an address of its own.
    zone, service : str
        What the settings state.
    ports : Ports
        Ports, the same on all machines.
    store_address : str
        Address of the store.
    folder : Path
        Temporary folder for the settings and the log.
    record : Record
        Where starts and ends are noted.
    overrides : dict
        Settings that differ from the example of DEPLOY.md.
    """

    def __init__(
        self,
        *,
        index: int,
        zone: str,
        service: str,
        ports: "Ports",
        store_address: str,
        folder: Path,
        record: Record,
        overrides: dict[str, object],
    ) -> None:
        self.name = f"sidecar-{zone}-{index}"
        self.host = machine_host(index)
        self.zone = zone
        self.ports = ports
        self.record = record
        self.settings_path = folder / f"node-{index}.conf"
        self.log_path = folder / f"node-{index}.log"
        self.fields = self._fields(service, store_address) | overrides
        self.process: subprocess.Popen[bytes] | None = None
        self.own_ends = 0
        self.ended_at: list[float] = []
        self.stopping = False
        self.peak_bytes = 0
        self.on_end: Callable[[], None] = lambda: None

    @property
    def client_address(self) -> tuple[str, int]:
        """Address that clients send requests to."""
        return self.host, self.ports.outbound

    def _fields(self, service: str, store_address: str) -> dict[str, object]:
        host, ports = self.host, self.ports
        return {
            "node": self.name,
            "role": "relay",
            "machineClass": "sidecar",
            "serves": "sidecar",
            "ip": host,
            "zone": self.zone,
            "region": "region",
            "listen.inbound": f"{host}:{ports.inbound}",
            "listen.outbound": f"{host}:{ports.outbound}",
            "listen.ready": f"{host}:{ports.ready}",
            "internalPorts": f"{ports.internal},{ports.internal_last}",
            "seedAddrs": "",
            "bootstrap": "true",
            "limits.cpuShare": 0.86,
            "limits.vcpus": 2,
            "limits.memoryMb": 300,
            "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0,
            "beatS": 1.5,
            "bounds.stableS": 3,
            "bounds.drainS": 2,
            "bounds.graceS": 6,
            "bounds.lostSlackS": 0.2,
            "bounds.configS": 2,
            "bounds.rollbackSlackS": 0.25,
            "bounds.retryRatio": 0.2,
            "bounds.retryWindowS": 10,
            "bounds.retrySlack": 48,
            "appAddr": f"{host}:{ports.app}",
            "service": service,
            "platform.addr": store_address,
            "platform.form": "read",
            "platform.readsPerS": 2000,
            "platform.valueBytes": 1048576,
        }

    def write_settings(self, **changes: object) -> None:
        """Write the settings file."""
        self.fields |= {name.replace("__", "."): v for name, v in changes.items()}
        lines = [f"{name}={value}\n" for name, value in self.fields.items()]
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text("".join(lines), encoding="utf-8")
        temporary.replace(self.settings_path)

    def start(self) -> None:
        """Start the relay."""
        self.write_settings()
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BUCKTHORNSHED_BOOT": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command["roles"]["relay"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.stopping = False
        self.record.say("started", machine=self.name, pid=self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the relay."""
        if self.process is not None and self.process.poll() is None:
            self.record.say("signal", machine=self.name, number=number.name)
            self.process.send_signal(number)

    def anonymous_bytes(self) -> int:
        """Return the memory of the relay, without shared pages of files."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1_024
        return 0

    async def supervise(self) -> None:
        """Restart the relay when it ends; kill it above its limit of memory."""
        limit = int(str(self.fields["limits.memoryMb"])) * BYTES_PER_MB
        while True:
            await asyncio.sleep(MEMORY_POLL_S)
            if self.process is None:
                continue
            if self.process.poll() is None:
                used = self.anonymous_bytes()
                self.peak_bytes = max(self.peak_bytes, used)
                if used > limit:
                    self.record.say("over_memory", machine=self.name, bytes=used)
                    self.process.kill()
                    self.process.wait()
            if self.process.poll() is not None and not self.stopping:
                self.own_ends += 1
                self.ended_at.append(self.record.now)
                self.record.say(
                    "ended", machine=self.name, status=self.process.returncode
                )
                self.on_end()
                self.process = None
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()

    async def wait_until_ready(self) -> None:
        """Wait until the relay counts as ready."""
        deadline = self.record.now + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.record.now > deadline:
                raise TimeoutError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Return whether the relay answers its readiness probe with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\n\r\n")
            line = await reader.readline()
        except ConnectionError:
            return False
        finally:
            writer.close()
        return b" 200 " in line

    def end(self) -> None:
        """Kill the relay."""
        self.stopping = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Ports:
    """Free ports, the same on all machines.

    Parameters
    ----------
    machines : int
        Number of machines.
    """

    COUNT = 24

    def __init__(self, *, machines: int) -> None:
        base = self._find(machines)
        self.outbound = base
        self.inbound = base + 1
        self.ready = base + 2
        self.app = base + 3
        self.store = base + 4
        self.spare = base + 5
        self.internal = base + 8
        self.internal_last = base + 23

    def _find(self, machines: int) -> int:
        hosts = ["127.0.0.1", *(machine_host(index) for index in range(machines))]
        for base in range(21_000, 31_000, self.COUNT):
            if all(_is_free(h, base + n) for h in hosts for n in range(self.COUNT)):
                return base
        raise OSError("no free ports")


def machine_host(index: int) -> str:
    """Return the loopback address of a machine."""
    return f"127.1.0.{index + 1}"


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder for the settings and logs of one run."""
    return tempfile.TemporaryDirectory(prefix="review-3-")
