"""Charges connections with what their requests take once they are decoded."""

from twisted.web.iweb import IRequest

from ..exceptions import NotRunError


def charge_work(request: IRequest, size: int) -> None:
    """Charge the connection of a request with ``size`` bytes until it is answered.

    A further charge replaces the one before, so that a front can charge first what it
    takes to decode a body, and then what is left of it:

        charge_work(request, intake.estimate_decoding(len(content)))
        spec = decode(content)
        charge_work(request, intake.estimate_serving(len(content)))

    :raises NotRunError: If the process has no memory to spare for it.
    """
    # A request of another kind of site has no account.
    charge = getattr(request, "charge_work", None)
    if charge is not None and not charge(size):
        raise NotRunError(
            "Requests in progress take all memory that is for them.",
            "Retry after the pause, or send the request to another entry.",
        )
