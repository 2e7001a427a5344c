"""Test supervised children that fail repeatedly.

Guards against processes that exit because a child keeps failing. An unexpected
error ended five control programs at their start, one after another, and with
them the service; eight failures of a child within 30 s ended a process as well.
A peer, a minion or a stored entry can cause a failure any number of times, and a
restarted process meets it just as a restarted child does.
"""

import re
from types import SimpleNamespace

import gevent
import pytest

from hingepitch import supervisor
from hingepitch.app import Application
from hingepitch.error import ExitCode, HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.setting import parse_address

SECONDS = 5

#: More failures than the former limit of eight that ended the process.
MANY = 30


class Program(Application):
    """Application with one child that always fails."""

    program = "test"

    def __init__(self, error):
        super().__init__(SimpleNamespace(name="test"))
        self.error = error
        self.runs = 0

    def start(self):
        self.supervisor.start("child", self.fail)

    def fail(self):
        self.runs += 1
        raise self.error


@pytest.fixture(autouse=True)
def short_backoff(monkeypatch):
    monkeypatch.setattr(supervisor, "MAX_BACKOFF_SECONDS", 0.01)


@pytest.mark.parametrize("error", [ValueError("x"), HingepitchError("bad_request")])
def test_a_child_that_fails_again_and_again_ends_no_process(error):
    program = Program(error)
    running = gevent.spawn(program.run)
    wait_until(lambda: program.runs >= MANY or running.ready(), SECONDS)
    assert not running.ready()
    assert program.runs >= MANY
    program.stopping.set()
    assert running.get(timeout=SECONDS) == ExitCode.SUCCESS


def test_status_names_the_failing_children():
    program = Program(ValueError("x"))
    running = gevent.spawn(program.run)
    assert wait_until(lambda: program.runs > 2, SECONDS)
    assert program.supervisor.failing == ["child"]
    program.stopping.set()
    running.get(timeout=SECONDS)


def test_a_broken_invariant_still_ends_the_process():
    program = Program(HingepitchError("broken_invariant"))
    assert gevent.spawn(program.run).get(timeout=SECONDS) == ExitCode.BROKEN_INVARIANT
    assert program.runs == 1


def test_the_backoff_of_a_child_that_fails_for_days_is_bounded():
    child = supervisor.Child("child", None, failures=100_000)
    assert supervisor.Supervisor(None).backoff_seconds(child) <= 0.01


# Guards against a failure logged without the source location of its error.
def test_a_failure_is_logged_with_its_source_location(monkeypatch):
    lines = []
    monkeypatch.setattr(
        supervisor, "log_event", lambda event, **pairs: lines.append((event, pairs))
    )
    tree = supervisor.Supervisor(None)
    tree.start("child", lambda: parse_address("no address"))
    assert wait_until(lambda: lines, SECONDS)
    tree.stop()
    event, pairs = lines[0]
    assert event == "child_failed"
    assert re.fullmatch(r"setting\.py:\d+", pairs["at"])
