"""Settings and start of relay processes for tests."""

import asyncio
import os
import sys
from pathlib import Path


def settings_text(
    *, name, address, client_port, ready_port, internal_ports, target, store
):
    """Return the settings file of a relay; addresses are ``ip:port``."""
    lines = {
        "node": name,
        "zone": "a",
        "ip": address,
        "listen.outbound": f"{address}:{client_port}",
        "listen.ready": f"{address}:{ready_port}",
        "internalPorts": f"{internal_ports[0]},{internal_ports[1]}",
        "appAddr": target,
        "service": "stalls",
        "limits.maxFds": 1000,
        "limits.memoryMb": 200,
        "bounds.graceS": 6,
        "bounds.retryRatio": 0.2,
        "bounds.retryWindowS": 10,
        "bounds.retrySlack": 49,
        "platform.addr": store,
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())


async def start_process(settings: Path, stdout, source: Path | None = None):
    """Start a relay process with a settings file.

    `source` is the folder of another version of the project, whose relay is started.
    """
    variables = {**os.environ, "BUCKTHORNSHED_BOOT": str(settings)}
    if source is not None:
        variables["PYTHONPATH"] = str(source)
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "buckthornshed.platform",
        env=variables,
        cwd=source,
        stdout=stdout,
    )
