"""Connection faults that stand-ins inject."""

from twisted.web.iweb import IRequest


def abort_connection(request: IRequest) -> None:
    """Abort the connection of a request; the caller gets no answer."""
    transport = request.transport
    if transport is not None:
        transport.abortConnection()
