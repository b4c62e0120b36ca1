"""Checks of figures that other nodes tell."""

from collections import abc
import math


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
