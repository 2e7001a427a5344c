"""
hingepitch.entry.caller
~~~~~~~~~~~~~~~~~~~~~~~

HTTP API of an entry for callers.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import make_api, set_problem
from hingepitch.request import Answer, Execution, Priority, Request

__all__ = ["CallerApi"]

DEADLINE_HEADER = "Hingepitch-Deadline-Ms"
PRIORITY_HEADER = "Hingepitch-Priority"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 255
PRIORITY_BY_NAME = {priority.name.lower(): priority for priority in Priority}
DEFAULT_DEADLINE_MS = 2000


class CallerApi:
    """Accepts callers' requests at `/s/SERVICE/…`.

    `proxy`
        The `Proxy` that forwards the requests.
    `is_stopping`
        Function: whether this entry refuses new requests.
    `metrics`
        Counts the requests by outcome.
    """

    def __init__(self, proxy, is_stopping, metrics):
        self.proxy = proxy
        self.is_stopping = is_stopping
        self.metrics = metrics

    def make(self):
        """Return the falcon application."""
        api = make_api()
        api.add_sink(self.forward, prefix=r"/s/(?P<service>[a-z0-9.-]{1,63})(?=/|\Z)")
        return api

    def forward(self, req, resp, service):
        """Forward one request; answer with the minion's answer or a problem."""
        started = lease_seconds()
        try:
            if self.is_stopping():
                raise HingepitchError("draining", retry_after_ms=200)
            request = self.read_request(req, service, started)
        except HingepitchError as error:
            self.count(service, error.code)
            set_problem(resp, error, Execution.NOT_RUN.value)
            return
        result = self.proxy.handle(request)
        self.metrics.observe(
            "request_seconds",
            "Time in the entry.",
            lease_seconds() - started,
            service=service,
        )
        if isinstance(result, Answer):
            self.count(service, "answered")
            set_answer(resp, result)
            return
        self.count(service, result.code)
        error = HingepitchError(result.code, result.detail, result.retry_after_ms)
        set_problem(resp, error, result.run.value)

    def count(self, service, outcome):
        """Count a request by its outcome."""
        known = service in self.proxy.follower.state.by_kind["service"]
        self.metrics.count(
            "requests",
            "Callers' requests by outcome.",
            service=service if known else "unknown",
            outcome=outcome,
        )

    def read_request(self, req, service, started):
        """Return the parsed request; raise `HingepitchError` if it is invalid."""
        declared = self.proxy.follower.state.get("service", service)
        limit = declared.max_body_bytes if declared else 0
        if declared and (req.content_length or 0) > limit:
            raise HingepitchError("body_too_large", f"the body exceeds {limit} bytes")
        max_ms = declared.deadline_ms if declared else DEFAULT_DEADLINE_MS
        key = req.get_header(KEY_HEADER) or ""
        if len(key) > MAX_KEY_CHARS:
            raise HingepitchError("bad_request", f"{KEY_HEADER} is too long")
        return Request(
            service=service,
            method=req.method,
            target=build_target(req, service),
            headers=list(header_pairs(req.env)),
            body=read_body(req, limit) if declared else b"",
            deadline=started + read_deadline_ms(req, max_ms) / 1000,
            priority=read_priority(req),
            key=key,
        )


def build_target(req, service):
    """Return the path and query to send to the minion."""
    raw_path = req.env["RAW_PATH"]
    if not raw_path.startswith(f"/s/{service}"):
        raise HingepitchError("bad_request", "malformed path")
    path = raw_path.removeprefix(f"/s/{service}") or "/"
    if any(character <= " " or character == "\x7f" for character in path):
        raise HingepitchError("bad_request", "malformed path")
    return f"{path}?{req.query_string}" if req.query_string else path


def header_pairs(environ):
    """Yield the headers of a WSGI environment as `(name, value)`."""
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").title(), value


def read_body(req, limit):
    """Return the complete body; raise `body_too_large` or `bad_framing`."""
    try:
        body = req.bounded_stream.read(limit + 1) if has_body(req) else b""
    except OSError as error:
        raise HingepitchError(
            "bad_framing", f"reading the body failed: {error}"
        ) from None
    if len(body) > limit:
        raise HingepitchError("body_too_large", f"the body exceeds {limit} bytes")
    if req.content_length is not None and len(body) < req.content_length:
        raise HingepitchError("bad_framing", "the body is shorter than Content-Length")
    return body


def has_body(req):
    """Whether a body follows the headers."""
    return bool(req.content_length) or "HTTP_TRANSFER_ENCODING" in req.env


def read_deadline_ms(req, max_ms):
    """Return the caller's deadline in ms, at most `max_ms`."""
    text = req.get_header(DEADLINE_HEADER)
    if text is None:
        return max_ms
    if not text.isdecimal() or len(text) > 9:
        raise HingepitchError(
            "bad_request", f"{DEADLINE_HEADER}: expected a number of milliseconds"
        )
    return min(int(text), max_ms)


def read_priority(req):
    """Return the `Priority` that the caller asks for."""
    name = req.get_header(PRIORITY_HEADER) or "normal"
    if name not in PRIORITY_BY_NAME:
        expected = ", ".join(PRIORITY_BY_NAME)
        raise HingepitchError(
            "bad_request", f"{PRIORITY_HEADER}: expected one of {expected}"
        )
    return PRIORITY_BY_NAME[name]


def set_answer(resp, answer):
    """Copy a minion's answer to the falcon response `resp`."""
    resp.status = answer.status
    resp.data = answer.body
    for name, value in answer.headers:
        if name.lower() == "set-cookie":
            resp.append_header(name, value)
        else:
            resp.set_header(name, value)
