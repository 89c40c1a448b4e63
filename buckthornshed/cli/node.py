"""``buckthornshed node``: run the node of one target instance."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from ..errors import BuckthornshedError
from ..transport.logs import configure_logging
from ..transport.node_process import NodeProcess
from ..transport.settings import NodeSettings, load_settings
from .exits import ExitCode, exit_on_error

__all__ = ["AddressError", "Node"]


class AddressError(BuckthornshedError):
    """The node cannot listen on an address of its settings."""


@cappa.command(name="node", help="Run the node of one target instance.")
@dataclass(kw_only=True)
class Node:
    """Run the node of one target instance.

    Exits with 0 after draining, 2 if the settings are invalid or the node cannot listen
    on an address.
    """

    settings: Annotated[Path, cappa.Arg(help="TOML file with the settings.")]

    def __call__(self) -> None:
        """Run until SIGTERM or SIGINT, then drain the node."""
        with exit_on_error(ExitCode.INPUT_ERROR):
            settings = load_settings(self.settings)
        configure_logging(
            log_format=settings.get("log_format", "keyvalue"),
            level=settings.get("log_level", "INFO"),
        )
        with exit_on_error(ExitCode.INPUT_ERROR):
            run_node(settings)


def run_node(settings: NodeSettings) -> None:
    """Run a node until it is drained.

    Raises
    ------
    AddressError
        If the node cannot listen on an address.
    """
    process = NodeProcess(settings=settings)
    bind_errors: list[OSError] = []
    try:
        anyio.run(process.run, backend_options={"use_uvloop": True})
    except* OSError as group:
        bind_errors += _iterate_errors(group)
    if bind_errors:
        raise AddressError(
            subject="settings",
            found="; ".join(sorted(str(error) for error in bind_errors)),
            expected="addresses that the node can listen on",
        ) from bind_errors[0]


def _iterate_errors(group: ExceptionGroup[OSError]) -> Iterator[OSError]:
    for error in group.exceptions:
        if isinstance(error, ExceptionGroup):
            yield from _iterate_errors(error)
        else:
            yield error
