"""Findings: the faults of a configuration set as typed values."""

from collections.abc import Iterable
from typing import NamedTuple

from ..errors import ConfigurationError

__all__ = ["Finding", "FindingsError", "short_repr"]

MAX_REPR_CHARACTERS = 80


class Finding(NamedTuple):
    """One fault of a set.

    Parameters
    ----------
    file : str
        Name of the file, empty if the set was not read from files.
    object : str
        ``kind.name``, the known part of it, or empty.
    field : str
        Dotted path of the field, ``line N`` for a syntax error, or empty.
    found : str
        The value or condition that was found.
    expected : str
        The value or condition that a valid set has.
    """

    file: str
    object: str
    field: str
    found: str
    expected: str

    def __str__(self) -> str:
        """Return the finding as a single line."""
        location = ": ".join(_printable(part) for part in self[:3] if part)
        found, expected = _printable(self.found), _printable(self.expected)
        return f"{location or 'set'}: found {found}, expected {expected}"


class FindingsError(ConfigurationError):
    """A set did not pass the check.

    Parameters
    ----------
    findings : iterable of Finding
        Every fault of the set, at least one.
    """

    def __init__(self, *, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        first = self.findings[0]
        super().__init__(
            subject=f"configuration set with {len(self.findings)} faults",
            found=str(first),
            expected="a valid set",
        )


def _printable(text: str) -> str:
    """Return `text` with line breaks and other unprintable characters escaped."""
    if text.isprintable():
        return text
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in text)


def short_repr(value: object) -> str:
    """Return the repr of `value`, cut to ``MAX_REPR_CHARACTERS``."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # Python does not convert integers of over 4,300 digits to strings.
        text = f"an oversized {type(value).__name__}"
    if len(text) <= MAX_REPR_CHARACTERS:
        return text
    return text[: MAX_REPR_CHARACTERS - 3] + "..."
