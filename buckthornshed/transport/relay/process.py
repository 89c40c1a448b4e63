"""Relay process: event loop, signals, readiness probe, start and shutdown."""

import asyncio
import logging
import random
import signal
import time
from collections.abc import Callable
from typing import Protocol

import anyio

from ...errors import SettingsError
from ...protocol.http import Request
from ...protocol.relay_messages import HeaderNames
from ...state.relay_settings import RelaySettings
from ..logs import log_event
from .clients.client_listener import ClientListener, Exchange
from .clients.responses import local_response
from .logs.log_buffer import LogBuffer
from .metrics_handler import MetricsHandler
from .relay import Relay
from .supervision import keep_running

__all__ = ["FleetReader", "run_relay"]

TICK_INTERVAL_S = 0.025
DROPPED_REPORT_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.5
SETTINGS_POLL_INTERVAL_S = 2.0
"""Interval at which the settings are read again, as they may change without SIGHUP."""
DRAIN_NOTICE_S = 2.6
"""Time for which a draining relay still accepts requests.

During this time clients notice that the readiness probe fails and use other relays.
"""
RELAY_NOTICE_S = 0.3
"""Time for which a draining relay still accepts calls of other relays it has told."""
MAX_DRAIN_NOTICE_FRACTION = 0.45
"""Maximum fraction of the grace period in which requests are still accepted."""
SHUTDOWN_MARGIN_S = 0.6
END_MARGIN_S = 0.2
"""Time before the end of the grace period at which answers are no longer sent."""
FINAL_FLUSH_S = 0.05
"""Time in which the last written responses are sent before the process ends."""
MAX_OPERATOR_CONNECTIONS = 64


def boot_time() -> float:
    """Return seconds of a monotonic clock that includes time spent in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetReader(Protocol):
    """Reads the configuration and the registered targets, and follows their changes."""

    async def follow(self) -> None:
        """Report all changes until cancelled."""


class ReadinessHandler:
    """Serves the readiness probe, which tells whether clients may send requests.

    Parameters
    ----------
    relay : Relay
        The relay whose readiness is served.
    path : bytes
        Path of the readiness probe.
    """

    def __init__(self, *, relay: Relay, path: bytes) -> None:
        self.relay = relay
        self.path = path

    def handle_request(self, exchange: Exchange, request: Request) -> None:
        """Answer with 200 if the relay is ready, 503 if not, 404 for other paths."""
        path_matches = request.path.partition(b"?")[0] == self.path
        status = (200 if self.relay.ready else 503) if path_matches else 404
        data = local_response(status, self.relay.names)
        exchange.connection.respond(exchange, data, close=False)

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Do nothing; there is no work to cancel."""

    def handle_rejection(self, status: int, detail: str) -> bytes:
        """Return the response to an invalid request."""
        return local_response(status, self.relay.names, close=True)


def run_relay(
    *,
    read_settings: Callable[[], RelaySettings],
    names: HeaderNames,
    ready_path: bytes,
    make_reader: Callable[[Relay, Callable[[], float]], FleetReader],
    log_buffer: LogBuffer,
) -> None:
    """Run a relay until it has drained after SIGTERM.

    Parameters
    ----------
    read_settings : callable
        Returns the current settings or raises `SettingsError`.
    names : HeaderNames
        Header names of the deployment.
    ready_path : bytes
        Path of the readiness probe.
    make_reader : callable
        Returns the reader of a relay, given the relay and its clock.
    log_buffer : LogBuffer
        Buffer of log lines, which the process flushes.

    Raises
    ------
    SettingsError
        If the settings are invalid at the start.
    """
    relay = Relay(
        settings=read_settings(),
        names=names,
        clock=boot_time,
        wall=time.time,
        rng=random.Random(),
    )
    reader = make_reader(relay, boot_time)
    process = RelayProcess(
        relay=relay,
        reader=reader,
        read_settings=read_settings,
        ready_path=ready_path,
        log_buffer=log_buffer,
    )
    anyio.run(process.run, backend="asyncio", backend_options={"use_uvloop": True})


class RelayProcess:
    """Tasks of one relay process.

    Parameters
    ----------
    relay : Relay
        The relay that the process runs.
    reader : FleetReader
        Reports the configuration and the targets to the relay.
    read_settings : callable
        Returns the current settings or raises `SettingsError`.
    ready_path : bytes
        Path of the readiness probe.
    log_buffer : LogBuffer
        Buffer of log lines, which the process flushes.
    """

    def __init__(
        self,
        *,
        relay: Relay,
        reader: FleetReader,
        read_settings: Callable[[], RelaySettings],
        ready_path: bytes,
        log_buffer: LogBuffer,
    ) -> None:
        self.relay = relay
        self.reader = reader
        self.read_settings = read_settings
        self.log_buffer = log_buffer
        self.metrics_listener = ClientListener(
            handler=MetricsHandler(relay=relay),
            max_connections=MAX_OPERATOR_CONNECTIONS,
            clock=relay.clock,
        )
        self.readiness_listener = ClientListener(
            handler=ReadinessHandler(relay=relay, path=ready_path),
            max_connections=MAX_OPERATOR_CONNECTIONS,
            clock=relay.clock,
        )
        self.dropped_reported_at = relay.clock()
        self.last_settings_error = ""
        self.settings = relay.settings

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        settings = self.relay.settings
        await self.relay.open()
        await self.readiness_listener.open(settings.ready_address)
        await self._open_metrics(settings.metrics_address)
        log_event("started", instance=settings.name, service=settings.target_service)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_running, "reader", self.reader.follow)
            tasks.start_soon(keep_running, "tick", self._tick)
            tasks.start_soon(keep_running, "settings", self._follow_settings)
            tasks.start_soon(keep_running, "sweep", self._close_expired)
            await self._wait_for_stop()
            await self._drain()
            tasks.cancel_scope.cancel()
        log_event("stopped", instance=settings.name)
        self.log_buffer.flush(self.relay.clock())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.relay.tick()
            self._flush_log()

    async def _close_expired(self) -> None:
        """Close the connections of operators that are idle or never end a request."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.readiness_listener.close_expired()
            self.metrics_listener.close_expired()

    def _flush_log(self) -> None:
        now = self.relay.clock()
        if now - self.dropped_reported_at >= DROPPED_REPORT_INTERVAL_S:
            self.dropped_reported_at = now
            dropped = self.log_buffer.take_dropped()
            if dropped:
                log_event("lines_dropped", level=logging.WARNING, lines=dropped)
        self.log_buffer.flush(now)

    async def _open_metrics(self, address: str) -> None:
        try:
            await self.metrics_listener.open(address)
        except OSError as error:
            # Client requests can be served without metrics.
            log_event(
                "metrics_unavailable",
                level=logging.WARNING,
                address=address,
                error=str(error),
            )

    async def _wait_for_stop(self) -> None:
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        # They may have changed since the start, and an earlier SIGHUP is ignored.
        self._reload_settings()
        await stop_requested.wait()

    async def _drain(self) -> None:
        """Let clients leave first, then other relays, then end.

        The target serves other relays while clients leave, as the capacity of a service
        would else be missing for the whole drain of each of its relays in turn.
        """
        relay = self.relay
        now = relay.clock()
        log_event("stopping", requests=len(relay.responses.exchanges))
        grace = relay.settings.grace
        deadline = now + grace - SHUTDOWN_MARGIN_S
        notice = min(DRAIN_NOTICE_S, grace * MAX_DRAIN_NOTICE_FRACTION)
        relay.start_draining(deadline)
        await asyncio.sleep(notice)
        relay.refuse_new_requests()
        await self._wait_while(lambda: relay.serves_clients, deadline - RELAY_NOTICE_S)
        relay.announce_leaving()
        await asyncio.sleep(RELAY_NOTICE_S)
        relay.refuse_new_calls()
        await self._wait_while(lambda: relay.busy, deadline)
        relay.end_requests()
        relay.listener.stop_accepting()
        relay.listener.close_idle()
        await self._send_answers(now + grace - END_MARGIN_S)
        await asyncio.sleep(FINAL_FLUSH_S)

    async def _send_answers(self, deadline: float) -> None:
        """Wait until clients and other relays have taken what is written for them."""
        relay = self.relay
        if relay.unsent_bytes:
            log_event("sending_answers", bytes=relay.unsent_bytes)
        await self._wait_while(lambda: relay.unsent_bytes > 0, deadline)
        if relay.unsent_bytes:
            log_event("answers_cut", level=logging.WARNING, bytes=relay.unsent_bytes)

    async def _wait_while(self, condition: Callable[[], bool], deadline: float) -> None:
        while condition() and self.relay.clock() < deadline:
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _follow_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changed settings; changed addresses need a restart."""
        relay = self.relay
        try:
            settings = self.read_settings()
        except SettingsError as error:
            if str(error) != self.last_settings_error:
                self.last_settings_error = str(error)
                log_event("settings_rejected", level=logging.WARNING, error=str(error))
            return
        self.last_settings_error = ""
        changed = [
            field
            for field in settings._fields
            if getattr(settings, field) != getattr(self.settings, field)
        ]
        self.settings = settings
        if changed:
            relay.update_settings(settings)
            log_event("settings_changed", fields=",".join(changed))
