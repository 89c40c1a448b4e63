"""Assembly of a relay process from the platform's settings."""

import logging
import os
import sys
from collections.abc import Callable
from pathlib import Path

from ..errors import SettingsError
from ..transport.logs import configure_logging, log_event
from ..transport.relay.logs.log_buffer import LogBuffer, LogBufferHandler
from ..transport.relay.process import run_relay
from ..transport.relay.relay import Relay
from .reader import StoreReader
from .settings import SETTINGS_VARIABLE, read_settings
from .store import StoreClient
from .wire import HEADERS, READY_PATH

__all__ = ["main"]

DEFAULT_SETTINGS_PATH = "/etc/buckthornshed/node.conf"
SETTINGS_ERROR_STATUS = 2


def main() -> int:
    """Run a relay until SIGTERM; return the exit status."""
    buffer = LogBuffer(descriptor=sys.stdout.fileno())
    configure_logging(
        level="DEBUG", make_handler=lambda: LogBufferHandler(buffer=buffer)
    )
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))

    def make_reader(relay: Relay, clock: Callable[[], float]) -> StoreReader:
        address = relay.settings.store_address
        client = StoreClient(address=address, clock=clock)
        relay.counts.store_calls = lambda: client.calls
        return StoreReader(client=client, listener=relay.fleet_updater)

    try:
        run_relay(
            read_settings=lambda: read_settings(path),
            names=HEADERS,
            ready_path=READY_PATH,
            make_reader=make_reader,
            log_buffer=buffer,
        )
    except SettingsError as error:
        log_event("settings_unusable", level=logging.ERROR, error=str(error))
        buffer.flush(0.0)
        return SETTINGS_ERROR_STATUS
    return 0
