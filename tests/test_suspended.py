"""Test leases on a suspended machine.

The monotonic clock and the timers of the event loop stop during a suspension.
Guards against a lease that expired during the suspension and seems valid after it.
Leases are therefore measured on a clock that counts the suspension, and must be
confirmed again after resuming.
"""

import re
import time
from pathlib import Path
from types import SimpleNamespace

import gevent
import pytest

from hingepitch import clock
from hingepitch.entry.follower import Follower
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.question import AskPending
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, make_harness
from tests.test_job_rules import HOST

__all__ = ["make_harness"]

ROOT = Path(__file__).parent.parent

#: Ways to read a clock without `hingepitch.clock`.
CLOCK_CALL = re.compile(
    r"time\.(time|time_ns|monotonic|monotonic_ns|perf_counter|clock_gettime)\b"
    r"|datetime\.(now|utcnow)|from time import"
)


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that simulates a suspension of some seconds."""
    suspension = SimpleNamespace(seconds=0.0)
    read = time.clock_gettime

    def read_shifted(clock_id):
        counted = suspension.seconds if clock_id == time.CLOCK_BOOTTIME else 0.0
        return read(clock_id) + counted

    def sleep(seconds):
        suspension.seconds += seconds

    monkeypatch.setattr(clock.time, "clock_gettime", read_shifted)
    return sleep


def test_only_the_clock_module_reads_clocks():
    sources = [*ROOT.glob("hingepitch/**/*.py"), *ROOT.glob("platform/**/*.py")]
    found = [
        source.name
        for source in sources
        if "gen" not in source.parts and CLOCK_CALL.search(source.read_text())
    ]
    assert found == ["clock.py"]


def test_a_resumed_leader_sends_no_order_before_it_is_confirmed(make_harness, suspend):
    minion = TaskMinion()
    harness = make_harness(minion)
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    session = harness.dispatcher.session
    assert wait_until(session.may_order, SECONDS)
    harness.replica.confirm_leadership = lambda: gevent.sleep(60)
    harness.replica.is_leader = True
    suspend(5.0)
    assert not session.may_order()
    harness.submit(Step(1))
    gevent.sleep(0.5)
    assert not minion.starts


def test_the_lease_of_an_unresponsive_minion_expires_while_the_leader_is_suspended(
    make_harness, suspend
):
    first, second = TaskMinion(), TaskMinion()
    harness = make_harness(first)
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.running, SECONDS)
    first.faults.looks += ["dropped"] * 50
    agent = harness.dispatcher.session.agent_by_minion[first.life]
    assert wait_until(lambda: agent.is_unresponsive, SECONDS)
    harness.minions = (first, second)
    harness.register(1, second)
    suspend(10.0)
    assert agent.lease_expired_at < clock.lease_seconds()
    assert wait_until(lambda: second.running, SECONDS)


def test_a_read_after_resuming_is_confirmed_again(make_harness, suspend):
    harness = make_harness(TaskMinion())
    service = JobService(harness.replica, harness.roster, None, "test")
    question = AskPending(HOST, "/q/")
    assert service.answer(question) == 0
    harness.replica.is_leader = False
    suspend(5.0)
    with pytest.raises(HingepitchError):
        service.answer(question)


def test_a_resumed_entry_has_no_lease(suspend):
    follower = Follower.__new__(Follower)
    follower.lease_until = clock.lease_seconds() + 3.0
    assert follower.has_lease()
    suspend(5.0)
    assert not follower.has_lease()
