"""Trouble with connections that the stand-ins make."""

from twisted.web.iweb import IRequest


def cut_off(request: IRequest) -> None:
    """Cut the connection of a request without an answer."""
    transport = request.transport
    if transport is not None:
        transport.abortConnection()
