"""Check the ranges of numbers and the forms of texts that others send.

A check raises ValueError with the field, its value and the bound.
"""

from math import isfinite
from typing import Any

SHOWN_CHARACTERS = 40


def shown(value: Any) -> str:
    """Return a value for an error message, shortened if it is long."""
    text = repr(value)
    if len(text) <= SHOWN_CHARACTERS:
        return text
    return f"{text[:SHOWN_CHARACTERS]}... ({len(text)} characters)"


def range_problem(value: float, low: float, high: float) -> str:
    """Return what is wrong with a number, or "" if it is in a range."""
    if low <= value <= high:
        return ""
    return f"The value must be from {low} to {high}, not {shown(value)}."


def checked_int(name: str, value: Any, low: int, high: int) -> int:
    """Return a whole number that is in a range."""
    number = int(value)
    if not low <= number <= high:
        raise ValueError(
            f"{name} must be from {low} to {high}, not {shown(value)}"
        )
    return number


def checked_float(name: str, value: Any, low: float, high: float) -> float:
    """Return a finite number that is in a range."""
    number = float(value)
    if not isfinite(number) or not low <= number <= high:
        raise ValueError(
            f"{name} must be from {low} to {high}, not {shown(value)}"
        )
    return number


def checked_text(name: str, value: Any, limit: int) -> str:
    """Return a text that has at most ``limit`` characters."""
    if not isinstance(value, str):
        raise TypeError(f"{name} must be a text, not {shown(value)}")
    if len(value) > limit:
        raise ValueError(
            f"{name} has {len(value)} characters; at most {limit} are allowed"
        )
    return value


def checked_token(name: str, value: Any, limit: int) -> str:
    """Return a text that can be used in keys, headers and log lines.

    It has 1 to ``limit`` printable ASCII characters and no blanks.
    """
    text = checked_text(name, value, limit)
    if not text or not text.isascii() or not text.isprintable():
        raise ValueError(
            f"{name} must have printable ASCII characters, not {shown(value)}"
        )
    if " " in text:
        raise ValueError(f"{name} must not have blanks: {shown(value)}")
    return text
