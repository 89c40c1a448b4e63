"""Number of a configuration, which may have any number of digits."""

import sys
from functools import total_ordering

from .integers import MAX_UINT64, abbreviated

__all__ = ["NO_GENERATION", "Generation"]

MAX_ABBREVIATED_DIGITS = 38
"""Digits of the numbers that `abbreviated` still tells apart."""
TAIL_DIGITS = 15
"""Last digits that a floating-point number holds exactly."""


@total_ordering
class Generation:
    """Number of a configuration; a higher one replaces a lower one.

    It is kept as text, as it may be longer than integers that can be converted.

    Parameters
    ----------
    number : str or int
        The number, or its decimal digits.

    Attributes
    ----------
    digits : str
        Decimal digits without leading zeros; empty for 0.
    """

    __slots__ = ("digits",)

    def __init__(self, number: str | int) -> None:
        self.digits = str(number).lstrip("0")

    def __str__(self) -> str:
        """Return the digits."""
        return self.digits or "0"

    def __repr__(self) -> str:
        """Return a constructor call."""
        return f"Generation({str(self)!r})"

    def __hash__(self) -> int:
        """Return the hash of the digits."""
        return hash(self.digits)

    def __eq__(self, other: object) -> bool:
        """Return whether two numbers are equal."""
        return isinstance(other, Generation) and self.digits == other.digits

    def __lt__(self, other: "Generation") -> bool:
        """Compare as the numbers do."""
        own, others = self.digits, other.digits
        return (len(own), own) < (len(others), others)

    @property
    def abbreviation(self) -> int:
        """The number as an integer of 64 bits, see `abbreviated`."""
        if len(self.digits) > MAX_ABBREVIATED_DIGITS:
            return MAX_UINT64
        return abbreviated(int(str(self)))

    @property
    def approximation(self) -> float:
        """The number in floating point, at most the greatest finite one."""
        return min(float(str(self)), sys.float_info.max)

    @property
    def tail(self) -> int:
        """The number of the last digits, which floating point holds exactly."""
        return int(str(self)[-TAIL_DIGITS:])


NO_GENERATION = Generation(0)
"""Stands for the number of a configuration where there is none."""
