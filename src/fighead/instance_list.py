"""What the platform says of instances."""

from attrs import frozen


@frozen
class PlatformList:
    """The platform's list: the state of each instance that is not just live.

    The list lags. An instance that is gone no longer runs anything.
    """

    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
