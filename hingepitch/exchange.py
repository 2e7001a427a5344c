"""
hingepitch.exchange
~~~~~~~~~~~~~~~~~~~

HTTP client for minions: one request at a time on each connection.

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

#: Headers that apply to one connection and are not forwarded, and those that
#: `render_request` sets itself.
HOP_BY_HOP_HEADERS = frozenset(
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


class InvalidAnswer(Exception):
    """The answer is incomplete, malformed, too large or its end is ambiguous."""


class AnswerParser(HTTPResponse):
    """Parser that separates the first answer from any bytes after it.

    `first_answer`
        The first answer once it is complete, else None.
    `has_trailing_bytes`
        Whether bytes followed the first answer, so that the connection must
        be closed.
    """

    def __init__(self, method):
        super().__init__(method=method)
        self.first_answer = None
        self.has_trailing_bytes = False

    def feed_first(self, data):
        """Parse bytes; raise `InvalidAnswer` for errors in the first answer only."""
        try:
            self.feed(data)
        except HTTPParseError as error:
            if self.first_answer is None:
                raise InvalidAnswer(str(error)) from None
            self.has_trailing_bytes = True

    def _on_message_begin(self):
        if self.first_answer is not None:
            self.has_trailing_bytes = True
            return
        super()._on_message_begin()

    def _on_body(self, buf):
        if self.first_answer is None:
            super()._on_body(buf)
            if len(self._body_buffer) > MAX_ANSWER_BYTES:
                raise InvalidAnswer("the answer body exceeds the size limit")

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.first_answer is None:
            self.first_answer = Answer(
                self.status_code,
                drop_hop_by_hop(self.items()),
                bytes(self._body_buffer),
            )


def drop_hop_by_hop(pairs):
    """Return the headers to forward: no hop-by-hop ones, no line feeds."""
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in HOP_BY_HOP_HEADERS and "\n" not in value
    ]


def render_request(request, address):
    """Return the HTTP/1.1 bytes of `request` for the minion at `address`."""
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {address[0]}:{address[1]}",
        f"Content-Length: {len(request.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in drop_hop_by_hop(request.headers)]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


def check_answer_head(head, method):
    """Raise an error unless the head determines the end of the answer.

    The error is `InvalidAnswer` or the `FramingError` of `check_framing`.

    `head`
        The raw bytes up to and including the empty line.
    """
    status_line, *lines = head[:-2].splitlines(keepends=True)
    parts = status_line.split(b" ", 2)
    if not status_line.endswith(b"\r\n"):
        raise InvalidAnswer("the status line does not end with CR LF")
    if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or len(parts[1]) != 3:
        raise InvalidAnswer("malformed status line")
    if not parts[1].isdigit() or parts[1] < b"200":
        raise InvalidAnswer("unexpected interim (1xx) answer")
    pairs = list(split_header_block(lines))
    check_framing(pairs)
    has_end = any(
        name in (b"content-length", b"transfer-encoding") for name, _ in pairs
    )
    bodiless = method == "HEAD" or int(parts[1]) in BODILESS_STATUSES
    if not has_end and not bodiless:
        raise InvalidAnswer(
            "the answer has neither Content-Length nor Transfer-Encoding"
        )


class MinionConnections:
    """Connection pool for one minion; each connection has one request in flight.

    `address`
        `(ip, port)` of the minion.

    A connection is reused only after a complete, well-framed answer with no
    bytes after it.
    """

    def __init__(self, address):
        self.address = address
        self.idle = deque()

    def exchange(self, request):
        """Send `request` once; return an `Answer` or a `Failure`.

        The failure is NOT_RUN only if no byte was sent.
        """
        try:
            sock = self.acquire_connection()
        except OSError as error:
            detail = f"connect: {error}"
            is_refused = isinstance(error, ConnectionRefusedError)
            return Failure(
                "minion_failed", Execution.NOT_RUN, detail, is_refused=is_refused
            )
        seconds = request.deadline - lease_seconds()
        if seconds <= 0:
            self.release_connection(sock)
            return Failure("deadline_passed", Execution.NOT_RUN)
        try:
            with gevent.Timeout(seconds):
                return self.send_and_receive(sock, request)
        except gevent.Timeout:
            sock.close()
            # The idle connections may be unresponsive too, while new ones work.
            self.close()
            return Failure("deadline_passed", Execution.UNKNOWN, "no answer in time")
        except (OSError, ValueError, InvalidAnswer) as error:
            sock.close()
            return Failure("minion_failed", Execution.UNKNOWN, str(error))
        except BaseException:
            sock.close()
            raise

    def acquire_connection(self):
        """Return an idle connection without unread bytes, or open a new one."""
        horizon = lease_seconds() - MAX_IDLE_SECONDS
        while self.idle:
            since, sock = self.idle.pop()
            if since > horizon and not is_readable(sock):
                return sock
            sock.close()
        # The socket timeout does not cover the address lookup, which gevent runs
        # in a thread.
        with gevent.Timeout(MAX_CONNECT_SECONDS, TimeoutError("connecting timed out")):
            sock = socket.create_connection(self.address, MAX_CONNECT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        return sock

    def release_connection(self, sock):
        """Keep a connection for reuse, or close it if enough are idle."""
        if len(self.idle) >= MAX_IDLE:
            sock.close()
            return
        self.idle.append((lease_seconds(), sock))

    def send_and_receive(self, sock, request):
        """Return the answer to `request`; raise if it is incomplete or invalid."""
        sock.sendall(render_request(request, self.address))
        parser = AnswerParser(request.method)
        head = self.read_head(sock)
        end = head.index(b"\r\n\r\n") + 4
        check_answer_head(head[:end], request.method)
        parser.feed_first(head)
        while parser.first_answer is None:
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                raise InvalidAnswer(
                    "the connection closed before the answer was complete"
                )
            parser.feed_first(data)
        if parser.has_trailing_bytes or parser.should_close():
            sock.close()
        else:
            self.release_connection(sock)
        return parser.first_answer

    def read_head(self, sock):
        """Return the first bytes of an answer, including its complete head."""
        data = b""
        while b"\r\n\r\n" not in data:
            if len(data) > MAX_HEADER_BYTES:
                raise InvalidAnswer("the answer headers exceed the size limit")
            more = sock.recv(RECEIVE_BYTES)
            if not more:
                raise InvalidAnswer(
                    "the connection closed before the answer was complete"
                )
            data += more
        return data

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop()[1].close()


def is_readable(sock):
    """Whether bytes or an end of stream arrived on an idle connection."""
    poll = unpatched_poll()
    poll.register(sock.fileno(), POLLIN | POLLHUP)
    return bool(poll.poll(0))
