"""Exit codes and error output of the operators' commands."""

import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from enum import IntEnum

import cappa

from ..errors import BuckthornshedError
from ..protocol.findings import FindingsError

__all__ = ["ExitCode", "exit_on_error"]


class ExitCode(IntEnum):
    """Exit codes.

    ``REJECTED`` stands for a set with faults or, for ``diff``, for sets that differ.
    ``INPUT_ERROR`` stands for an invalid command line, for a file that cannot be read
    or written, and for a node that cannot be reached.
    """

    SUCCESS = 0
    REJECTED = 1
    INPUT_ERROR = 2


@contextmanager
def exit_on_error(code: ExitCode) -> Iterator[None]:
    """Print errors of the package and exit with `code`."""
    try:
        yield
    except FindingsError as error:
        lines = [str(each) for each in error.findings]
        raise _create_exit(lines, code) from error
    except BuckthornshedError as error:
        raise _create_exit([str(error)], code) from error


def _create_exit(lines: Iterable[str], code: ExitCode) -> cappa.Exit:
    # Printed here, as cappa wraps lines and interprets [name] as markup.
    for line in lines:
        print(line, file=sys.stderr)
    return cappa.Exit(code=code)
