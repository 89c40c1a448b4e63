"""Decoder of the platform's settings file, which has lines ``a.b=value``."""

import math
from collections.abc import Mapping
from pathlib import Path
from typing import NoReturn

from ..errors import SettingsError
from ..protocol.decoding import parse_decimal
from ..state.relay_settings import RelaySettings, RetryLimits

__all__ = ["SETTINGS_VARIABLE", "parse_settings", "read_settings"]

SETTINGS_VARIABLE = "BUCKTHORNSHED_BOOT"
BYTES_PER_MB = 1_000_000
MAX_PORT = 65_535
MAX_SHOWN_VALUE = 80


def read_settings(path: Path) -> RelaySettings:
    """Read the settings file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read, lacks a field or has an invalid value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            subject=str(path), found=str(error), expected="a readable text file"
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> RelaySettings:
    """Decode the text of a settings file; unknown fields are ignored.

    Raises
    ------
    SettingsError
        If a field is missing or has an invalid value.
    """
    fields = _parse_fields(text)
    instance_address = _get_required(fields, "ip")
    # The first internal port is for other relays, the last one for metrics.
    first_port, last_port = _parse_port_range(_get_required(fields, "internalPorts"))
    return RelaySettings(
        name=_get_required(fields, "node"),
        # The platform's zone is the relay's failure domain.
        failure_domain=_get_required(fields, "zone"),
        # "Outbound": clients and the local target send their requests here.
        client_address=_parse_address(fields, "listen.outbound"),
        ready_address=_parse_address(fields, "listen.ready"),
        peer_address=f"{instance_address}:{first_port}",
        metrics_address=f"{instance_address}:{last_port}",
        target_address=_parse_address(fields, "appAddr"),
        target_service=_get_required(fields, "service"),
        store_address=_parse_address(fields, "platform.addr"),
        grace=_parse_number(fields, "bounds.graceS"),
        retry_limits=RetryLimits(
            ratio=_parse_number(fields, "bounds.retryRatio"),
            window=_parse_number(fields, "bounds.retryWindowS"),
            slack=_parse_number(fields, "bounds.retrySlack"),
        ),
        descriptors=int(_parse_number(fields, "limits.maxFds")),
        memory=int(_parse_number(fields, "limits.memoryMb") * BYTES_PER_MB),
        heartbeat=_parse_heartbeat(fields),
        first_start=fields.get("bootstrap") != "false",
    )


def _parse_fields(text: str) -> dict[str, str]:
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def _get_required(fields: Mapping[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        _reject(name, "nothing", "a value")
    return value


def _parse_number(fields: Mapping[str, str], name: str) -> float:
    value = _get_required(fields, name)
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        _reject(name, repr(value[:MAX_SHOWN_VALUE]), "a number")
    return number


def _parse_heartbeat(fields: Mapping[str, str]) -> float:
    """Return the interval of registrations, 0 if the file does not state it."""
    if not fields.get("beatS"):
        return 0.0
    heartbeat = _parse_number(fields, "beatS")
    if heartbeat < 0.0:
        _reject("beatS", fields["beatS"], "a time of 0 or more")
    return heartbeat


def _parse_address(fields: Mapping[str, str], name: str) -> str:
    value = _get_required(fields, name)
    host, _, port = value.rpartition(":")
    if not host or not 0 <= _parse_port(port) <= MAX_PORT:
        _reject(name, repr(value), "ip:port")
    return value


def _parse_port_range(value: str) -> tuple[int, int]:
    first, _, last = value.partition(",")
    if not 0 <= _parse_port(first) < _parse_port(last) <= MAX_PORT:
        _reject("internalPorts", repr(value), "two ports, the lower one first")
    return int(first), int(last)


def _parse_port(text: str) -> int:
    """Return a port, -1 if the text is no number."""
    port = parse_decimal(text)
    return -1 if port is None else port


def _reject(name: str, found: str, expected: str) -> NoReturn:
    raise SettingsError(subject=f"setting {name}", found=found, expected=expected)
