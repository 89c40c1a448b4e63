"""Entry point of the ``buckthornshed`` program."""

from collections.abc import Sequence
from dataclasses import dataclass

import cappa

from .build import Build
from .check import Check
from .demo import Demo
from .diff import Diff
from .dump import Dump
from .load import Load
from .node import Node
from .platform import Platform
from .target import Target
from .trace import Trace

__all__ = ["Buckthornshed", "Command", "main"]

PROGRAM = "buckthornshed"

Command = Node | Check | Build | Diff | Dump | Trace | Load | Demo | Platform | Target
"""Command classes of the program; cappa creates an instance and calls it."""


@cappa.command(name=PROGRAM, help="Overload control for service call graphs.")
@dataclass(kw_only=True)
class Buckthornshed:
    """Overload control for service call graphs."""

    command: cappa.Subcommands[Command]


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command given by `argv`, or by the command line if it is None.

    Raises
    ------
    SystemExit
        With the exit code of the command, unless it is 0.
    """
    cappa.invoke(Buckthornshed, argv=None if argv is None else list(argv))
