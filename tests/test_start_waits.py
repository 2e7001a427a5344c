"""Tests that a start waits while an address, data folder or disk is unusable.

They guard against a program that ends at its start because of a temporary condition:
an address (also that of the metrics) that another process still uses, a data folder
that the previous process still locks (`folder_locked`), or a disk error during the
bootstrap at the first start.
"""

import errno
import socket
from types import SimpleNamespace

import falcon
import gevent
import pytest
from gevent.event import Event

from hingepitch.app import Application
from hingepitch.control import bootstrap
from hingepitch.control.message import Member
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.control.writer import LogWriter
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.httpd import HttpServer, wait_until
from hingepitch.rpc import RpcServer
from tests.single_replica import make_replica

SECONDS = 5
MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)


class ServingProgram(Application):
    """A program with one HTTP or RPC server."""

    program = "test"

    def __init__(self, make):
        super().__init__(SimpleNamespace(name="test"))
        self.server = make()

    def start(self):
        self.listen("http", self.server)

    def stop(self):
        self.server.stop()


@pytest.fixture
def taken():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield sock


def make_http(sock):
    return HttpServer(f"127.0.0.1:{sock.getsockname()[1]}", falcon.App())


def make_rpc(sock):
    return RpcServer(f"127.0.0.1:{sock.getsockname()[1]}", None, "key")


@pytest.mark.parametrize("make", [make_http, make_rpc])
def test_a_start_waits_for_an_address_in_use(taken, make, monkeypatch):
    monkeypatch.setattr("hingepitch.app.LISTEN_RETRY_SECONDS", 0.01)
    program = ServingProgram(lambda: make(taken))
    running = gevent.spawn(program.run)
    gevent.sleep(0.05)
    assert not running.ready()
    assert not program.server.is_listening
    taken.close()
    assert wait_until(lambda: program.server.is_listening, SECONDS)
    program.stopping.set()
    assert running.get(timeout=SECONDS) == ExitCode.SUCCESS


def test_a_program_that_waits_for_an_address_can_be_stopped(taken):
    program = ServingProgram(lambda: make_http(taken))
    running = gevent.spawn(program.run)
    gevent.sleep(0.05)
    program.stopping.set()
    assert running.get(timeout=SECONDS) == ExitCode.SUCCESS


def test_a_start_waits_for_a_data_folder_in_use(tmp_path, monkeypatch):
    monkeypatch.setattr("hingepitch.control.replica.PAUSE_AFTER_FAULT_SECONDS", 0.01)
    bootstrap_folder(tmp_path, "c1", MEMBERS)
    last = Storage(tmp_path, "c1")
    last.open()
    replica = make_replica(tmp_path)
    opening = gevent.spawn(replica.open_when_possible, Event())
    gevent.sleep(0.05)
    assert not opening.ready()
    last.close()
    opening.get(timeout=SECONDS)
    assert replica.core.identity == "c1"
    replica.close()


def test_a_start_fails_if_its_data_folder_stays_in_use(tmp_path, monkeypatch):
    monkeypatch.setattr("hingepitch.control.replica.PAUSE_AFTER_FAULT_SECONDS", 0.01)
    monkeypatch.setattr("hingepitch.control.replica.LOCK_WAIT_SECONDS", 0.05)
    bootstrap_folder(tmp_path, "c1", MEMBERS)
    other = Storage(tmp_path, "c1")
    other.open()
    with pytest.raises(HingepitchError) as caught:
        make_replica(tmp_path).open_when_possible(Event())
    assert caught.value.code == "folder_locked"
    other.close()


def test_the_first_start_retries_after_disk_errors(tmp_path, monkeypatch):
    monkeypatch.setattr(bootstrap, "BOOTSTRAP_RETRY_SECONDS", 0.01)
    refusals = [errno.EIO, errno.ENOSPC]

    def refuse(*arguments):
        if refusals:
            raise OSError(refusals.pop(), "refused")
        return bootstrap_folder(*arguments)

    monkeypatch.setattr(bootstrap, "bootstrap_folder", refuse)
    bootstrap.bootstrap_when_possible((tmp_path, "c1", MEMBERS), Event())
    storage = Storage(tmp_path, "c1")
    assert storage.open().members == MEMBERS
    storage.close()


@pytest.mark.parametrize("error", [RuntimeError("no thread"), OverflowError("x")])
def test_nothing_is_written_after_a_failed_write(error):
    """A failed write leaves a gap in the log, whatever the cause of the failure."""

    class Store:
        def __init__(self):
            self.written = []
            self.fails = True

        def write(self, vote, entries):
            if self.fails:
                self.fails = False
                raise error
            self.written += entries

    store = Store()
    writer = LogWriter(store, lambda event: None)
    first, second = (SimpleNamespace(index=at, term=1) for at in (1, 2))
    with pytest.raises((HingepitchError, type(error))):
        writer.write(None, [first])
    with pytest.raises(HingepitchError) as caught:
        writer.write(None, [second])
    assert caught.value.code == "storage_failed"
    assert store.written == []
