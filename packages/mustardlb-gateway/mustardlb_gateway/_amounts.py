"""Checks of figures that other nodes tell or have stored."""

from collections import abc
import math
from typing import Any

# Identifiers are sent to other nodes as unsigned integers of 64 bits.
MAX_IDENTIFIER = 2**64 - 1


def checked(amount: float) -> float:
    """Return a figure; raises ValueError if it is not a number.

    In sums and comparisons, such a one would spoil all others.
    """
    if math.isnan(amount):
        raise ValueError('an amount is not a number')
    return amount


def checked_by_name(amounts: abc.Mapping[str, float]) -> dict[str, float]:
    """Return figures by name; raises ValueError if one is not a number."""
    if any(map(math.isnan, amounts.values())):
        raise ValueError('an amount is not a number')
    return dict(amounts)


def finite(value: Any) -> float:
    """Return a stored figure; raises ValueError if it is no finite number."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # Larger integers than that have no form as a float.
    if not is_number or not abs(value) <= MAX_IDENTIFIER:
        raise ValueError('a stored figure is no number, or too large')
    return float(value)


def identifier(value: Any) -> int:
    """Return a stored identifier; raises ValueError if it can be none."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= MAX_IDENTIFIER:
        raise ValueError('a stored identifier is none')
    return value
