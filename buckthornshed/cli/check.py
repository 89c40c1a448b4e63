"""``buckthornshed check``: list the faults of a configuration set."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..protocol.canonical import iterate_objects
from ..state.objects import ConfigurationSet
from .exits import ExitCode, exit_on_error
from .sources import read_and_check

__all__ = ["Check"]


@cappa.command(name="check", help="List the faults of a configuration set.")
@dataclass(kw_only=True)
class Check:
    """List the faults of a configuration set.

    Exits with 0 if there are none, 1 if there are any, 2 if the path cannot be read.
    """

    path: Annotated[Path, cappa.Arg(help="TOML file, or directory with TOML files.")]

    def __call__(self) -> None:
        """Print one line for each fault and a summary."""
        with exit_on_error(ExitCode.INPUT_ERROR):
            objects, findings = read_and_check(self.path)
        for finding in findings:
            print(finding)
        if findings:
            print(f"{len(findings)} fault{'s' if len(findings) > 1 else ''}")
            raise cappa.Exit(code=ExitCode.REJECTED)
        print(f"no faults: {_summary(objects)}")


def _summary(objects: ConfigurationSet) -> str:
    count = sum(1 for _ in iterate_objects(objects))
    services, targets = len(objects["service"]), len(objects["target"])
    return f"{count} objects, {services} services, {targets} targets"
