"""Settings of a node process, read from TOML."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, NotRequired

from pydantic import Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from ..errors import SettingsError
from ..state.objects import STRICT, Address, Name

__all__ = ["DEFAULTS", "NodeSettings", "load_settings", "split_address"]

Key = Annotated[str, Field(pattern=r"^([0-9a-f]{2}){16,64}$")]
"""Shared key of 16 to 64 bytes in lower-case hexadecimal."""


@with_config(STRICT)
class NodeSettings(TypedDict):
    """Settings of one node.

    The node listens on four addresses: ``ingress`` for calls of clients and nodes,
    ``egress`` for calls that the local target makes, ``control`` for messages of other
    nodes and ``admin`` for requests of operators. ``target`` is the address of the
    local target and ``platform`` the base URL of the platform. ``keys`` contains the
    signing key, followed by a further key that is accepted. ``peers`` lists control
    addresses of nodes to query at startup, so that a node can start while the platform
    is unreachable.
    """

    name: Name
    failure_domain: Name
    ingress: Address
    egress: Address
    control: Address
    admin: Address
    target: Address
    platform: Annotated[str, Field(pattern=r"^http://[0-9.]+:[0-9]+$")]
    keys: Annotated[list[Key], Field(min_length=1, max_length=2)]
    peers: NotRequired[Annotated[list[Address], Field(max_length=16)]]
    body_bytes_max: NotRequired[Annotated[int, Field(ge=1_024, le=67_108_864)]]
    drain_s: NotRequired[Annotated[float, Field(ge=0.0, le=600.0)]]
    log_format: NotRequired[Literal["keyvalue", "json"]]
    log_level: NotRequired[Literal["DEBUG", "INFO", "WARNING", "ERROR"]]
    otlp: NotRequired[Annotated[str, Field(pattern=r"^http://[0-9.]+:[0-9]+")]]


class Defaults(TypedDict):
    """Default values of optional settings."""

    body_bytes_max: int
    drain_s: float


DEFAULTS = Defaults(body_bytes_max=1_048_576, drain_s=30.0)

SETTINGS_ADAPTER: TypeAdapter[NodeSettings] = TypeAdapter(NodeSettings)


def load_settings(path: Path) -> NodeSettings:
    """Load the settings from a file.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not TOML or has invalid fields; the error names
        the first invalid field and counts the others.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            subject=str(path), found=str(error), expected="a readable TOML file"
        ) from error
    return _validate(path, values)


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into IP address and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _validate(path: Path, values: dict[str, Any]) -> NodeSettings:
    try:
        return SETTINGS_ADAPTER.validate_python(values)
    except ValidationError as error:
        fault, *others = error.errors()
        field = ".".join(str(part) for part in fault["loc"])
        more = f" ({len(others)} more invalid fields)" if others else ""
        raise SettingsError(
            subject=f"{path}: {field}",
            found=repr(fault["input"]),
            expected=fault["msg"] + more,
        ) from error
