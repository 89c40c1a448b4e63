"""The command ``buckthornshed platform``."""

import signal
import time
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from ..standins.asgi import listen, serve_application
from ..standins.platform import (
    PlatformFaults,
    PlatformState,
    control_application,
    reader_application,
)

__all__ = ["Platform"]


@cappa.command(name="platform")
@dataclass(kw_only=True)
class Platform:
    """Run the stand-in for the read-and-watch platform."""

    address: Annotated[str, cappa.Arg(long=True, help="ip:port for readers")]
    control: Annotated[str, cappa.Arg(long=True, help="ip:port for operators")]
    rate: Annotated[float, cappa.Arg(long=True, help="reads a second")] = 2000.0
    instance_lag: Annotated[
        float, cappa.Arg(long=True, help="age of the instance list, seconds")
    ] = 5.0

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        anyio.run(self.serve, backend_options={"use_uvloop": True})

    async def serve(self) -> None:
        """Serve both endpoints."""
        faults = PlatformFaults(rate=self.rate, instance_lag_s=self.instance_lag)
        platform = PlatformState(clock=time.monotonic, faults=faults)
        stop = anyio.Event()
        readers = reader_application(platform)
        operators = control_application(platform)
        address = listen(self.address)
        control = listen(self.control)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                group.start_soon(serve_application, readers, address, stop)
                group.start_soon(serve_application, operators, control, stop)
                async for _ in signals:
                    stop.set()
                    break


if __name__ == "__main__":
    cappa.invoke(Platform)
