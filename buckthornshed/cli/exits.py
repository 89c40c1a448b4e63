"""Exit codes of the commands that deal with configuration, and their messages."""

import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from enum import IntEnum

import cappa

from ..errors import BuckthornshedError
from ..protocol.findings import FindingsError

__all__ = ["ExitCode", "errors_exit_with"]


class ExitCode(IntEnum):
    """Exit codes.

    ``REFUSED`` is a set with faults or, for ``diff``, sets that differ.
    ``UNUSABLE`` is a wrong command line, or a path that cannot be used.
    """

    DONE = 0
    REFUSED = 1
    UNUSABLE = 2


@contextmanager
def errors_exit_with(code: ExitCode) -> Iterator[None]:
    """Turn errors of the package into messages and an exit with `code`."""
    try:
        yield
    except FindingsError as error:
        lines = [str(each) for each in error.findings]
        raise _exit(lines, code) from error
    except BuckthornshedError as error:
        raise _exit([str(error)], code) from error


def _exit(lines: Iterable[str], code: ExitCode) -> cappa.Exit:
    # The output of cappa wraps lines and takes [name] for markup.
    for line in lines:
        print(line, file=sys.stderr)
    return cappa.Exit(code=code)
