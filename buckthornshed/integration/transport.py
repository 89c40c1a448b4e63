"""An httpx transport that sends calls through the egress of the local node."""

from collections.abc import Iterator

import httpx

from ..protocol.http import CONTEXT_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER
from ..protocol.outcome import Outcome
from .errors import CallNotRunError, create_error, read_outcome
from .request_context import TRACE_HEADER, RequestContext, current_context

__all__ = ["EgressTransport"]

PROPAGATED_HEADERS = (CONTEXT_HEADER, DEADLINE_HEADER, TRACE_HEADER)
"""Headers taken from the request context; the application's values are dropped."""


class EgressTransport(httpx.AsyncBaseTransport):
    """Send calls to ``http://<service>/...`` through the local node.

    Parameters
    ----------
    egress : str
        Egress address of the node, ``ip:port``.
    raise_errors : bool, optional
        Whether a call that did not complete raises a `CallError`. Otherwise the
        response is returned, with the outcome in ``buckthornshed-outcome``.
    forward_key : bool, optional
        Whether calls without an idempotency key get the key of the current request.
    inner : httpx.AsyncBaseTransport, optional
        Transport that sends the requests.

    Raises
    ------
    CallError
        Raised by calls that did not complete if `raise_errors` is set.
    httpx.UnsupportedProtocol
        Raised by calls to a URL whose scheme is not ``http``.
    """

    def __init__(
        self,
        *,
        egress: str,
        raise_errors: bool = False,
        forward_key: bool = False,
        inner: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        host, _, port = egress.rpartition(":")
        self.host = host
        self.port = int(port)
        self.raise_errors = raise_errors
        self.forward_key = forward_key
        self.inner = inner or httpx.AsyncHTTPTransport()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one call on behalf of the current request."""
        if request.url.scheme != "http":
            raise httpx.UnsupportedProtocol(
                f"{request.url}: found {request.url.scheme}, expected http",
                request=request,
            )
        context = current_context()
        subject = f"{request.method} {request.url.host}{request.url.path}"
        remaining_s = None if context is None else context.remaining_s()
        if self.raise_errors and remaining_s is not None and remaining_s <= 0:
            raise CallNotRunError(subject=subject, found="an expired deadline")
        response = await self.inner.handle_async_request(
            self._build_egress_request(request, context)
        )
        if not self.raise_errors:
            return response
        return await _raise_for_outcome(subject, request, response)

    async def aclose(self) -> None:
        """Close the connections."""
        await self.inner.aclose()

    def _build_egress_request(
        self, request: httpx.Request, context: RequestContext | None
    ) -> httpx.Request:
        headers = request.headers.copy()
        for name in PROPAGATED_HEADERS:
            headers.pop(name.decode(), None)
        if context is not None:
            headers.update(list(_propagated_headers(context)))
        key = None if context is None else context.key
        if self.forward_key and key is not None:
            headers.setdefault(IDEMPOTENCY_KEY_HEADER.decode(), key.decode("latin-1"))
        headers["host"] = request.url.host
        return httpx.Request(
            request.method,
            request.url.copy_with(host=self.host, port=self.port),
            headers=headers,
            stream=request.stream,
            extensions=request.extensions,
        )


def _propagated_headers(context: RequestContext) -> Iterator[tuple[str, str]]:
    if context.context is not None:
        yield CONTEXT_HEADER.decode(), context.context.decode("latin-1")
    if context.traceparent is not None:
        yield TRACE_HEADER.decode(), context.traceparent.decode("latin-1")
    remaining_s = context.remaining_s()
    if remaining_s is not None:
        yield DEADLINE_HEADER.decode(), str(max(0, int(remaining_s * 1e3)))


async def _raise_for_outcome(
    subject: str, request: httpx.Request, response: httpx.Response
) -> httpx.Response:
    """Return the response, or raise the error that its outcome stands for."""
    response.request = request
    if read_outcome(response) in (None, Outcome.COMPLETE):
        return response
    await response.aread()
    await response.aclose()
    error = create_error(subject, response)
    if error is not None:
        raise error
    return response
