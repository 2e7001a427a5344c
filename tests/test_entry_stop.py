"""An entry that is told to stop ends within its grace period.

Guards against entries that the platform kills because calls in flight, servers that
close one after another or a blocked event loop take up the whole period.
"""

import threading
from types import SimpleNamespace

import gevent
import pytest

import adapter.entry
from adapter.entry import (
    DRAIN_FRACTION,
    EXIT_FRACTION,
    FLUSH_SECONDS,
    STOP_SECONDS,
    PlatformEntry,
)
from adapter.settings import Bounds, PlatformSettings
from hingepitch import app
from hingepitch.clock import lease_seconds
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.exitlimit import end_process_after
from hingepitch.jobs.client import JobClient
from hingepitch.logsink import CLOSE_SECONDS

GRACE_SECONDS = 3.0

#: Waits of an entry that do not depend on the grace period.
FIXED_WAITS = ("BALANCER_DRAIN_SECONDS", "FLUSH_SECONDS", "STOP_SECONDS")


class HangingServer:
    """Server with connections that do not close."""

    is_listening = True

    def start(self):
        pass

    def stop_accepting(self):
        self.is_listening = False

    def stop(self):
        gevent.sleep(60)


class NoLeader:
    """Group client whose replicas may have read each call, and never answer."""

    def call_once(self, method, data):
        raise HingepitchError("peer_failed")


class HangingEntry(PlatformEntry):
    """Entry with a call in flight that never ends."""

    def setup(self):
        self.client = JobClient(NoLeader())
        self.front = SimpleNamespace(in_flight=1, is_leaving=False)
        self.http, self.ready_http, self.metrics_http = (
            HangingServer() for _ in range(3)
        )

    def start(self):
        pass


@pytest.fixture
def entry(monkeypatch):
    monkeypatch.setattr(gevent, "signal_handler", lambda *_: None)
    settings = {
        "node": "e1",
        "ip": "10.0.0.1",
        "zone": "a",
        "listen": {"front": "10.0.0.1:80"},
        "port_range": [7060, 7075],
        "seeds": ["10.0.0.2:8623"],
        "bounds": {"grace_s": GRACE_SECONDS},
    }
    return HangingEntry(PlatformSettings.model_validate(settings))


# Guards against: waits that add up to more than the grace period.
def test_calls_and_connections_that_never_end_are_left_in_time(entry, monkeypatch):
    limits = []
    monkeypatch.setattr(app, "end_process_after", lambda *args: limits.append(args))
    for name in FIXED_WAITS:
        seconds = getattr(adapter.entry, name) * GRACE_SECONDS / Bounds().grace_s
        monkeypatch.setattr(adapter.entry, name, seconds)
    entry.stop_on_signal()
    entry.stop_on_signal()
    began = lease_seconds()
    assert entry.run() == 0
    assert not entry.http.is_listening
    assert lease_seconds() - began < GRACE_SECONDS * EXIT_FRACTION
    assert limits == [(GRACE_SECONDS * EXIT_FRACTION, 0)]


# Guards against: a connection that closes without an answer, because a call would be
# retried for longer than the process lives.
def test_calls_are_answered_before_the_process_ends(entry):
    entry.setup()
    entry.front.in_flight = 0
    call = gevent.spawn(entry.client.ask, None, 60, 60)
    gevent.spawn(entry.drain)
    call.join(timeout=GRACE_SECONDS)
    assert call.exception.code == "deadline_passed"


# Guards against: no limit for a process that was stopping after a failure already, and
# the exit code of a success for it.
def test_a_signal_limits_a_stop_that_a_failure_began(entry, monkeypatch):
    limits = []
    monkeypatch.setattr(app, "end_process_after", lambda *args: limits.append(args))
    entry.stop_process(broken=True)
    entry.stop_on_signal()
    assert limits == [(GRACE_SECONDS * EXIT_FRACTION, ExitCode.BROKEN_INVARIANT)]


# Guards against: a process that is ended by its own limit although no part hangs.
def test_the_longest_stop_of_an_entry_is_shorter_than_its_limit():
    grace = Bounds().grace_s
    longest = grace * DRAIN_FRACTION + FLUSH_SECONDS + STOP_SECONDS + CLOSE_SECONDS
    assert longest <= grace * EXIT_FRACTION < grace


# Guards against: a limit that a blocked event loop does not reach.
def test_the_process_ends_while_the_event_loop_is_blocked():
    ended = threading.Event()
    codes = []
    end_process_after(0.01, 7, lambda code: (codes.append(code), ended.set()))
    assert ended.wait(5)  # Blocks the event loop.
    assert codes == [7]


# Guards against: a program without a limit that ends before its work is done.
def test_other_programs_have_no_limit(monkeypatch):
    limits = []
    monkeypatch.setattr(app, "end_process_after", lambda *args: limits.append(args))
    program = app.Application(SimpleNamespace(name="x"))
    program.stop_on_signal()
    assert program.stopping.is_set() and not limits
