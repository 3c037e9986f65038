"""What the decoders of the platform's messages have in common.

The functions raise one of :data:`DECODE_ERRORS` for any other value.
"""

import typing as t

from ..job import MAX_QUANTITY

#: Raised when a body lacks a field, or when a field has an unexpected type or value.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def expect_list(value: t.Any) -> list[t.Any]:
    """Return a list as it is."""
    if not isinstance(value, list):
        raise TypeError("expected a list")
    return value


def expect_text(value: t.Any) -> str:
    """Return a text as it is."""
    if not isinstance(value, str):
        raise TypeError("expected a string")
    return value


def expect_quantity(value: t.Any, least: int = 0) -> int:
    """Return a number from ``least`` to :data:`.MAX_QUANTITY`, as an integer."""
    number = expect_number(value)
    if not least <= number <= MAX_QUANTITY:
        raise ValueError(f"expected {least} to {MAX_QUANTITY}, got {number}")
    return number


def expect_number(value: t.Any) -> int:
    """Return a number as an integer."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("expected a number")
    return int(value)
