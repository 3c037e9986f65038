"""The tree of typed errors that fighead raises.

Every message says what is wrong and what to do about it.
"""


class FigheadError(Exception):
    """Base of all errors raised by fighead.

    :param message: What is wrong.
    :param remedy: What the reader can do about it.

    .. versionadded:: 0.1
    """

    #: HTTP status with which a front reports this kind of error.
    status = 500
    #: Stable name of the kind, used in answers and logs.
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
    """A declaration of inventory or rules is not valid."""

    status = 400
    kind = "declaration"


class RequestError(FigheadError):
    """A caller's request can't be accepted as it stands."""

    status = 400
    kind = "bad_request"


class UnknownNameError(RequestError):
    """A request names an upstream, a kind or a work id that does not exist."""

    status = 404
    kind = "unknown_name"


class BodyTooLargeError(RequestError):
    """A request body exceeds the limit of the front."""

    status = 413
    kind = "body_too_large"


class AuthenticationError(RequestError):
    """An operator call carries no valid token."""

    status = 401
    kind = "authentication"


class NotRunError(FigheadError):
    """The work was not started and will not be.

    :param retry_after_s: Seconds after which a retry may succeed.
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
    """Base of the errors of the platform's key-value service."""

    status = 503
    kind = "store"


class StoreUnavailableError(StoreError):
    """The key-value service was not reached, and a read has no answer."""


class StoreRejectedError(StoreUnavailableError):
    """The key-value service answered that it did nothing."""


class HistoryLostError(StoreError):
    """The key-value service no longer keeps the changes that a watch asks for."""

    kind = "history_lost"


class StoreOutcomeUnknownError(StoreError):
    """A write was sent, but whether it took effect is not known."""


class LeaseLostError(StoreError):
    """The key-value service no longer knows the lease."""

    kind = "lease_lost"


class PeerUnreachableError(FigheadError):
    """A peer entry gave no answer in time.

    :param is_certain: Whether the message was certainly not sent.
    """

    status = 503
    kind = "peer_unreachable"

    def __init__(self, message: str, remedy: str, is_certain: bool = False) -> None:
        super().__init__(message, remedy)
        self.is_certain = is_certain


class WorkerError(FigheadError):
    """Base of the errors of a call to an upstream instance."""

    status = 502
    kind = "worker"


class WorkerRefusedError(WorkerError):
    """The instance refused a call, so the call had no effect.

    :param reason: The instance's own name for the refusal.
    """

    kind = "worker_refused"

    def __init__(self, message: str, remedy: str, reason: str) -> None:
        super().__init__(message, remedy)
        self.reason = reason


class WorkerUnreachableError(WorkerError):
    """A call to an instance got no answer; it may have had its effect."""

    kind = "worker_unreachable"


class WorkerNotReachedError(WorkerUnreachableError):
    """A call to an instance was certainly not sent."""


class MailboxFullError(FigheadError):
    """A task's mailbox is full and the sender may not wait."""

    status = 503
    kind = "overloaded"
