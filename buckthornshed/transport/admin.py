"""Admin endpoint of a node, which serves readiness, state and metrics over HTTP."""

import logging
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

import anyio
import msgspec

from .asgi_server import bound_address, listen, serve_application
from .logs import log_event

__all__ = ["AdminApplication", "AdminServer"]

JSON_CONTENT_TYPE = b"application/json"
PROMETHEUS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
READ_METHODS = ("GET", "HEAD")


class Response(NamedTuple):
    """HTTP response with its complete body."""

    status: int
    content_type: bytes
    body: bytes


class AdminApplication:
    """ASGI application of the admin endpoint.

    Parameters
    ----------
    dump : callable
        Returns the state of the process as a mapping that can be encoded as JSON.
    ready : callable
        Returns whether a configuration is in force.
    metrics : callable
        Returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        *,
        dump: Callable[[], Mapping[str, object]],
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> None:
        self.dump = dump
        self.ready = ready
        self.metrics = metrics
        self.routes: dict[str, Callable[[], Response]] = {
            "/ready": self._ready,
            "/dump": self._dump,
            "/metrics": self._metrics,
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        response = self.respond(scope["method"], scope["path"])
        headers = [
            (b"content-type", response.content_type),
            (b"content-length", b"%d" % len(response.body)),
            (b"cache-control", b"no-store"),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})

    def respond(self, method: str, path: str) -> Response:
        """Return the response to a request; an exception in a handler gives a 500."""
        handler = self.routes.get(path)
        if handler is None or method not in READ_METHODS:
            return _error(HTTPStatus.NOT_FOUND)
        try:
            return handler()
        except Exception as error:
            log_event("admin_failed", level=logging.ERROR, path=path, error=repr(error))
            return _error(HTTPStatus.INTERNAL_SERVER_ERROR)

    def _ready(self) -> Response:
        ready = self.ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _json({"ready": ready}, status)

    def _dump(self) -> Response:
        return _json(self.dump(), HTTPStatus.OK)

    def _metrics(self) -> Response:
        return Response(HTTPStatus.OK, PROMETHEUS_CONTENT_TYPE, self.metrics())


class AdminServer:
    """Server of the admin endpoint.

    Parameters
    ----------
    address : str
        Address to listen on, ``ip:port``; port 0 selects any free port.
    dump, ready, metrics : callable
        See `AdminApplication`.

    Attributes
    ----------
    bound : str
        Address of the listening socket; empty until `serve` has opened it.
    """

    def __init__(
        self,
        *,
        address: str,
        dump: Callable[[], Mapping[str, object]],
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ) -> None:
        self.address = address
        self.bound = ""
        self.application = AdminApplication(dump=dump, ready=ready, metrics=metrics)

    async def serve(self, started: anyio.Event) -> None:
        """Serve until cancelled; set `started` once the socket accepts connections.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        listener = listen(self.address)
        self.bound = bound_address(listener)
        started.set()
        stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_set_on_cancellation, stop)
            # hypercorn closes its sockets when it is stopped by its trigger, but
            # possibly not when it is cancelled.
            with anyio.CancelScope(shield=True):
                await serve_application(self.application, listener, stop)


async def _set_on_cancellation(event: anyio.Event) -> None:
    try:
        await anyio.sleep_forever()
    finally:
        event.set()


def _json(content: object, status: HTTPStatus) -> Response:
    return Response(
        status, JSON_CONTENT_TYPE, msgspec.json.encode(content, enc_hook=str)
    )


def _error(status: HTTPStatus) -> Response:
    return _json({"title": status.phrase, "status": int(status)}, status)
