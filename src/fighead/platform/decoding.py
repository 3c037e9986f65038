"""What the decoders of the platform's messages have in common."""

#: Raised when a body lacks a field, or when a field has an unexpected type or value.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
