"""Puts one relay process together from the platform's settings."""

import os
import sys
from pathlib import Path

from ..errors import SettingsError
from ..transport.logs import configure_logging, log_event
from ..transport.relay.process import run_relay
from .reader import StoreReader
from .settings import SETTINGS_VARIABLE, read_settings
from .store import StoreClient
from .wire import HEADERS, READY_PATH

__all__ = ["main"]

DEFAULT_SETTINGS = "/etc/buckthornshed/node.conf"
EXIT_SETTINGS = 2


def main() -> int:
    """Run a relay until it is told to stop; return the exit status."""
    configure_logging(stream=sys.stdout)
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    try:
        settings = read_settings(path)
    except SettingsError as error:
        log_event("settings_unusable", error=str(error))
        return EXIT_SETTINGS
    run_relay(
        settings=settings,
        names=HEADERS,
        ready_path=READY_PATH,
        make_reader=lambda relay, clock: StoreReader(
            client=StoreClient(address=settings.store_address, clock=clock),
            listener=relay,
        ),
    )
    return 0
