"""``buckthornshed platform``: run the platform stand-in for tests and demos."""

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
    """Run a stand-in for the platform that nodes read configuration from."""

    address: Annotated[str, cappa.Arg(long=True, help="ip:port that nodes read from")]
    control: Annotated[
        str, cappa.Arg(long=True, help="ip:port for publication and fault injection")
    ]
    rate: Annotated[
        float, cappa.Arg(long=True, help="maximum rate of reads per second")
    ] = 2000.0
    instance_lag: Annotated[
        float, cappa.Arg(long=True, help="staleness of the instance list in seconds")
    ] = 5.0

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        anyio.run(self.serve, backend_options={"use_uvloop": True})

    async def serve(self) -> None:
        """Serve the read endpoint and the control endpoint."""
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
