"""Clients that send much and finish nothing, and what a process holds meanwhile."""

import contextlib
import os
import socket
import stat
import threading
import time

from attrs import define, field

#: Time for one send of a client that the entry may have stopped reading.
SEND_TIMEOUT_S = 2
#: Threads that send for the crowd.
SENDERS = 8
#: Time in which an entry reads what has been sent to it.
SETTLING_S = 3
#: Interval at which the process is looked at.
SAMPLE_INTERVAL_S = 0.1
MEBIBYTE = 1 << 20


def head(path, *headers, method="POST", host="mill.example"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def announced(path, size, *headers, piece=1 << 16, held_back=1):
    """Yield a request in pieces, less the last ``held_back`` bytes of its body."""
    yield head(
        path, "Content-Type: application/json", f"Content-Length: {size}", *headers
    )
    rest = size - held_back
    while rest > 0:
        yield b"[" * min(piece, rest)
        rest -= piece


def chunked(path, size, chunk, *headers):
    """Yield a request of ``size`` bytes in chunks, without the last chunk."""
    yield head(
        path, "Content-Type: application/json", "Transfer-Encoding: chunked", *headers
    )
    encoded = f"{chunk:x}\r\n".encode() + b"[" * chunk + b"\r\n"
    batch = max(1, (1 << 14) // chunk)
    for start in range(0, size // chunk, batch):
        yield encoded * min(batch, size // chunk - start)


def unfinished_head(path, size):
    """Yield a head of ``size`` bytes without its end."""
    yield f"GET {path} HTTP/1.1\r\nHost: mill.example\r\n".encode()
    line = b"X-Filler: " + b"x" * 500 + b"\r\n"
    for _ in range(size // len(line)):
        yield line


def nothing():
    yield b""


@define(eq=False)
class Crowd:
    """Connections that each send a request in pieces and stay open.

    :param make_pieces: Returns the pieces of the next request.
    """

    port: int
    size: int
    make_pieces: object
    _sockets: list = field(factory=list)

    def send(self):
        """Connect, and send one piece of each request after the other."""
        threads = [
            threading.Thread(target=self._send_share, args=(number,))
            for number in range(SENDERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send_share(self, number):
        rows = []
        for _ in range(number, self.size, SENDERS):
            # An entry that is full may refuse the connection.
            with contextlib.suppress(OSError):
                sock = socket.create_connection(("127.0.0.1", self.port), 5)
                sock.settimeout(SEND_TIMEOUT_S)
                self._sockets.append(sock)
                rows.append((sock, iter(self.make_pieces())))
        while rows:
            rows = [row for row in rows if self._send_piece(*row)]

    def _send_piece(self, sock, pieces):
        piece = next(pieces, None)
        if piece is None:
            return False
        try:
            sock.sendall(piece)
        except OSError:
            return False
        return True

    def close(self):
        for sock in self._sockets:
            sock.close()


@define(eq=False)
class Footprint:
    """The most that a process has held since it is watched.

    Files count as memory, since the machines have no disk.

    :param memory: Resident memory and open files, in bytes.
    """

    pid: int
    memory: int = 0
    descriptors: int = 0
    _is_over: bool = False
    _thread: object = None

    def __enter__(self):
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()
        return self

    def __exit__(self, *_):
        time.sleep(SETTLING_S)
        self._is_over = True
        self._thread.join()

    def _watch(self):
        while not self._is_over:
            with contextlib.suppress(OSError):
                self._sample()
            time.sleep(SAMPLE_INTERVAL_S)

    def _sample(self):
        names = os.listdir(f"/proc/{self.pid}/fd")
        self.descriptors = max(self.descriptors, len(names))
        files = sum(self._file_size(name) for name in names)
        self.memory = max(self.memory, resident_bytes(self.pid) + files)

    def _file_size(self, name):
        with contextlib.suppress(OSError):
            path = f"/proc/{self.pid}/fd/{name}"
            found = os.stat(path)
            is_temporary = os.readlink(path).endswith("(deleted)")
            if stat.S_ISREG(found.st_mode) and is_temporary:
                return found.st_size
        return 0


def resident_bytes(pid):
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


def whole(path, body, *headers):
    """Yield a request whose body arrives whole."""
    length = f"Content-Length: {len(body)}"
    yield head(path, "Content-Type: application/json", length, *headers) + body


def repeated(path, count, *headers):
    """Yield ``count`` requests in one segment."""
    yield head(path, *headers, method="GET") * count


def tiny_chunks(path, size):
    """Yield a request that is complete, in chunks of one byte."""
    yield head(path, "Transfer-Encoding: chunked")
    batch = 4000
    for start in range(0, size, batch):
        yield b"1\r\n[\r\n" * min(batch, size - start)
    yield b"0\r\n\r\n"


def peer_message(size, piece=1 << 16):
    """Yield the handshake of ZMTP 3.0 and a message without its last byte."""
    yield b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
    ready = b"\x05READY\x0bSocket-Type" + (4).to_bytes(4, "big") + b"PUSH"
    yield b"\x04" + bytes([len(ready)]) + ready
    yield b"\x02" + size.to_bytes(8, "big")
    for start in range(0, size - 1, piece):
        yield bytes(min(piece, size - 1 - start))
