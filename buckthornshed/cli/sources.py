"""Read configuration sets and published values from disk, and write them."""

import os
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path

from ..errors import BuckthornshedError
from ..protocol.configuration import ReadResult, Source, read_set
from ..protocol.documents import MAX_FILE_BYTES
from ..protocol.published import (
    MAX_VALUE_BYTES,
    PublishedSet,
    build_published_set,
    check_size,
    unpack_published,
)

__all__ = [
    "UnusablePathError",
    "read_and_check",
    "read_any",
    "read_published",
    "read_sources",
    "write_values",
]

SUFFIX = ".toml"

NO_GENERATION = 0
"""Generation of a set read from TOML files, which have none."""


class UnusablePathError(BuckthornshedError):
    """A path cannot be read or written, or contains no configuration."""


def read_sources(path: Path) -> list[Source]:
    """Return the TOML file at `path`, or all TOML files in that directory tree.

    Raises
    ------
    UnusablePathError
        If there is no TOML file, or one cannot be read.
    """
    if not path.is_dir():
        return [Source(path.name, _read(path, MAX_FILE_BYTES))]
    files = sorted(file for file in path.rglob(f"*{SUFFIX}") if file.is_file())
    if not files:
        raise UnusablePathError(
            subject=str(path), found="no TOML file", expected="at least one"
        )
    return [
        Source(file.relative_to(path).as_posix(), _read(file, MAX_FILE_BYTES))
        for file in files
    ]


def read_and_check(path: Path) -> ReadResult:
    """Return the set at `path` with all findings, including that of its encoded size.

    Raises
    ------
    UnusablePathError
        If `path` cannot be read.
    """
    objects, findings = read_set(read_sources(path))
    return ReadResult(objects, tuple(sorted([*findings, *check_size(objects)])))


def read_published(path: Path) -> PublishedSet:
    """Return the published value in the file at `path` without checking its set.

    Raises
    ------
    UnusablePathError
        If `path` cannot be read.
    PublishedValueError
        If the file does not contain a published value.
    """
    return unpack_published(_read(path, MAX_VALUE_BYTES))


def read_any(path: Path) -> PublishedSet:
    """Return the set at `path`, read from TOML files or from a published value.

    Raises
    ------
    UnusablePathError
        If `path` cannot be read.
    FindingsError
        If the TOML files have faults.
    PublishedValueError
        If the file is neither TOML nor a published value.
    """
    if path.is_dir() or path.suffix == SUFFIX:
        return build_published_set(read_and_check(path).require_valid(), NO_GENERATION)
    return read_published(path)


def write_values(values: Mapping[Path, bytes]) -> None:
    """Replace each file atomically.

    All values are written to temporary files before the first file is replaced, so that
    a failed write changes no file. A failed replacement can leave earlier files of
    `values` replaced.

    Raises
    ------
    UnusablePathError
        If a file cannot be written.
    """
    temporary_paths = {path: path.with_name(path.name + ".partial") for path in values}
    path = Path()
    try:
        for path, value in values.items():
            temporary_paths[path].write_bytes(value)
        for path, partial in temporary_paths.items():
            os.replace(partial, path)
    except OSError as error:
        for partial in temporary_paths.values():
            with suppress(OSError):
                partial.unlink()
        raise _path_error(path, error, "a file that can be written") from error


def _read(path: Path, limit: int) -> bytes:
    """Return the content of a file.

    Reads at most one byte more than `limit`, so that the caller can detect a file that
    is too large.
    """
    try:
        with path.open("rb") as stream:
            return stream.read(limit + 1)
    except OSError as error:
        raise _path_error(path, error, "a file that can be read") from error


def _path_error(path: Path, error: OSError, expected: str) -> UnusablePathError:
    found = error.strerror or type(error).__name__
    return UnusablePathError(subject=str(path), found=found, expected=expected)
