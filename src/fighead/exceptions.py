"""The hierarchy of exceptions that fighead raises.

Each carries a message that states the problem, and a remedy.
"""


class FigheadError(Exception):
    """Base class of all errors raised by fighead.

    :param message: The problem, in a sentence.
    :param remedy: What the caller or operator can do about it.

    .. versionadded:: 0.1
    """

    #: HTTP status of the response that reports the error.
    status = 500
    #: Stable identifier of the kind of error in responses and logs.
    kind = "internal"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} Remedy: {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(FigheadError):
    """A settings file has a missing, unknown or malformed value."""

    status = 400
    kind = "settings"


class DeclarationError(FigheadError):
    """A declaration of the inventory or the rules is invalid."""

    status = 400
    kind = "declaration"


class RequestError(FigheadError):
    """A request, a peer's message or a stored value is invalid."""

    status = 400
    kind = "bad_request"


class UnknownNameError(RequestError):
    """A request names an upstream, a kind or a work id that does not exist."""

    status = 404
    kind = "unknown_name"


class BodyTooLargeError(RequestError):
    """A request body exceeds the size limit."""

    status = 413
    kind = "body_too_large"


class AuthenticationError(RequestError):
    """An operator request has no token or an invalid one."""

    status = 401
    kind = "authentication"


class NotRunError(FigheadError):
    """The work has not started and will not start; a retry may succeed.

    :param retry_after_s: Seconds to wait before a retry.
    """

    status = 503
    kind = "not_run"

    def __init__(self, message: str, remedy: str, retry_after_s: float = 1.0) -> None:
        super().__init__(message, remedy)
        self.retry_after_s = retry_after_s


class ConflictError(FigheadError):
    """A change was based on a revision that is no longer the latest."""

    status = 409
    kind = "conflict"


class StoreError(FigheadError):
    """Base class of errors of the platform's key-value service."""

    status = 503
    kind = "store"


class StoreUnavailableError(StoreError):
    """The key-value service was not reached.

    A write had no effect, and a read has no result.
    """


class StoreRejectedError(StoreUnavailableError):
    """The key-value service refused the request, which had no effect."""


class HistoryLostError(StoreError):
    """The key-value service has discarded the changes that a watch asks for."""

    kind = "history_lost"


class StoreOutcomeUnknownError(StoreError):
    """A write was sent, but its outcome is unknown."""


class LeaseLostError(StoreError):
    """The lease has expired or was revoked at the key-value service."""

    kind = "lease_lost"


class PeerUnreachableError(FigheadError):
    """A peer entry could not be reached or did not answer in time.

    :param is_certain: Whether it is certain that the message was not sent.
    """

    status = 503
    kind = "peer_unreachable"

    def __init__(self, message: str, remedy: str, is_certain: bool = False) -> None:
        super().__init__(message, remedy)
        self.is_certain = is_certain


class WorkerError(FigheadError):
    """Base class of errors of calls to an upstream instance."""

    status = 502
    kind = "worker"


class WorkerRefusedError(WorkerError):
    """The instance refused a call, which had no effect.

    :param reason: Reason for the refusal, as named by the instance.
    """

    kind = "worker_refused"

    def __init__(self, message: str, remedy: str, reason: str) -> None:
        super().__init__(message, remedy)
        self.reason = reason


class WorkerRestartedError(WorkerError):
    """Another incarnation answered a call, which may have taken effect there.

    :param incarnation: The incarnation that answered.
    """

    kind = "worker_restarted"

    def __init__(self, message: str, remedy: str, incarnation: str) -> None:
        super().__init__(message, remedy)
        self.incarnation = incarnation


class WorkerUnreachableError(WorkerError):
    """A call to an instance got no answer; it may have taken effect."""

    kind = "worker_unreachable"


class WorkerNotReachedError(WorkerUnreachableError):
    """A call to an instance failed before it was sent, so it had no effect."""


class MailboxFullError(FigheadError):
    """A message was offered to a mailbox that is full."""

    status = 503
    kind = "overloaded"
