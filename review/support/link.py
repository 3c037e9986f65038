"""Links whose data a case can hold back: HTTP listeners and TCP forwarders."""

import asyncio
import contextlib
import json
import typing as t
import urllib.parse

#: Handles one request: method, path, query and decoded body. Returns the status and
#: the body of the response, or ``None`` to leave the request unanswered.
Handler = t.Callable[
    [str, str, dict[str, str], t.Any], t.Awaitable[tuple[int, t.Any] | None]
]

#: Keeps the tasks that serve connections, also those that wait on a silent channel.
_serving: set[asyncio.Task | None] = set()

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Link:
    """State of the path between two machines.

    While it is cut, nothing arrives. What was sent meanwhile arrives when the cut
    ends, unless its sender has closed the channel by then. A channel that has gone
    silent never delivers anything again, while new channels work.
    """

    def __init__(self) -> None:
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._generation = 0
        self._is_refused = asyncio.Event()

    @property
    def is_refused(self) -> bool:
        """Whether the server turns this client away."""
        return self._is_refused.is_set()

    def refuse(self) -> None:
        """Let the server answer each call with 503, and cut those that wait."""
        self._is_refused.set()

    def admit(self) -> None:
        """Let the server answer calls again."""
        self._is_refused.clear()

    async def wait_for_refusal(self) -> None:
        """Wait until the server turns this client away."""
        await self._is_refused.wait()

    @property
    def is_cut(self) -> bool:
        """Whether nothing arrives now."""
        return not self._is_open.is_set()

    def cut(self) -> None:
        """Hold back all data from now on."""
        self._is_open.clear()

    def heal(self) -> None:
        """Deliver what was held back."""
        self._is_open.set()

    def silence_open_channels(self) -> None:
        """Let each channel that is open now stay silent for good."""
        self._generation += 1

    def open_channel(self) -> "Channel":
        """Return the state of a new channel on this link."""
        return Channel(self, self._generation)

    async def wait_until_open(self) -> None:
        """Wait for the end of a cut."""
        await self._is_open.wait()


class Channel:
    """One TCP connection on a link."""

    def __init__(self, link: Link, generation: int) -> None:
        self.link = link
        self._generation = generation

    @property
    def is_silent(self) -> bool:
        """Whether the channel was open when the link's channels went silent."""
        return self._generation != self.link._generation

    async def wait_for_passage(self) -> None:
        """Wait until data may pass; for ever on a silent channel."""
        await self.link.wait_until_open()
        if self.is_silent:
            await asyncio.Event().wait()


async def serve_http(
    link: Link, handler: Handler, host: str, port: int = 0
) -> tuple[asyncio.Server, int]:
    """Serve HTTP/1.1 with persistent connections; return the server and its port."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _serving.add(asyncio.current_task())
        channel = link.open_channel()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await _serve_request(channel, handler, reader, writer):
                pass
        writer.close()

    server = await asyncio.start_server(serve, host, port, limit=1 << 24)
    return server, server.sockets[0].getsockname()[1]


async def _serve_request(
    channel: Channel,
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    content = await reader.readexactly(int(headers.get("content-length", 0)))
    await channel.wait_for_passage()
    if reader.at_eof():
        return False
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
    body = json.loads(content) if content else {}
    body["_target"] = headers.get("fighead-target-instance", "")
    try:
        answer = await _call(channel.link, handler(method, url.path, query, body))
    except ConnectionResetError:
        return False
    if answer is None:
        # The call gets no answer, and the channel returns nothing further.
        await asyncio.Event().wait()
        return False
    await channel.wait_for_passage()
    data = json.dumps(answer[1]).encode()
    reason = REASONS.get(answer[0], "Status")
    response = (
        f"HTTP/1.1 {answer[0]} {reason}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    writer.write(response.encode() + data)
    await writer.drain()
    return True


async def _call(
    link: Link, call: t.Coroutine[t.Any, t.Any, tuple[int, t.Any] | None]
) -> tuple[int, t.Any] | None:
    """Return the answer of a handler.

    :raises ConnectionResetError: If the client is turned away meanwhile.
    """
    if link.is_refused:
        call.close()
        return 503, {}
    answer = asyncio.ensure_future(call)
    refusal = asyncio.ensure_future(link.wait_for_refusal())
    await asyncio.wait((answer, refusal), return_when=asyncio.FIRST_COMPLETED)
    refusal.cancel()
    if answer.done():
        return answer.result()
    answer.cancel()
    raise ConnectionResetError


async def forward_tcp(
    link: Link, host: str, target: tuple[str, int]
) -> tuple[asyncio.Server, int]:
    """Forward connections to ``target``; return the server and its port."""

    async def pump(
        channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                await channel.wait_for_passage()
                writer.write(data)
                await writer.drain()
        await channel.wait_for_passage()
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _serving.add(asyncio.current_task())
        channel = link.open_channel()
        await channel.wait_for_passage()
        try:
            far_reader, far_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            pump(channel, reader, far_writer), pump(channel, far_reader, writer)
        )

    server = await asyncio.start_server(serve, host, 0)
    return server, server.sockets[0].getsockname()[1]
