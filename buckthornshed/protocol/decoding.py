"""What the decoders of foreign data have in common.

Whoever wrote the data may have nested it so deeply that the decoder exceeds the
recursion limit, or may have written a number with more digits than `int` converts.
"""

import msgspec

__all__ = ["DECODE_ERRORS", "parse_decimal"]

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors that a decoder of the library raises for data that it cannot decode."""

MAX_DECIMAL_DIGITS = 18
"""Digits of numbers that fit into 64 bits."""


def parse_decimal(value: bytes | str) -> int | None:
    """Return a number that consists of ASCII digits; None for any other value."""
    if len(value) > MAX_DECIMAL_DIGITS or not value.isascii() or not value.isdigit():
        return None
    return int(value)
