"""``buckthornshed target``: run an emulated target instance."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from ..errors import SettingsError
from ..standins.asgi import listen, patch, serve_application
from ..standins.behaviour import (
    RouteBehaviour,
    ServiceBehaviour,
    parse_calls,
    read_deployment,
)
from ..standins.calls import DownstreamCaller
from ..standins.ledger import Ledger
from ..standins.target import EmulatedTarget
from ..standins.target_control import target_application

__all__ = ["Target"]

ANY_METHOD = ("GET", "POST")


@cappa.command(name="target")
@dataclass(kw_only=True)
class Target:
    """Run an emulated target instance."""

    address: Annotated[str, cappa.Arg(long=True, help="ip:port that serves calls")]
    control: Annotated[
        str, cappa.Arg(long=True, help="ip:port of the control endpoint for tests")
    ]
    service: Annotated[str, cappa.Arg(long=True, help="name of the service")]
    name: Annotated[str, cappa.Arg(long=True, help="name of the instance")] = ""
    egress: Annotated[
        str | None,
        cappa.Arg(long=True, help="ip:port of the egress endpoint of its node"),
    ] = None
    peers: Annotated[
        str,
        cappa.Arg(long=True, help="service=ip:port+ip:port,... to call without nodes"),
    ] = ""
    behaviour: Annotated[
        Path | None,
        cappa.Arg(long=True, help="TOML file with the behaviour of services"),
    ] = None
    calls: Annotated[
        str,
        cappa.Arg(long=True, help="service:METHOD:/path,... to call on each request"),
    ] = ""
    override: Annotated[
        str, cappa.Arg(long=True, help="JSON object that overrides behaviour fields")
    ] = "{}"
    journal: Annotated[
        Path | None, cappa.Arg(long=True, help="file to write the ledger to")
    ] = None
    seed: Annotated[
        int, cappa.Arg(long=True, help="random seed of service times and faults")
    ] = 1

    def __call__(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in progress."""
        anyio.run(self.serve, backend_options={"use_uvloop": True})

    def read_behaviour(self) -> ServiceBehaviour:
        """Return the behaviour from the file, or one that serves any GET and POST."""
        if self.behaviour is not None:
            services = read_deployment(self.behaviour).service
            if self.service not in services:
                raise SettingsError(
                    subject=str(self.behaviour),
                    found=", ".join(services),
                    expected=f"service {self.service}",
                )
            return services[self.service]
        calls = parse_calls(self.calls)
        routes = (RouteBehaviour(method, "/", calls=calls) for method in ANY_METHOD)
        return ServiceBehaviour(route=tuple(routes))

    def create_target(self) -> EmulatedTarget:
        """Return the target for the arguments of the command."""
        journal = self.journal.open("wb", buffering=0) if self.journal else None
        behaviour = patch(self.read_behaviour(), self.override.encode())
        caller = DownstreamCaller(
            behaviour=behaviour,
            egress=self.egress,
            peers=parse_peers(self.peers),
            clock=time.monotonic,
        )
        return EmulatedTarget(
            name=self.name or f"{self.service}@{self.address}",
            service=self.service,
            behaviour=behaviour,
            caller=caller,
            clock=time.monotonic,
            rng=random.Random(f"{self.seed} {self.name}"),
            ledger=Ledger(journal=journal),
        )

    async def serve(self) -> None:
        """Serve calls and the control endpoint."""
        target = self.create_target()
        listener = listen(self.address)
        control = listen(self.control)
        application = target_application(target)
        stop = anyio.Event()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(target.create_protocol, sock=listener)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                group.start_soon(serve_application, application, control, stop)
                async for _ in signals:
                    break
                target.start_draining()
                await target.idle.wait()
                server.close()
                target.caller.pool.close()
                for connection in tuple(target.connections):
                    connection.transport.close()
                stop.set()


def parse_peers(text: str) -> dict[str, tuple[str, ...]]:
    """Return the addresses by service of ``service=ip:port+ip:port,...``."""
    peers = {}
    for item in filter(None, text.split(",")):
        service, _, addresses = item.partition("=")
        peers[service] = tuple(addresses.split("+"))
    return peers


if __name__ == "__main__":
    cappa.invoke(Target)
