"""ASGI middleware that stores the context of the current request."""

from collections.abc import Awaitable, Callable
from typing import Any

from ..protocol.http import CONTEXT_HEADER
from .request_context import CURRENT_CONTEXT, read_context

__all__ = ["ContextMiddleware"]

REQUEST_SCOPE_TYPES = ("http", "websocket")
RESPONSE_START = "http.response.start"


class ContextMiddleware:
    """Store the context of the current request for `EgressTransport`.

    The response repeats the context, by which the node tells it from those to other
    requests.

    Tasks that the application starts while it handles the request inherit the context.

    Parameters
    ----------
    app : callable
        The ASGI application; positional because ASGI frameworks pass it that way.
    """

    def __init__(self, app: Callable[[Any, Any, Any], Awaitable[None]]) -> None:
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope["type"] not in REQUEST_SCOPE_TYPES:
            await self.app(scope, receive, send)
            return
        context = read_context(scope["headers"])
        token = CURRENT_CONTEXT.set(context)

        async def send_marked(message: Any) -> None:
            if message["type"] == RESPONSE_START and context.context is not None:
                mark = (CONTEXT_HEADER, context.context)
                message = {**message, "headers": [*message.get("headers", ()), mark]}
            await send(message)

        try:
            await self.app(scope, receive, send_marked)
        finally:
            CURRENT_CONTEXT.reset(token)
