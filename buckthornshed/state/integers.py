"""Integers without a bound, in fields of 64 bits."""

__all__ = ["MAX_INT63", "MAX_UINT64", "abbreviated"]

MAX_INT63 = 2**63 - 1
"""Greatest integer that is its own abbreviation."""
MAX_UINT64 = 2**64 - 1
ABBREVIATED_BITS = 126
"""Length of the longest integers that have abbreviations of their own, in bits."""


def abbreviated(number: int) -> int:
    """Return an integer of 64 bits that stands for one of any length.

    A greater number has no smaller abbreviation, and none exceeds its number. Numbers
    up to `MAX_INT63` stand for themselves. Of the others the leading bits are kept: of
    those with `n` bits, 2 to the power of 126 - `n` can be told apart.
    """
    if number <= MAX_INT63:
        return number
    bits = number.bit_length()
    if bits > ABBREVIATED_BITS:
        return MAX_UINT64
    first = (1 << 64) - (1 << 127 - bits)
    dropped_bits = 2 * bits - 127
    return first + ((number - (1 << bits - 1)) >> dropped_bits)
