"""Smoke test of the single-file executable: processes, signals, time and memory.

Run ``python binary/probe.py dist/buckthornshed``. The program runs with an empty PATH,
as on a machine without Python. The exit code is 1 if the node starts another process,
does not start listening or does not exit with 0 on SIGTERM, or if the second run
unpacks the program again.
"""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

TIMEOUT_S = 60.0
POLL_S = 0.002
SETTLE_S = 2.0
ENVIRONMENT = {"PATH": "/nonexistent"}

SETTINGS = """\
name = "stables-1"
failure_domain = "pokhara-a"
ingress = "127.0.0.1:{ingress}"
egress = "127.0.0.1:{egress}"
control = "127.0.0.1:{control}"
admin = "127.0.0.1:{admin}"
target = "127.0.0.1:{target}"
platform = "http://127.0.0.1:{platform}"
keys = ["00112233445566778899aabbccddeeff"]
"""
PORTS = ("ingress", "egress", "control", "admin", "target", "platform")


class NodeRun(NamedTuple):
    """Measurements of one run of a node."""

    start_s: float
    rss_kb: int
    children: set[int]
    exit_code: int


def main(program: Path) -> int:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        folder.chmod(0o700)
        first = run_node(program, folder)
        second = run_node(program, folder)
        help_s = run_help(program, folder)
        unpacked = [path for path in folder.iterdir() if path.is_dir()]
        unpacked_bytes = sum(directory_size(path) for path in unpacked)
    print(f"file_bytes {program.stat().st_size}")
    print(f"unpacked_bytes {unpacked_bytes}")
    for label, run in (("first", first), ("second", second)):
        print(f"{label}_start_s {run.start_s:.2f}")
        print(f"{label}_rss_kb {run.rss_kb}")
        print(f"{label}_children {len(run.children)}")
        print(f"{label}_exit_code {run.exit_code}")
    print(f"help_s {help_s:.2f}")
    runs = (first, second)
    passed = len(unpacked) == 1 and not any(
        run.children or run.exit_code for run in runs
    )
    print("passed" if passed else "FAILED")
    return 0 if passed else 1


def run_node(program: Path, folder: Path) -> NodeRun:
    """Run a node and stop it; record child processes from its start until SIGTERM."""
    ports = free_ports(len(PORTS))
    settings = folder / "node.toml"
    settings.write_text(SETTINGS.format(**dict(zip(PORTS, ports, strict=True))))
    children: set[int] = set()
    with (folder / "node.log").open("wb") as log:
        started = time.monotonic()
        node = subprocess.Popen(
            [program, "node", settings],
            env=ENVIRONMENT | {"BUCKTHORNSHED_UNPACK_DIR": str(folder)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
    try:
        while not is_listening(ports[0]):
            children |= set(descendant_pids(node.pid))
            require_running(node, started, folder)
            time.sleep(POLL_S)
        start_s = time.monotonic() - started
        settled = time.monotonic() + SETTLE_S
        while time.monotonic() < settled:
            children |= set(descendant_pids(node.pid))
            time.sleep(POLL_S)
        rss_kb = read_rss_kb(node.pid)
        node.send_signal(signal.SIGTERM)
        return NodeRun(start_s, rss_kb, children, node.wait(TIMEOUT_S))
    finally:
        if node.poll() is None:
            node.kill()
            node.wait()


def run_help(program: Path, folder: Path) -> float:
    """Return the run time of ``--help`` when the program is already unpacked."""
    started = time.monotonic()
    subprocess.run(
        [program, "--help"],
        env=ENVIRONMENT | {"BUCKTHORNSHED_UNPACK_DIR": str(folder)},
        stdout=subprocess.DEVNULL,
        check=True,
    )
    return time.monotonic() - started


def require_running(
    node: "subprocess.Popen[bytes]", started: float, folder: Path
) -> None:
    if node.poll() is None and time.monotonic() - started < TIMEOUT_S:
        return
    log = (folder / "node.log").read_text(errors="replace")
    raise SystemExit(
        f"the node did not start listening; exit code {node.poll()}\n{log}"
    )


def descendant_pids(leader: int) -> Iterator[int]:
    """Yield the direct children and all other processes of the leader's session."""
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit() or int(entry.name) == leader:
            continue
        try:
            stat = Path(entry.path, "stat").read_text()
        except OSError:
            continue
        parent, _, session = stat.rpartition(")")[2].split()[1:4]
        if leader in (int(parent), int(session)):
            yield int(entry.name)


def read_rss_kb(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(line.split()[1])


def is_listening(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except OSError:
        return False
    return True


def free_ports(count: int) -> list[int]:
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def directory_size(folder: Path) -> int:
    return sum(path.lstat().st_size for path in folder.rglob("*") if path.is_file())


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve()))
