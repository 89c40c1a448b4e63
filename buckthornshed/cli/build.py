"""``buckthornshed build``: write the value that operators publish."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..errors import ConfigurationError
from ..protocol.delta import delta
from ..protocol.published import Published, encode_published, publish
from .exits import ExitCode, errors_exit_with
from .sources import read_checked, read_published, write_value

__all__ = ["Build", "GenerationError"]


class GenerationError(ConfigurationError):
    """A generation does not follow the one that is published."""


@cappa.command(name="build", help="Write the value to publish.")
@dataclass(kw_only=True)
class Build:
    """Write the value to publish.

    Exits with 0 if it is written, 1 if the set or the generation is refused, 2 if
    a path cannot be used. Nothing is written unless the exit code is 0.
    """

    path: Annotated[
        Path, cappa.Arg(help="A TOML file, or a directory with TOML files.")
    ]
    generation: Annotated[
        int, cappa.Arg(long=True, help="Generation of the set, above all earlier ones.")
    ]
    out: Annotated[Path, cappa.Arg(long=True, help="File to write the value to.")]
    previous: Annotated[
        Path | None,
        cappa.Arg(long=True, help="The published value that this one follows."),
    ] = None

    def __call__(self) -> None:
        """Check the set, write the value and print what it holds."""
        with errors_exit_with(ExitCode.UNUSABLE):
            reading = read_checked(self.path)
            previous = read_published(self.previous) if self.previous else None
        with errors_exit_with(ExitCode.REFUSED):
            objects = reading.require()
            expect_higher(self.generation, previous)
            value = encode_published(objects, self.generation)
        with errors_exit_with(ExitCode.UNUSABLE):
            write_value(self.out, value)
        built = publish(objects, self.generation)
        print(f"generation {built.generation}")
        print(f"digest {built.digest}")
        print(f"bytes {len(value)}")
        if previous:
            change = delta(previous, built)
            print(f"changed {len(change.changed)}")
            print(f"removed {len(change.removed)}")


def expect_higher(generation: int, previous: Published | None) -> None:
    """Refuse a generation that nodes would not take after `previous`.

    Raises
    ------
    GenerationError
        If `generation` is not above that of `previous`.
    """
    if previous and generation <= previous.generation:
        raise GenerationError(
            subject="generation",
            found=str(generation),
            expected=f"more than {previous.generation}, which is published",
        )
