"""``buckthornshed build``: encode a configuration set for publication."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..protocol.delta import compute_delta
from ..protocol.published import build_published_set
from ..protocol.published_values import SET, published_values
from ..protocol.transitions import require_valid_transition
from .exits import ExitCode, exit_on_error
from .sources import read_and_check, read_published, write_values

__all__ = ["Build"]


@cappa.command(name="build", help="Write the values to publish for a set.")
@dataclass(kw_only=True)
class Build:
    """Write the values to publish for a set.

    Exits with 0 if the files are written, 1 if the set or the generation is rejected,
    2 if a file cannot be read or written. Nothing is written unless the exit code is 0.
    """

    path: Annotated[Path, cappa.Arg(help="TOML file, or directory with TOML files.")]
    generation: Annotated[
        int,
        cappa.Arg(long=True, help="Generation of the set; must exceed earlier ones."),
    ]
    out: Annotated[Path, cappa.Arg(long=True, help="File for the encoded set.")]
    previous: Annotated[
        Path | None,
        cappa.Arg(long=True, help="Published value that this set replaces."),
    ] = None
    values: Annotated[
        Path | None,
        cappa.Arg(
            long=True, help="Directory for the values to publish, one file each."
        ),
    ] = None

    def __call__(self) -> None:
        """Check the set, write its values and print a summary."""
        with exit_on_error(ExitCode.INPUT_ERROR):
            result = read_and_check(self.path)
            previous = read_published(self.previous) if self.previous else None
        with exit_on_error(ExitCode.REJECTED):
            objects = result.require_valid()
            if previous:
                require_valid_transition(previous.objects, objects)
            values = published_values(objects, self.generation, previous)
        with exit_on_error(ExitCode.INPUT_ERROR):
            write_values(self.contents_by_path(values))
        built = build_published_set(objects, self.generation)
        print(f"generation {built.generation}")
        print(f"digest {built.digest}")
        print(f"bytes {len(values[SET])}")
        if previous:
            delta = compute_delta(previous, built)
            print(f"changed {len(delta.changed)}")
            print(f"removed {len(delta.removed)}")

    def contents_by_path(self, values: Mapping[str, bytes]) -> dict[Path, bytes]:
        """Return the content of each file to write.

        In the file name of a value, hyphens replace the slashes of its key.
        """
        files = {self.out: values[SET]}
        if self.values is not None:
            for key, value in values.items():
                files[self.values / key.replace("/", "-")] = value
        return files
