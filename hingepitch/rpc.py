"""
hingepitch.rpc
~~~~~~~~~~~~~~

Thrift calls between the processes: framed, size-limited,
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
MAX_STRANGER_FRAME_BYTES = 4096
CHALLENGE_BYTES = 32
IDLE_SECONDS = 120

#: What a call may meet: no connection, or an answer or an address that cannot be
#: read. Thrift raises the last three for bytes that make no answer.
CALL_ERRORS = (TException, OSError, EOFError, ValueError, TypeError, OverflowError)


class LimitedTransport(TFramedTransport):
    """Framed transport that refuses frames over `max_frame_bytes`."""

    max_frame_bytes = MAX_FRAME_BYTES

    def readFrame(self):
        """Read one frame; raise TTransportException if it is too large."""
        head = self._TFramedTransport__trans.readAll(4)
        size = int.from_bytes(head, "big", signed=True)
        if not 0 <= size <= self.max_frame_bytes:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"frame of {size} bytes"
            )
        body = self._TFramedTransport__trans.readAll(size)
        self._TFramedTransport__rbuf = type(self._TFramedTransport__rbuf)(body)


def make_protocol(transport):
    """Return the protocol of both ends over `transport`."""
    return TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=1_000_000,
    )


def compute_mac(key, challenge, name):
    """Return the proof that `name` knows the shared `key`."""
    return hmac.digest(key.encode(), challenge + name.encode(), "sha256")


def refused(error):
    """Return a `HingepitchError` as the exception of the protocol."""
    return Refused(error.code, error.detail, error.retry_after_ms)


class Connection:
    """One accepted connection: refuses calls until it is authenticated.

    `handler`
        The object that answers the calls of a known process.
    """

    def __init__(self, handler, key):
        self.handler = handler
        self.key = key
        self.nonce = os.urandom(CHALLENGE_BYTES)
        self.known = False

    def challenge(self):
        """Return what the caller has to sign."""
        return self.nonce

    def authenticate(self, name, mac):
        """Check the signature of the caller."""
        if not hmac.compare_digest(compute_mac(self.key, self.nonce, name), mac):
            log_event("stranger_refused", name=name)
            raise Refused("unauthenticated", "wrong key")
        self.known = True

    def __getattr__(self, method):
        if not self.known:
            raise Refused("unauthenticated", "authenticate first")
        return guard(getattr(self.handler, method))


def guard(method):
    """Return `method` with its coded errors turned into `Refused`."""

    def call(*arguments):
        try:
            return method(*arguments)
        except HingepitchError as error:
            raise refused(error) from None

    return call


class RpcServer:
    """Serves the calls of other processes.

    `address`
        `IP:port` to listen at.
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
        """Listen; raises OSError when the address is taken."""
        self.server.start()

    def stop(self):
        """Stop listening and end the connections."""
        self.server.stop(timeout=0.5)

    def serve(self, sock, peer):
        """Answer the calls on one connection until it ends."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_SECONDS)
        inner = TSocket()
        inner.setHandle(sock)
        transport = LimitedTransport(inner)
        transport.max_frame_bytes = MAX_STRANGER_FRAME_BYTES
        connection = Connection(self.handler, self.key)
        processor = Control.Processor(connection)
        protocol = make_protocol(transport)
        try:
            while True:
                processor.process(protocol, protocol)
                if connection.known:
                    transport.max_frame_bytes = MAX_FRAME_BYTES
        except TTransportException as error:
            if error.type == TTransportException.SIZE_LIMIT:
                log_event("bad_frame", peer=peer[0], error=error)
        except CALL_ERRORS as error:
            log_event("bad_frame", peer=peer[0], error=repr(error))
        finally:
            sock.close()


class ControlClient:
    """One connection to the Control service, made anew when it breaks.

    `address`
        `IP:port` of the process.
    `name`
        Name of the caller.
    `key`
        The shared key.
    `timeout_seconds`
        Longest wait for an answer.

    Calls go one after another. They raise `HingepitchError`: the code of
    the other side, `peer_unreachable` when the call was surely not sent, or
    `peer_failed` when there is no answer.
    """

    def __init__(self, address, name, key, timeout_seconds=5.0):
        self.address = address
        self.name = name
        self.key = key
        self.timeout_seconds = timeout_seconds
        self.lock = BoundedSemaphore()
        self.transport = None
        self.stub = None

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
        """Call `method` of the service and return its answer."""
        with self.lock:
            code = "peer_unreachable"
            try:
                with gevent.Timeout(self.timeout_seconds):
                    if self.stub is None:
                        self.connect()
                    code = "peer_failed"
                    return getattr(self.stub, method)(*arguments)
            except Refused as error:
                raise self.to_error(error) from None
            except (*CALL_ERRORS, gevent.Timeout) as error:
                self.close()
                detail = f"{self.address}: {error!r}"
                raise HingepitchError(code, detail) from None
            except BaseException:
                self.close()
                raise

    def to_error(self, error):
        """Return the exception for a refusal of the other side."""
        if error.code == "unauthenticated":
            self.close()
        code = error.code if error.code in ERROR_BY_CODE else "internal"
        made = HingepitchError(code, error.detail, error.retry_after_ms)
        made.leader = error.leader
        return made

    def close(self):
        """Close the connection, if there is one."""
        if self.transport is not None:
            self.transport.close()
        self.transport = None
        self.stub = None
