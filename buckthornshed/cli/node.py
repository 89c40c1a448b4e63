"""The command ``buckthornshed node``."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa

from ..errors import SettingsError
from ..transport.logs import configure_logging
from ..transport.node_process import NodeProcess
from ..transport.settings import load_settings

__all__ = ["Node"]

EXIT_SETTINGS = 2


@cappa.command(name="node", help="Run the node beside one target instance.")
@dataclass
class Node:
    """Arguments of the command."""

    settings: Annotated[Path, cappa.Arg(help="TOML file with the settings.")]

    def __call__(self) -> None:
        """Run until SIGTERM; exit with 2 if the settings cannot be used."""
        try:
            settings = load_settings(self.settings)
        except SettingsError as error:
            raise cappa.Exit(str(error), code=EXIT_SETTINGS) from error
        configure_logging(
            form=settings.get("log_format", "keyvalue"),
            level=settings.get("log_level", "INFO"),
        )
        anyio.run(
            NodeProcess(settings=settings).run, backend_options={"use_uvloop": True}
        )
