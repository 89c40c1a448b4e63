"""Starts, signals and stops the processes of the demo and the benchmarks."""

import asyncio
import contextlib
import os
import re
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

import httpx

from ..errors import BuckthornshedError

__all__ = [
    "FleetError",
    "Ports",
    "Process",
    "logged_generations",
    "start_process",
    "wait_until_key_owner",
    "wait_until_ready",
]

READY_POLL_S = 0.05
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 200
IN_FORCE_PATTERN = re.compile(r"event=configuration_in_force\b.*\bgeneration=(\d+)")
LOOPBACK = "127.0.0.1"


class FleetError(BuckthornshedError):
    """A fleet could not be set up, such as when a process does not become ready."""


class Ports:
    """Allocates free loopback ports below the ephemeral range.

    The ports come from blocks that the driver reserves by listening at their first
    ports, so that several drivers on one machine do not use the same ports.
    """

    def __init__(self) -> None:
        self.locks: list[socket.socket] = []
        self._reserve()

    def allocate(self) -> str:
        """Return the address of the next free port.

        Raises
        ------
        FleetError
            If all blocks are reserved and the last one has no free port left.
        """
        while True:
            if self.next == self.end:
                self._reserve()
            port = self.next
            self.next += 1
            listener = try_listen(port)
            if listener is not None:
                listener.close()
                return f"{LOOPBACK}:{port}"

    def _reserve(self) -> None:
        lock, self.next = reserve_block()
        self.locks.append(lock)
        self.end = self.next + PORTS_PER_BLOCK - 1


def reserve_block() -> tuple[socket.socket, int]:
    """Return the listener that reserves a block, and the next port of the block.

    Raises
    ------
    FleetError
        If all blocks are reserved.
    """
    blocks = (LAST_PORT - FIRST_PORT) // PORTS_PER_BLOCK
    for block in range(os.getpid(), os.getpid() + blocks):
        first = FIRST_PORT + block % blocks * PORTS_PER_BLOCK
        lock = try_listen(first)
        if lock is not None:
            return lock, first + 1
    raise FleetError(subject="ports", found="no free block", expected="one")


def try_listen(port: int) -> socket.socket | None:
    """Return a listener at a loopback port, None if the port is in use."""
    try:
        return socket.create_server((LOOPBACK, port))
    except OSError:
        return None


class Process(NamedTuple):
    """A process and the file that receives its output."""

    name: str
    handle: asyncio.subprocess.Process
    log: Path

    def is_alive(self) -> bool:
        """Return whether the process is running."""
        return self.handle.returncode is None

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used, seconds."""
        stat = Path(f"/proc/{self.handle.pid}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def kill(self) -> None:
        """Send SIGKILL."""
        self._signal(signal.SIGKILL)

    def pause(self) -> None:
        """Suspend the process by SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process by SIGCONT."""
        self._signal(signal.SIGCONT)

    async def stop(self) -> int:
        """Send SIGTERM, wait for the process and return its exit code.

        A process that does not end within ``STOP_TIMEOUT_S`` is killed.
        """
        if self.is_alive():
            self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.handle.wait()
        except TimeoutError:
            self.kill()
            return await self.handle.wait()

    def _signal(self, number: signal.Signals) -> None:
        # The process object sends no signal once the process was reaped, since its id
        # may belong to another process by then.
        with contextlib.suppress(ProcessLookupError):
            self.handle.send_signal(number)


def command_line(command: str) -> list[str]:
    """Return the command line that runs a command of this program."""
    if getattr(sys, "frozen", False):
        return [sys.executable, command]
    start = f"from buckthornshed.cli.{command} import {command.title()} as command"
    return [sys.executable, "-c", f"import cappa; {start}; cappa.invoke(command)"]


async def start_process(
    name: str, command: str, arguments: list[str], *, folder: Path
) -> Process:
    """Start a command of this program, with its output appended to a log file."""
    log = folder / f"{name}.log"
    with log.open("ab") as output:
        handle = await asyncio.create_subprocess_exec(
            *command_line(command),
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
    return Process(name, handle, log)


async def wait_until_ready(
    process: Process, client: httpx.AsyncClient, url: str
) -> None:
    """Wait until ``url`` answers with 200.

    Raises
    ------
    FleetError
        If the process ends or does not answer in time.
    """
    await poll(
        process, lambda: responds_ok(client, url), f"no answer with 200 at {url}"
    )


async def wait_until_key_owner(
    process: Process, client: httpx.AsyncClient, url: str
) -> None:
    """Wait until the dump of a node at ``url`` reports that it owns its keys.

    Raises
    ------
    FleetError
        If the process ends or does not own its keys in time.
    """

    async def is_owner() -> bool:
        owner: bool = (await client.get(url)).json()["owner"]
        return owner

    await poll(process, is_owner, "not the owner of its keys")


async def poll(
    process: Process, condition: Callable[[], Awaitable[bool]], missing: str
) -> None:
    """Wait until a condition on a process holds.

    Raises
    ------
    FleetError
        If the process ends or the condition does not hold in time.
    """
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await condition():
                if not process.is_alive():
                    raise not_ready_error(
                        process, f"exit code {process.handle.returncode}"
                    )
                await asyncio.sleep(READY_POLL_S)
    except TimeoutError:
        raise not_ready_error(process, missing) from None


def logged_generations(process: Process) -> list[int]:
    """Return the configuration generations that a node put in force, from its log."""
    return [int(number) for number in IN_FORCE_PATTERN.findall(process.log.read_text())]


async def responds_ok(client: httpx.AsyncClient, url: str) -> bool:
    """Return whether ``url`` answers with 200."""
    try:
        response = await client.get(url)
    except httpx.HTTPError:
        return False
    return response.status_code == httpx.codes.OK


def not_ready_error(process: Process, found: str) -> FleetError:
    """Return the error for a process that is not ready, with the end of its log."""
    tail = process.log.read_text(errors="replace")[-2000:]
    return FleetError(
        subject=process.name, found=f"{found}; log: {tail}", expected="a ready process"
    )
