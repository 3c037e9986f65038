"""A key-value service in memory behind a link of limited bandwidth."""

import json
from urllib.parse import parse_qs, urlsplit

import h11
from twisted.internet.testing import MemoryReactorClock, StringTransport

#: Time between two arrivals of data from the link.
ARRIVAL_INTERVAL_S = 0.2


class SlowLink(MemoryReactorClock):
    """A reactor whose connections lead to a service over a slow link.

    :param answer: Returns the body for the path and the query of a request.
    :param bytes_per_s: Bandwidth of a connection.
    :param stalls_after: Bytes of each response after which nothing more arrives.
    """

    def __init__(self, answer, bytes_per_s, stalls_after=None):
        super().__init__()
        self.answer = answer
        self.bytes_per_s = bytes_per_s
        self.stalls_after = stalls_after

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(SlowTransport(self, protocol))


class SlowTransport(StringTransport):
    """The client's side of a connection; it answers each request it is given."""

    def __init__(self, link, protocol):
        super().__init__()
        self.link = link
        self.protocol = protocol
        self.server = h11.Connection(our_role=h11.SERVER)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def write(self, data):
        self.server.receive_data(data)
        request = self.server.next_event()
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.dumps(self.link.answer(url.path, query)).encode()
        headers = [("Content-Length", str(len(body)))]
        head = h11.Response(status_code=200, headers=headers)
        response = self.server.send(head) + self.server.send(h11.Data(data=body))
        self.server.send(h11.EndOfMessage())
        self.server.next_event()
        self.server.start_next_cycle()
        self._transfer(response)

    def _transfer(self, response):
        size = max(1, int(self.link.bytes_per_s * ARRIVAL_INTERVAL_S))
        end = min(len(response), self.link.stalls_after or len(response))
        for number, start in enumerate(range(0, end, size), 1):
            chunk = response[start : min(start + size, end)]
            self.link.callLater(number * ARRIVAL_INTERVAL_S, self._deliver, chunk)

    def _deliver(self, chunk):
        if not self.disconnecting:
            self.protocol.dataReceived(chunk)
