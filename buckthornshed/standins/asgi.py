"""A minimal ASGI application with a routing table, served by hypercorn."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar
from urllib.parse import parse_qsl, unquote

import anyio
import msgspec
from pydantic import TypeAdapter, ValidationError

from ..errors import BuckthornshedError, SettingsError
from ..transport.asgi_server import (
    bound_address,
    listen,
    parse_address,
    serve_application,
)

__all__ = [
    "Application",
    "Request",
    "Response",
    "bound_address",
    "json_response",
    "listen",
    "parse_address",
    "patch",
    "serve_application",
]


class Request(NamedTuple):
    """An HTTP request with its complete body.

    ``path_suffix`` is the part of the path after the prefix of the matching route.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[bytes, bytes]
    body: bytes
    path_suffix: str = ""


class Response(NamedTuple):
    """An HTTP response with its complete body."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


Handler = Callable[[Request], Awaitable[Response]]
T = TypeVar("T", bound=tuple[Any, ...])


def json_response(content: object, *, status: int = 200) -> Response:
    """Return a response with ``content`` encoded as JSON."""
    headers = ((b"content-type", b"application/json"),)
    return Response(status, msgspec.json.encode(content), headers)


def patch(current: T, body: bytes) -> T:
    """Return the named tuple ``current`` updated with the fields of a JSON object.

    Raises
    ------
    SettingsError
        If the body is not a JSON object, or a field is unknown or out of range.
    """
    fields = current._asdict()  # type: ignore[attr-defined]
    try:
        fields |= msgspec.json.decode(body, type=dict[str, Any])
        return TypeAdapter(type(current)).validate_python(fields)
    except (msgspec.DecodeError, ValidationError) as error:
        raise SettingsError(
            subject=type(current).__name__,
            found=str(error),
            expected="an object with fields of this type",
        ) from error


class Application:
    """Dispatches requests to handlers by method and path.

    Handlers are registered with the decorator `route`. A path that ends in ``/`` is a
    prefix; the handler gets the rest of the path as ``path_suffix``.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], Handler] = {}

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register the decorated handler for a method and a path."""

        def register(handler: Handler) -> Handler:
            self.routes[method, path] = handler
            return handler

        return register

    async def respond(self, request: Request) -> Response:
        """Return the response of the matching handler.

        Without a match the status is 404; a `BuckthornshedError` gives a 400.
        """
        handler = self.routes.get((request.method, request.path))
        for (method, prefix), candidate in self.routes.items():
            matches = prefix.endswith("/") and request.path.startswith(prefix)
            if handler is None and method == request.method and matches:
                handler = candidate
                request = request._replace(
                    path_suffix=request.path.removeprefix(prefix)
                )
        if handler is None:
            return Response(404)
        try:
            return await handler(request)
        except BuckthornshedError as error:
            return json_response({"error": str(error)}, status=400)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI scope; a client that disconnects cancels its handler."""
        if scope["type"] != "http":
            return
        request = await read_request(scope, receive)
        response = None
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
            response = await self.respond(request)
            group.cancel_scope.cancel()
        if response is None:
            return
        length = (b"content-length", str(len(response.body)).encode())
        headers = [*response.headers, length]
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})


async def read_request(scope: Any, receive: Any) -> Request:
    """Return the request of an ASGI scope with its complete body."""
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return Request(
        method=scope["method"],
        path=unquote(scope["path"]),
        query=dict(parse_qsl(scope["query_string"].decode("latin-1"))),
        headers=dict(scope["headers"]),
        body=body,
    )


async def cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    """Cancel ``scope`` once the client has disconnected."""
    message = await receive()
    while message["type"] != "http.disconnect":
        message = await receive()
    scope.cancel()
