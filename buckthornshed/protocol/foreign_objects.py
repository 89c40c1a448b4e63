"""Reading of JSON objects that others have written, field by field.

What cannot be read is reported and left out: a field that has a default takes it, an
object that lacks a required field is missing. Nothing else of the document is lost.
"""

import json
import math
import sys
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from .decoding import DECODE_ERRORS

__all__ = [
    "ObjectReader",
    "UnusableEntry",
    "describe",
    "read_json",
    "usable_numbers",
]

MAX_DESCRIPTION_CHARACTERS = 80
MAX_INTEGER_DIGITS = 300
"""Digits of an integer that is kept as one; a longer one becomes infinite."""

GREATEST_NUMBER = int(sys.float_info.max)
"""Number that all greater ones count as; the greatest one in floating point."""

StructType = TypeVar("StructType", bound=msgspec.Struct)


class UnusableEntry(NamedTuple):
    """A part of a document that is not used.

    Parameters
    ----------
    kind : str
        What it is, such as ``route`` or ``key``.
    name : str
        Name of the object that it belongs to; empty if that cannot be read.
    found, expected : str
        What was found and what would have been usable.
    """

    kind: str
    name: str
    found: str
    expected: str


class UnreadableText:
    """Takes the place of a string that is no Unicode text, and of no type."""

    def __repr__(self) -> str:
        """Return what stands in messages in place of the string."""
        return "text that is not Unicode"


UNREADABLE_TEXT = UnreadableText()


def read_json(data: bytes) -> Any:
    """Return a JSON document as plain objects.

    JSON allows escapes of half a character and numbers out of range (RFC 8259, sections
    6 and 8.2). These become `UnreadableText`, which no field takes, and infinite
    numbers, see `usable_numbers`, so that the rest of the document can be read.

    Raises
    ------
    ValueError, RecursionError
        If the data is not JSON, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data)
    except DECODE_ERRORS:
        return _without_unreadable_text(json.loads(data, parse_int=_parse_integer))


class ObjectReader:
    """Reads objects and reports what it leaves out.

    Parameters
    ----------
    report : callable
        Called with each `UnusableEntry`.
    """

    def __init__(self, *, report: Callable[[UnusableEntry], None]) -> None:
        self.report = report

    def read(
        self, value: Any, object_type: type[StructType], *, kind: str, name: str = ""
    ) -> StructType | None:
        """Return an object of a type; None if a required field cannot be read.

        A field that is null counts as missing.
        """
        if not isinstance(value, dict):
            self.reject(kind, name, type(value).__name__, "an object")
            return None
        fields = {field: each for field, each in value.items() if each is not None}
        try:
            return msgspec.convert(fields, object_type)
        except msgspec.ValidationError:
            pass
        fields = usable_numbers(fields)
        try:
            return msgspec.convert(fields, object_type)
        except msgspec.ValidationError:
            return self._read_by_field(fields, object_type, kind, name)

    def read_list(self, value: Any, *, kind: str, name: str = "") -> list[Any]:
        """Return a list, empty if the value is missing or no list."""
        if value is None:
            return []
        if not isinstance(value, list):
            self.reject(kind, name, type(value).__name__, "a list")
            return []
        return value

    def reject(self, kind: str, name: str, found: str, expected: str) -> None:
        """Report an entry that is not used."""
        self.report(UnusableEntry(kind, _shorten(name), found, expected))

    def _read_by_field(
        self,
        fields: dict[str, Any],
        object_type: type[StructType],
        kind: str,
        name: str,
    ) -> StructType | None:
        """Return an object from the fields that can be read."""
        readable: dict[str, Any] = {}
        for field in msgspec.structs.fields(object_type):
            key = field.encode_name
            if key not in fields:
                continue
            try:
                msgspec.convert(fields[key], field.type)
            except msgspec.ValidationError as error:
                found = f"{key} {describe(fields[key])}"
                self.reject(kind, name, found, str(error))
            else:
                readable[key] = fields[key]
        try:
            return msgspec.convert(readable, object_type)
        except msgspec.ValidationError as error:
            self.reject(kind, name, str(error), "an object with the required fields")
            return None


def describe(value: object) -> str:
    """Return a short text for a value; what it contains may be secret."""
    is_container = isinstance(value, list | dict)
    return type(value).__name__ if is_container else _shorten(repr(value))


def _shorten(text: str) -> str:
    if len(text) <= MAX_DESCRIPTION_CHARACTERS:
        return text
    return f"{text[:MAX_DESCRIPTION_CHARACTERS]}..."


def usable_numbers(value: Any) -> Any:
    """Return a decoded document with its numbers in one form.

    A number without a fraction is an integer, however it was written: ``1.0``, ``1e0``.
    One out of range counts as the greatest or least.
    """
    if isinstance(value, dict):
        return {key: usable_numbers(each) for key, each in value.items()}
    if isinstance(value, list):
        return [usable_numbers(each) for each in value]
    if isinstance(value, float) and math.isinf(value):
        return int(math.copysign(GREATEST_NUMBER, value))
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, int) and abs(value) > GREATEST_NUMBER:
        return GREATEST_NUMBER if value > 0 else -GREATEST_NUMBER
    return value


def _parse_integer(digits: str) -> int | float:
    if len(digits) <= MAX_INTEGER_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith("-") else math.inf


def _without_unreadable_text(value: Any) -> Any:
    if isinstance(value, str):
        return value if _is_unicode(value) else UNREADABLE_TEXT
    if isinstance(value, list):
        return [_without_unreadable_text(each) for each in value]
    if isinstance(value, dict):
        return {
            key: _without_unreadable_text(each)
            for key, each in value.items()
            if _is_unicode(key)
        }
    return value


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
