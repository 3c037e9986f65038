"""Answers to requests that are refused, and what their errors keep."""

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
    work = Deferred.fromCoroutine(_return_error(handling))

    def cancel() -> None:
        nonlocal is_refused
        is_refused = True
        work.cancel()

    request.on_refusal = cancel
    try:
        result = await work
    except CancelledError:
        if is_refused:
            return refuse()
        raise
    finally:
        request.on_refusal = None
    if isinstance(result, Exception):
        raise result
    return result


async def _return_error(
    handling: t.Coroutine[t.Any, t.Any, bytes],
) -> bytes | Exception:
    """Return an error in place of raising it: a failed deferred keeps all frames."""
    try:
        return await handling
    except CancelledError:
        raise
    except Exception as exc:
        release_frames(exc)
        return exc


def release_frames(exc: BaseException) -> None:
    """Release the frames of an error that has been handled.

    They hold the body of the request and all that was decoded of it, and are in a
    reference cycle with the error, so that only a garbage collection would free them.
    """
    exc.__traceback__ = None
