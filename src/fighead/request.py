"""What commands and queries on recorded work share."""

import datetime as dt

from .exceptions import RequestError
from .ini import NAME_PATTERN

#: Pause before a line without a reachable holder is asked again.
RETRY_PAUSE = dt.timedelta(milliseconds=200)


def check_request_id(request_id: str) -> None:
    """Refuse an id that can't be part of a key.

    :raises RequestError: If it is empty, too long or has other characters.
    """
    if not NAME_PATTERN.match(request_id):
        raise RequestError(
            f"The request id {request_id!r} is not usable.",
            "Use 1 to 63 of a-z, 0-9, '.', '_' and '-'.",
        )
