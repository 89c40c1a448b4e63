"""Server that runs an ASGI application with hypercorn on a socket it is given."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import hypercorn
import hypercorn.asyncio

from ..errors import SettingsError

__all__ = [
    "AsgiApplication",
    "bound_address",
    "listen",
    "parse_address",
    "serve_application",
]

BACKLOG = 1024
SHUTDOWN_GRACE_S = 0.2

AsgiApplication = Callable[[Any, Any, Any], Awaitable[None]]


def parse_address(text: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port.

    Raises
    ------
    SettingsError
        If the text does not have that form.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit():
        raise SettingsError(subject="address", found=repr(text), expected="ip:port")
    return host, int(port)


def listen(address: str) -> socket.socket:
    """Return a socket that listens on ``ip:port``; port 0 selects any free port."""
    listener = socket.create_server(parse_address(address), backlog=BACKLOG)
    listener.setblocking(False)
    return listener


def bound_address(listener: socket.socket) -> str:
    """Return the address ``ip:port`` of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def serve_application(
    application: AsgiApplication, listener: socket.socket, stop: anyio.Event
) -> None:
    """Serve ``application`` with hypercorn until ``stop`` is set.

    hypercorn takes ownership of the file descriptor of ``listener`` and closes it. It
    also closes connections that have been idle for 5 s.
    """
    config = hypercorn.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.errorlog = None
    await hypercorn.asyncio.serve(
        application,
        config,
        shutdown_trigger=stop.wait,
    )
