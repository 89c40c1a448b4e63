"""Two relay processes: one that clients use, and one beside the target of a service."""

import asyncio
import contextlib
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from .fleet import HOST, configuration, free_port, until
from .relay_processes import settings_text, start_process
from .standin_store import StandinStore
from .standin_target import StandinTarget

ENTRY, REMOTE = "127.0.0.2", "127.0.0.3"
BORN = 1_700_000_000_000
SLOTS = 200
KIBIBYTE = 1_024


class ProcessPair:
    """The processes, the store, and the server that plays the target of ``stalls``.

    Attributes
    ----------
    processes : dict
        Relay processes by the address of their instance.
    """

    def __init__(self, folder: Path, *, memory: int) -> None:
        self.folder = folder
        self.memory = memory
        self.store = StandinStore()
        self.front = StandinTarget("i-front")
        self.client_port, self.ready_port = free_port(), free_port()
        self.internal_ports = sorted(free_port() for _ in range(2))
        self.processes: dict[str, Any] = {}

    async def start(self, target_address: str, **options: Any) -> None:
        """Start both relays; the target of ``stalls`` is at `target_address`."""
        await self.store.open()
        await self.front.open(ENTRY)
        await self.store.put("op/config", configuration(front="front", **options))
        targets = {
            ENTRY: ("front", "i-front", self.front.address),
            REMOTE: ("stalls", "i-stalls", target_address),
        }
        for host, (service, name, address) in targets.items():
            entry = {
                "service": service,
                "addr": address,
                "zone": "a",
                "slots": SLOTS,
                "state": "ready",
                "seq": 1,
                "born": BORN,
            }
            await self.store.put(f"servers/{name}", entry)
            path = self.folder / f"{host}.conf"
            path.write_text(self.settings(host, service, address))
            with (self.folder / f"{host}.log").open("w") as log:
                self.processes[host] = await start_process(path, log)
        for host in targets:
            await self.wait_until_ready(host)

    def settings(self, host: str, service: str, target: str) -> str:
        text: str = settings_text(
            name=f"instance-{host}",
            address=host,
            client_port=self.client_port,
            ready_port=self.ready_port,
            internal_ports=self.internal_ports,
            target=target,
            store=self.store.address,
        )
        text = text.replace("service=stalls", f"service={service}")
        return text.replace("memoryMb=200", f"memoryMb={self.memory}")

    async def wait_until_ready(self, host: str) -> None:
        async with asyncio.timeout(30.0):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(
                        host, self.ready_port
                    )
                    writer.write(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n")
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    if b" 200 " in head:
                        return
                await asyncio.sleep(0.05)

    async def ask(self, number: int, path: str = "/avail/1") -> int | None:
        """Send a request to the first relay; return the status, None if cut off."""
        reader, writer = await asyncio.open_connection(ENTRY, self.client_port)
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-{number}\r\n"
            f"Deadline-Ms: 15000\r\n\r\n".encode()
        )
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            remaining = length
            while remaining:
                part = await reader.read(min(remaining, 1024 * KIBIBYTE))
                if not part:
                    return None
                remaining -= len(part)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.close()
        return int(head.split(b" ", 2)[1])

    async def wait_until_served(self, path: str) -> None:
        statuses: list[int | None] = []

        async def ask() -> None:
            statuses.append(await self.ask(0, path))

        await until(lambda: 200 in statuses, ask=ask)

    def peaks(self) -> dict[str, float]:
        """Return the greatest resident memory of each running relay, in MB."""
        return {
            host: _status_kb(process.pid, "VmHWM") * KIBIBYTE / 1e6
            for host, process in self.processes.items()
            if process.returncode is None
        }

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        self.store.close()
        self.front.close()


@asynccontextmanager
async def process_pair(folder, target_address, *, memory, **options):
    """Run two relays with `memory` MB each, warmed up with one request."""
    pair = ProcessPair(folder, memory=memory)
    try:
        await pair.start(target_address, **options)
        for path in ("/front/0", "/avail/0"):
            await pair.wait_until_served(path)
        yield pair
    finally:
        await pair.stop()


def _status_kb(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1])
    return 0
