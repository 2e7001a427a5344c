"""
hingepitch.exchange
~~~~~~~~~~~~~~~~~~~

One request and one answer on one connection to a minion.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from select import POLLHUP, POLLIN

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from hingepitch.clock import lease_seconds
from hingepitch.httpd import check_framing, split_header_block
from hingepitch.patch import unpatched_poll
from hingepitch.request import Answer, Execution, Failure

__all__ = ["MinionConnections"]

RECEIVE_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
MAX_ANSWER_BYTES = 64_000_000
MAX_CONNECT_SECONDS = 1.0
MAX_IDLE = 64
MAX_IDLE_SECONDS = 30.0

#: Headers that belong to one connection, and are not passed on.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "expect",
        "host",
    )
)

BODILESS_STATUSES = frozenset((204, 304))


class BrokenAnswer(Exception):
    """The answer is not whole or its end is not certain."""


class AnswerParser(HTTPResponse):
    """Parser that keeps the first answer apart from whatever follows.

    `whole`
        The first answer once it is complete, else None.
    `has_more`
        Whether bytes came after it: the connection must be closed.
    """

    def __init__(self, method):
        super().__init__(method=method)
        self.whole = None
        self.has_more = False

    def feed_first(self, data):
        """Feed bytes; what is wrong after the first answer does not count."""
        try:
            self.feed(data)
        except HTTPParseError as error:
            if self.whole is None:
                raise BrokenAnswer(str(error)) from None
            self.has_more = True

    def _on_message_begin(self):
        if self.whole is not None:
            self.has_more = True
            return
        super()._on_message_begin()

    def _on_body(self, buf):
        if self.whole is None:
            super()._on_body(buf)
            if len(self._body_buffer) > MAX_ANSWER_BYTES:
                raise BrokenAnswer("the answer is over the limit")

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.whole is None:
            self.whole = Answer(
                self.status_code, pass_headers(self.items()), bytes(self._body_buffer)
            )


def pass_headers(pairs):
    """Return the headers that are passed on."""
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in CONNECTION_HEADERS and "\n" not in value
    ]


def render_request(request, address):
    """Return the bytes of `request` for the minion at `address`."""
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        f"Content-Length: {len(request.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in pass_headers(request.headers)]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


def check_answer_head(head, method):
    """Raise `BrokenAnswer` unless the end of the answer is certain.

    `head`
        The raw bytes up to and including the empty line.
    """
    status_line, *lines = head[:-2].splitlines(keepends=True)
    parts = status_line.split(b" ", 2)
    if not status_line.endswith(b"\r\n"):
        raise BrokenAnswer("a status line without its end")
    if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or len(parts[1]) != 3:
        raise BrokenAnswer("not a status line")
    if not parts[1].isdigit() or parts[1] < b"200":
        raise BrokenAnswer("an interim answer that was not asked for")
    pairs = list(split_header_block(lines))
    check_framing(pairs)
    has_end = any(
        name in (b"content-length", b"transfer-encoding") for name, _ in pairs
    )
    bodiless = method == "HEAD" or int(parts[1]) in BODILESS_STATUSES
    if not has_end and not bodiless:
        raise BrokenAnswer("the answer has no certain end")


class MinionConnections:
    """Connections to one minion, each with one request in flight.

    `address`
        `(ip, port)` of the minion.

    A connection is used again only after a whole, well-framed answer with
    nothing behind it.
    """

    def __init__(self, address):
        self.address = address
        self.idle = deque()

    def exchange(self, request):
        """Send `request` once; return an `Answer` or a `Failure`."""
        try:
            sock = self.take()
        except OSError as error:
            return Failure("minion_failed", Execution.NOT_RUN, f"connect: {error}")
        seconds = request.deadline - lease_seconds()
        if seconds <= 0:
            self.give_back(sock)
            return Failure("deadline_passed", Execution.NOT_RUN)
        try:
            with gevent.Timeout(seconds):
                return self.send_and_receive(sock, request)
        except gevent.Timeout:
            sock.close()
            # All open connections may have gone silent, while new ones work.
            self.close()
            return Failure("deadline_passed", Execution.UNKNOWN, "no answer in time")
        except (OSError, ValueError, BrokenAnswer) as error:
            sock.close()
            return Failure("minion_failed", Execution.UNKNOWN, str(error))
        except BaseException:
            sock.close()
            raise

    def take(self):
        """Return an idle connection that is still clean, or a new one."""
        horizon = lease_seconds() - MAX_IDLE_SECONDS
        while self.idle:
            since, sock = self.idle.pop()
            if since > horizon and not is_readable(sock):
                return sock
            sock.close()
        # The time-out of the connection does not cover the reading of the
        # address, which goes through a thread.
        with gevent.Timeout(MAX_CONNECT_SECONDS, TimeoutError("no connection in time")):
            sock = socket.create_connection(self.address, MAX_CONNECT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        return sock

    def give_back(self, sock):
        """Keep a clean connection for later."""
        if len(self.idle) >= MAX_IDLE:
            sock.close()
            return
        self.idle.append((lease_seconds(), sock))

    def send_and_receive(self, sock, request):
        """Return the answer to `request`; raise if it is not whole."""
        sock.sendall(render_request(request, self.address))
        parser = AnswerParser(request.method)
        head = self.read_head(sock)
        end = head.index(b"\r\n\r\n") + 4
        check_answer_head(head[:end], request.method)
        parser.feed_first(head)
        while parser.whole is None:
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                raise BrokenAnswer("the answer ended early")
            parser.feed_first(data)
        if parser.has_more or parser.should_close():
            sock.close()
        else:
            self.give_back(sock)
        return parser.whole

    def read_head(self, sock):
        """Return the first bytes of an answer, with its whole head."""
        data = b""
        while b"\r\n\r\n" not in data:
            if len(data) > MAX_HEADER_BYTES:
                raise BrokenAnswer("the headers are over the limit")
            more = sock.recv(RECEIVE_BYTES)
            if not more:
                raise BrokenAnswer("the answer ended early")
            data += more
        return data

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop()[1].close()


def is_readable(sock):
    """Whether anything, also an end, has come on an idle connection."""
    poll = unpatched_poll()
    poll.register(sock.fileno(), POLLIN | POLLHUP)
    return bool(poll.poll(0))
