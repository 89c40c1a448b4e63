"""``buckthornshed diff``: show the changes between two configuration sets."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from ..protocol.canonical import iterate_objects
from ..protocol.published import PublishedSet
from .exits import ExitCode, exit_on_error
from .sources import read_any

__all__ = ["Diff", "describe_changes"]

ABSENT = object()
"""Placeholder for a field that an object does not have."""


@cappa.command(name="diff", help="Show the changes between two sets.")
@dataclass(kw_only=True)
class Diff:
    """Show the changes between two sets.

    Exits with 0 if the sets are equal, 1 if they differ, 2 if one cannot be read or
    has faults.
    """

    old: Annotated[Path, cappa.Arg(help="TOML file, directory or published value.")]
    new: Annotated[Path, cappa.Arg(help="TOML file, directory or published value.")]

    def __call__(self) -> None:
        """Print one line for each changed object and each changed field."""
        with exit_on_error(ExitCode.INPUT_ERROR):
            old = read_any(self.old)
            new = read_any(self.new)
        for line in describe_changes(old, new):
            print(line)
        if old.digest != new.digest:
            raise cappa.Exit(code=ExitCode.REJECTED)


def describe_changes(old: PublishedSet, new: PublishedSet) -> Iterator[str]:
    """Yield a line for each added, removed or changed object, followed by its fields.

    The lines of the objects begin with ``+``, ``-`` and ``~`` respectively.
    """
    before = dict(iterate_objects(old.objects))
    after = dict(iterate_objects(new.objects))
    for key in sorted(before.keys() | after.keys()):
        if old.digests.get(key) == new.digests.get(key):
            continue
        yield f"{_change_marker(key, before, after)} {key.replace('/', '.', 1)}"
        yield from _field_lines(before.get(key, {}), after.get(key, {}))


def _change_marker(
    key: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> str:
    if key not in before:
        return "+"
    return "~" if key in after else "-"


def _field_lines(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    old, new = dict(_flatten(before, "")), dict(_flatten(after, ""))
    for field in sorted(old.keys() | new.keys()):
        old_value, new_value = old.get(field, ABSENT), new.get(field, ABSENT)
        if old_value is ABSENT:
            yield f"    {field}: {new_value!r}"
        elif new_value is ABSENT:
            yield f"    {field}: {old_value!r} -> nothing"
        elif old_value != new_value:
            yield f"    {field}: {old_value!r} -> {new_value!r}"


def _flatten(fields: Mapping[str, Any], prefix: str) -> Iterator[tuple[str, Any]]:
    """Yield the dotted path and the value of each field, with tables expanded."""
    for field, value in fields.items():
        if isinstance(value, Mapping):
            yield from _flatten(value, f"{prefix}{field}.")
        else:
            yield prefix + field, value
