"""Children that fail again and again, by what others send or do not send.

Five control programs ended by themselves, one after another, and with them all
service: an error that nothing expected ended each at its start. The supervisor
could do the same: eight failures of one child within 30 s ended the process,
and what a peer, a minion or a stored entry causes comes back as often as it
likes. Nothing was gained: a child that is started again finds what a process
that is started again finds. Proof: the first test, in which the process had
ended after the eighth failure.
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

#: More failures than ended a process before.
MANY = 30


class Program(Application):
    """A program with one child that always fails."""

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
def short_pauses(monkeypatch):
    monkeypatch.setattr(supervisor, "MAX_BACKOFF_SECONDS", 0.01)


@pytest.mark.parametrize("error", [ValueError("x"), HingepitchError("bad_request")])
def test_a_child_that_fails_again_and_again_ends_no_process(error):
    program = Program(error)
    running = gevent.spawn(program.run)
    wait_until(lambda: program.runs >= MANY or running.ready(), SECONDS)
    assert not running.ready()
    assert program.runs >= MANY
    program.stopping.set()
    assert running.get(timeout=SECONDS) == ExitCode.FINE


def test_the_status_names_the_children_that_fail():
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


def test_the_pause_of_a_child_that_fails_for_days_is_bounded():
    child = supervisor.Child("child", None, failures=100_000)
    assert supervisor.Supervisor(None).backoff_seconds(child) <= 0.01


# Guards against: a failure that is told without the place that it comes from.
def test_a_failure_is_logged_with_its_place(monkeypatch):
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
