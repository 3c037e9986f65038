"""The platform's list of instances that are leaving or gone."""

from attrs import frozen


@frozen
class PlatformList:
    """Names of the instances that the platform reports as leaving or gone.

    The list lags behind the actual state.

    :param leaving: Instances that are to be removed.
    :param gone: Removed instances, on which nothing runs any more.
    """

    leaving: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
