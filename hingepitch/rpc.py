"""
hingepitch.rpc
~~~~~~~~~~~~~~

Thrift RPC between the processes: framed, size-limited and
authenticated.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hmac
import os
import socket

import gevent
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from hingepitch.error import ERROR_BY_CODE, HingepitchError
from hingepitch.gen.control import Control
from hingepitch.gen.control.ttypes import Refused
from hingepitch.log import log_event
from hingepitch.setting import parse_address

__all__ = ["ControlClient", "RpcServer", "refused"]

MAX_FRAME_BYTES = 64_000_000
MAX_UNAUTHENTICATED_FRAME_BYTES = 4096
CHALLENGE_BYTES = 32
IDLE_SECONDS = 120

#: Errors of a call: connection failure, malformed answer or malformed address.
#: Thrift raises the last three types for bytes that it cannot decode.
CALL_ERRORS = (TException, OSError, EOFError, ValueError, TypeError, OverflowError)


class LimitedTransport(TFramedTransport):
    """Framed transport that refuses frames larger than `max_frame_bytes`."""

    max_frame_bytes = MAX_FRAME_BYTES

    def readFrame(self):
        """Read one frame; raise TTransportException if it is too large."""
        head = self._TFramedTransport__trans.readAll(4)
        size = int.from_bytes(head, "big", signed=True)
        if not 0 <= size <= self.max_frame_bytes:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"invalid frame size: {size} bytes"
            )
        body = self._TFramedTransport__trans.readAll(size)
        self._TFramedTransport__rbuf = type(self._TFramedTransport__rbuf)(body)


def make_protocol(transport):
    """Return the thrift protocol that clients and servers use."""
    return TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=1_000_000,
    )


def compute_mac(key, challenge, name):
    """Return the MAC by which `name` proves that it knows the shared `key`."""
    return hmac.digest(key.encode(), challenge + name.encode(), "sha256")


def refused(error):
    """Return a `HingepitchError` as the thrift exception `Refused`."""
    return Refused(error.code, error.detail, error.retry_after_ms)


class Connection:
    """One accepted connection; refuses calls until it is authenticated.

    `handler`
        Object that implements the calls for authenticated peers.
    `key`
        The shared key.
    """

    def __init__(self, handler, key):
        self.handler = handler
        self.key = key
        self.nonce = os.urandom(CHALLENGE_BYTES)
        self.is_authenticated = False

    def challenge(self):
        """Return the nonce that the caller has to sign."""
        return self.nonce

    def authenticate(self, name, mac):
        """Check the MAC of the caller; raise `Refused` if it is wrong."""
        if not hmac.compare_digest(compute_mac(self.key, self.nonce, name), mac):
            log_event("stranger_refused", name=name)
            raise Refused("unauthenticated", "wrong key")
        self.is_authenticated = True

    def __getattr__(self, method):
        if not self.is_authenticated:
            raise Refused("unauthenticated", "authenticate first")
        return translate_errors(getattr(self.handler, method))


def translate_errors(method):
    """Return `method` with each `HingepitchError` raised as `Refused`."""

    def call(*arguments):
        try:
            return method(*arguments)
        except HingepitchError as error:
            raise refused(error) from None

    return call


class RpcServer:
    """Serves the calls of other processes.

    `address`
        `IP:port` to listen on.
    `handler`
        Object with the methods of the Control service.
    `key`
        The shared key.
    """

    def __init__(self, address, handler, key):
        self.address = address
        self.handler = handler
        self.key = key
        self.server = StreamServer(
            parse_address(address), self.serve, spawn=1000, backlog=512
        )

    @property
    def is_listening(self):
        """Whether connections are accepted."""
        return self.server.started

    def start(self):
        """Start to listen; raise OSError if the address is in use."""
        self.server.start()

    def stop(self):
        """Stop listening and close the connections."""
        self.server.stop(timeout=0.5)

    def serve(self, sock, peer):
        """Answer the calls on one connection until it is closed."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_SECONDS)
        inner = TSocket()
        inner.setHandle(sock)
        transport = LimitedTransport(inner)
        transport.max_frame_bytes = MAX_UNAUTHENTICATED_FRAME_BYTES
        connection = Connection(self.handler, self.key)
        processor = Control.Processor(connection)
        protocol = make_protocol(transport)
        try:
            while True:
                processor.process(protocol, protocol)
                if connection.is_authenticated:
                    transport.max_frame_bytes = MAX_FRAME_BYTES
        except TTransportException as error:
            if error.type == TTransportException.SIZE_LIMIT:
                log_event("bad_frame", peer=peer[0], error=error)
        except CALL_ERRORS as error:
            log_event("bad_frame", peer=peer[0], error=repr(error))
        finally:
            sock.close()


class ControlClient:
    """One connection to the Control service, reopened after a failure.

    `address`
        `IP:port` of the server.
    `name`
        Name of the caller.
    `key`
        The shared key.
    `timeout_seconds`
        Longest wait for the connection while other calls use it, and then for an
        answer.

    Calls are serialized. They raise `HingepitchError` with the code that the
    server sent, `peer_unreachable` if the server certainly did not get the whole
    call, or `peer_failed` if it may have got it and there is no answer. An error
    has `is_handshake` set if the server refused the authentication of the
    connection, and `is_busy` if other calls used the connection for too long: this
    says nothing about the server.

    `failures`
        Number of calls without an answer. A call that waited for the connection
        meanwhile is not sent: it would only wait for the same time-out.
    """

    def __init__(self, address, name, key, timeout_seconds=5.0):
        self.address = address
        self.name = name
        self.key = key
        self.timeout_seconds = timeout_seconds
        self.lock = BoundedSemaphore()
        self.transport = None
        self.stub = None
        self.failures = 0

    def connect(self):
        """Connect and authenticate."""
        host, port = parse_address(self.address)
        inner = TSocket(host, port)
        inner.setTimeout(self.timeout_seconds * 1000)
        inner.open()
        inner.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.transport = LimitedTransport(inner)
        self.stub = Control.Client(make_protocol(self.transport))
        mac = compute_mac(self.key, self.stub.challenge(), self.name)
        self.stub.authenticate(self.name, mac)

    def call(self, method, *arguments):
        """Call `method` of the service; return its result."""
        failures = self.failures
        if not self.lock.acquire(timeout=self.timeout_seconds):
            detail = f"{self.address}: the connection is busy"
            error = HingepitchError("peer_unreachable", detail)
            error.is_busy = True
            raise error
        try:
            if self.failures != failures:
                detail = f"{self.address}: the connection failed"
                raise HingepitchError("peer_unreachable", detail)
            return self.send_and_receive(method, *arguments)
        finally:
            self.lock.release()

    def send_and_receive(self, method, *arguments):
        """Call `method` on the connection, which no other call uses meanwhile."""
        code = "peer_unreachable"
        try:
            with gevent.Timeout(self.timeout_seconds):
                if not self.is_open():
                    self.connect()
                # The server handles only whole frames, so a failure to write one
                # shows that it did not get the call.
                getattr(self.stub, f"send_{method}")(*arguments)
                code = "peer_failed"
                return getattr(self.stub, f"recv_{method}")()
        except Refused as error:
            raise self.to_error(error, code) from None
        except (*CALL_ERRORS, gevent.Timeout) as error:
            self.failures += 1
            self.close()
            detail = f"{self.address}: {error!r}"
            raise HingepitchError(code, detail) from None
        except BaseException:
            self.close()
            raise

    def is_open(self):
        """Whether there is a connection that the server has not closed.

        A server that has closed a connection does not read what arrives on it later.
        """
        if self.transport is not None and not self.transport.isOpen():
            self.close()
        return self.transport is not None and self.stub is not None

    def to_error(self, error, code):
        """Return the `HingepitchError` for a `Refused` of the server.

        `code`
            `peer_unreachable` if it refused the authentication.
        """
        if error.code == "unauthenticated":
            self.close()
        known_code = error.code if error.code in ERROR_BY_CODE else "internal"
        translated = HingepitchError(known_code, error.detail, error.retry_after_ms)
        translated.leader = error.leader
        translated.is_handshake = code == "peer_unreachable"
        return translated

    def close(self):
        """Close the connection if it is open."""
        if self.transport is not None:
            self.transport.close()
        self.transport = None
        self.stub = None
