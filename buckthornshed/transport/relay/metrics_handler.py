"""HTTP endpoint for the metrics and the state of a relay."""

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import anyio.to_thread
import msgspec

from ...protocol.http import Request
from .clients.client_listener import Exchange
from .gauges import read_gauges
from .relay_dump import dump_relay

if TYPE_CHECKING:
    from .metrics import RelayMetrics
    from .relay import Relay

__all__ = ["MetricsHandler"]

METRICS_PATH = b"/metrics"
DUMP_PATH = b"/dump"
TEXT_TYPE = b"text/plain; version=0.0.4"
JSON_TYPE = b"application/json"


class MetricsHandler:
    """Serves the metrics of a relay on ``/metrics`` and its state on ``/dump``.

    Parameters
    ----------
    relay : Relay
        The relay whose metrics and state are served.
    """

    def __init__(self, *, relay: "Relay") -> None:
        self.relay = relay
        self.metrics: RelayMetrics | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def handle_request(self, exchange: Exchange, request: Request) -> None:
        """Answer a request; the first one for metrics waits for the libraries."""
        path = request.path.partition(b"?")[0]
        if path == DUMP_PATH:
            state = msgspec.json.encode(dump_relay(self.relay))
            _respond(exchange, b"200 OK", state, JSON_TYPE)
            return
        if path != METRICS_PATH:
            _respond(exchange, b"404 Not Found", b"")
            return
        if self.metrics is not None:
            _respond(exchange, b"200 OK", self.metrics.render())
            return
        task = asyncio.get_running_loop().create_task(self._load_and_answer(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Do nothing; there is no work to cancel."""

    def handle_rejection(self, status: int, detail: str) -> bytes:
        """Return the response to an invalid request."""
        return b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n"

    async def _load_and_answer(self, exchange: Exchange) -> None:
        # Loading in a thread keeps the event loop free for client requests.
        metrics = await anyio.to_thread.run_sync(self._load)
        self.metrics = self.metrics or metrics
        _respond(exchange, b"200 OK", self.metrics.render())

    def _load(self) -> "RelayMetrics":
        from .metrics import RelayMetrics

        relay = self.relay
        return RelayMetrics(
            name=relay.settings.name,
            counts=relay.counts,
            gauges=partial(read_gauges, relay),
        )


def _respond(
    exchange: Exchange, status: bytes, body: bytes, content_type: bytes = TEXT_TYPE
) -> None:
    data = b"HTTP/1.1 %s\r\ncontent-type: %s\r\ncontent-length: %d\r\n\r\n%s" % (
        status,
        content_type,
        len(body),
        body,
    )
    exchange.connection.respond(exchange, data, close=False)
