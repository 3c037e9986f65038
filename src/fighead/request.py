"""Shared by commands and queries on recorded work, that is plans and watches."""

import datetime as dt

from .exceptions import RequestError
from .ini import NAME_PATTERN

#: Pause between attempts to reach the entry that owns an upstream's line.
RETRY_PAUSE = dt.timedelta(milliseconds=200)


def validate_request_id(request_id: str) -> None:
    """Validate the id of a request, which becomes part of a key in the store.

    :raises RequestError: If the id does not match :data:`.NAME_PATTERN`.
    """
    if not NAME_PATTERN.match(request_id):
        raise RequestError(
            f"The request id {request_id!r} is not valid.",
            "Use 1 to 63 characters of a-z, 0-9, '.', '_' and '-', starting with a "
            "letter or digit.",
        )
