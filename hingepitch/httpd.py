"""
hingepitch.httpd
~~~~~~~~~~~~~~~~

HTTP server of the daemons, with strict message framing and without
Nagle's algorithm.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import re
import select
import socket
from io import BytesIO

import falcon
import gevent.socket
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from hingepitch.error import ERROR_BY_CODE, HingepitchError
from hingepitch.listener import BACKLOG, take_listener
from hingepitch.log import log_event, source_location
from hingepitch.patch import unpatched_poll
from hingepitch.setting import parse_address

__all__ = [
    "HttpServer",
    "StatusResources",
    "check_framing",
    "make_api",
    "build_problem",
    "is_caller_connected",
    "set_problem",
    "split_header_block",
    "wait_until",
]

MAX_REQUEST_LINE_BYTES = 8192
MAX_HEADER_BYTES = 65_536
IDLE_SECONDS = 65.0

HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*)\r\n\Z")
LENGTH_VALUE = re.compile(rb"[0-9]{1,18}\Z")


#: Key of the WSGI environment: function, whether the caller is still connected.
IS_CONNECTED = "hingepitch.is_connected"

#: Flags by which `poll` reports that the other side has closed a connection. Not every
#: system has `POLLRDHUP`.
CLOSED_FLAGS = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)


class FramingError(ValueError):
    """A message whose end is ambiguous; `code` is a key of `ERROR_BY_CODE`."""

    def __init__(self, detail, code="bad_framing"):
        super().__init__(detail)
        self.code = code


def split_header_block(lines):
    """Yield `(lower-case name, value)` of raw header lines.

    Raises `FramingError` for a folded line, a bare line feed, a space
    before the colon and any other malformed header line.
    """
    for line in lines:
        match = HEADER_LINE.match(line)
        if match is None:
            raise FramingError(f"malformed header line: {describe_line(line)}")
        yield match.group(1).lower(), match.group(2).strip(b" \t")


def describe_line(line):
    """Return the name in a malformed header line; its value may be a secret."""
    name, colon, _ = line.partition(b":")
    return repr(name[:64]) if colon else f"no colon in {len(line)} bytes"


def check_framing(pairs):
    """Raise `FramingError` unless the headers give at most one valid length."""
    lengths = [value for name, value in pairs if name == b"content-length"]
    encodings = [value for name, value in pairs if name == b"transfer-encoding"]
    if len(lengths) > 1 or len(encodings) > 1:
        raise FramingError("more than one Content-Length or Transfer-Encoding")
    if lengths and encodings:
        raise FramingError("both Content-Length and Transfer-Encoding")
    if lengths and not LENGTH_VALUE.match(lengths[0]):
        raise FramingError("malformed Content-Length")
    if encodings and encodings[0].lower() != b"chunked":
        raise FramingError("unsupported Transfer-Encoding")


class StrictHandler(WSGIHandler):
    """WSGI handler that refuses ambiguous framing and closes the connection."""

    def read_requestline(self):
        """Return the request line; mark it bad if it is too long or lacks CR LF."""
        line = self.rfile.readline(MAX_REQUEST_LINE_BYTES + 1)
        if line and not line.endswith(b"\r\n"):
            self.bad_line = FramingError(
                "the request line is too long or does not end with CR LF"
            )
            return "BAD / HTTP/1.1\r\n"
        self.bad_line = None
        return line.decode("latin-1")

    def MessageClass(self, rfile, seekable):  # noqa: N802
        """Read, check and parse the header lines."""
        if self.bad_line is not None:
            raise self.bad_line
        lines = list(self.read_header_lines(rfile))
        check_framing(list(split_header_block(lines)))
        return super().MessageClass(BytesIO(b"".join(lines) + b"\r\n"), seekable)

    def get_environ(self):
        """Return the WSGI environment with the undecoded path as `RAW_PATH`."""
        environ = super().get_environ()
        environ["RAW_PATH"] = self.path.partition("?")[0]
        environ[IS_CONNECTED] = self.is_connected
        return environ

    def is_connected(self):
        """Whether the caller has not closed the connection, as far as is known."""
        return is_open(self.socket)

    def read_header_lines(self, rfile):
        """Yield the raw header lines; raise `FramingError` if they are too large."""
        left = MAX_HEADER_BYTES
        while True:
            line = rfile.readline(left + 1)
            left -= len(line)
            if left < 0:
                raise FramingError(
                    "the headers exceed the size limit", "header_too_large"
                )
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                raise FramingError("a header line does not end with CR LF")
            yield line

    def _handle_client_error(self, ex):
        code = getattr(ex, "code", "bad_request")
        log_event("bad_request", peer=self.client_address[0], code=code, error=ex)
        body = build_problem(HingepitchError(code, str(ex)), run="not_run")
        return str(ERROR_BY_CODE[code].status), render_raw(code, body)

    def log_error(self, msg, *args):
        """Log an error of the handler as `bad_request`."""
        log_event("bad_request", error=msg % args if args else msg)


def render_raw(code, body):
    """Return the bytes of an HTTP answer with the problem details `body`."""
    data = msgspec.json.encode(body)
    kind = ERROR_BY_CODE[code]
    head = (
        f"HTTP/1.1 {kind.status} {kind.title}\r\n"
        "Content-Type: application/problem+json\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode("latin-1") + data


def build_problem(error, run=None):
    """Return problem details (RFC 9457) for a `HingepitchError`.

    `run`
        `not_run` or `unknown`: whether a caller's request may have run.
        None for other requests.
    """
    problem = {
        "type": f"urn:hingepitch:{error.code}",
        "title": ERROR_BY_CODE[error.code].title,
        "status": error.status,
        "code": error.code,
        "detail": error.detail,
    }
    if run is not None:
        problem["run"] = run
    if error.retry_after_ms is not None:
        problem["retry_after_ms"] = error.retry_after_ms
    return problem


def set_problem(resp, error, run=None):
    """Fill `resp` with the problem details of a `HingepitchError`."""
    resp.status = error.status
    resp.content_type = "application/problem+json"
    resp.data = msgspec.json.encode(build_problem(error, run))
    if error.retry_after_ms is not None:
        resp.set_header("Retry-After", str(-(-error.retry_after_ms // 1000)))


def handle_error(req, resp, error, params):
    """Answer with the problem details of a `HingepitchError`."""
    set_problem(resp, error)


def handle_unexpected(req, resp, error, params):
    """Log an unexpected exception and answer with status 500."""
    log_event(
        "child_failed", child="http", error=repr(error), at=source_location(error)
    )
    set_problem(resp, HingepitchError("internal"))


class StatusResources:
    """`/healthz`, `/metrics` and `/status` of a daemon.

    `is_healthy`
        Function: whether the daemon should get traffic.
    `status`
        Function: returns the status as JSON-serializable values.
    `metrics`
        A `hingepitch.metric.Metrics`.
    """

    def __init__(self, is_healthy, status, metrics):
        self.is_healthy = is_healthy
        self.status = status
        self.metrics = metrics

    def on_get_health(self, req, resp):
        """Answer with 200 if the daemon should get traffic, else 503."""
        healthy = self.is_healthy()
        resp.status = 200 if healthy else 503
        resp.media = {"healthy": healthy}

    def on_get_metrics(self, req, resp):
        """Answer with the metrics in the Prometheus text format."""
        resp.data, resp.content_type = self.metrics.render()

    def on_get_status(self, req, resp):
        """Answer with the status as JSON."""
        resp.media = self.status()

    def add_to(self, api):
        """Add the routes to a falcon application."""
        api.add_route("/healthz", self, suffix="health")
        api.add_route("/metrics", self, suffix="metrics")
        api.add_route("/status", self, suffix="status")


def is_open(sock):
    """Whether the other side of a socket has not closed it, as far as is known.

    Neither waits nor consumes anything.
    """
    try:
        poll = unpatched_poll()
        poll.register(sock.fileno(), select.POLLIN | CLOSED_FLAGS)
        events = poll.poll(0)
        if not events:
            return True
        # Bytes that were not read hide the end from a peek, but not from `poll`.
        if events[0][1] & CLOSED_FLAGS:
            return False
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except ConnectionError:
        return False
    except (OSError, ValueError) as error:
        log_event("connection_check_failed", error=repr(error))
        return True


def is_caller_connected(req):
    """Whether the caller of a falcon request still waits for the answer.

    True if that is not known: for requests that came by no socket.
    """
    check = req.env.get(IS_CONNECTED)
    return check is None or check()


def make_api():
    """Return a falcon application with the daemons' error handlers."""
    api = falcon.App()
    api.add_error_handler(Exception, handle_unexpected)
    api.add_error_handler(HingepitchError, handle_error)
    api.add_error_handler(falcon.HTTPError, handle_http_error)
    api.add_error_handler(falcon.HTTPStatus, handle_http_status)
    return api


def handle_http_error(req, resp, error, params):
    """Answer with a falcon HTTP error as problem details."""
    code = "unknown_object" if error.status_code == 404 else "bad_request"
    set_problem(resp, HingepitchError(code, error.title or ""))
    resp.status = error.status


def handle_http_status(req, resp, error, params):
    """Answer with a `falcon.HTTPStatus` that a resource raised."""
    resp.status = error.status
    resp.text = error.text


class HttpServer:
    """Serves a WSGI application.

    `address`
        `IP:port` to listen on.
    `connections`
        Limit of concurrent connections; further ones wait to be accepted.
    """

    def __init__(self, address, application, connections=2000):
        self.address = address
        self.pool = Pool(connections)
        listener, backlog = make_listener(address)
        self.server = WSGIServer(
            listener,
            application,
            handler_class=StrictHandler,
            spawn=self.pool,
            log=None,
            error_log=None,
            backlog=backlog,
        )
        handle = self.server.handle
        self.server.handle = lambda sock, peer: self.set_socket_options(
            handle, sock, peer
        )

    def set_socket_options(self, handle, sock, peer):
        """Set the socket options of an accepted connection, then handle it."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_SECONDS)
        handle(sock, peer)

    @property
    def is_listening(self):
        """Whether connections are accepted."""
        return self.server.started

    def start(self):
        """Start to listen; raise OSError if the address is in use."""
        self.server.start()

    def stop(self):
        """Stop listening and close the remaining connections."""
        self.server.stop(timeout=0.2)

    def stop_accepting(self):
        """Stop accepting connections."""
        self.server.close()


def make_listener(address):
    """Return what a server listens on, and the backlog for it.

    This is the socket that was opened early on `address`, which has a backlog already,
    or else `(ip, port)`.
    """
    descriptor = take_listener(address)
    if descriptor is None:
        return parse_address(address), BACKLOG
    return gevent.socket.socket(fileno=descriptor), None


def wait_until(condition, seconds, step=0.02):
    """Poll `condition()` for up to `seconds`; return whether it came true."""
    with gevent.Timeout(seconds, False):
        while not condition():
            gevent.sleep(step)
        return True
    return condition()
