"""Answers to requests that are refused while they are served."""

import typing as t

from twisted.internet.defer import CancelledError, Deferred
from twisted.web.iweb import IRequest


async def answer_or_refuse(
    request: IRequest,
    handling: t.Coroutine[t.Any, t.Any, bytes],
    refuse: t.Callable[[], bytes],
) -> bytes:
    """Return the body that ``handling`` returns, or that of the refusal.

    If the listener refuses the request first, ``handling`` is cancelled.

    :param refuse: Sets the status of a refusal and returns its body.
    :raises CancelledError: If the client closed the connection.
    """
    is_refused = False
    work = Deferred.fromCoroutine(handling)

    def cancel() -> None:
        nonlocal is_refused
        is_refused = True
        work.cancel()

    request.on_refusal = cancel
    try:
        return await work
    except CancelledError:
        if is_refused:
            return refuse()
        raise
    finally:
        request.on_refusal = None
