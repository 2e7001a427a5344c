"""The job service's replies to repeated requests while commits are slow."""

from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event

from hingepitch.control.replica import is_snapshot_due
from hingepitch.error import HingepitchError
from hingepitch.jobs import command as commands
from hingepitch.jobs.question import GiveJob
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import JobSpec, Step
from hingepitch.model.apply import apply
from tests.test_job_rules import HOST, JOB, Log, make_config


class SlowReplica:
    """A leader whose log commits nothing until `may_commit` is set."""

    def __init__(self):
        self.log = Log()
        self.log.send(commands.PutQueues(make_config()))
        self.core = SimpleNamespace(term=1, role="leader")
        self.is_leader = True
        self.may_commit = Event()
        self.proposals = []
        self.refusal = None

    @property
    def state(self):
        return self.log.state

    def propose(self, envelope):
        self.proposals.append(envelope.command)
        self.may_commit.wait()
        if self.refusal:
            raise HingepitchError(self.refusal)
        self.log.index += 1
        return apply(self.state, envelope, self.log.index)


@pytest.fixture
def replica():
    return SlowReplica()


@pytest.fixture
def service(replica):
    return JobService(replica, MinionRoster(), None, "test")


REQUEST = GiveJob(JOB, HOST, "/q/" + JOB, JobSpec("text", (Step(1),)))


def ask(service, count):
    """Submit the same job `count` times at once; return the greenlets."""
    requests = [gevent.spawn(service.answer, REQUEST) for _ in range(count)]
    gevent.sleep(0)
    return requests


def test_a_job_that_is_asked_for_again_costs_one_entry(replica, service):
    requests = ask(service, 9)
    replica.may_commit.set()
    gevent.joinall(requests, raise_error=True)
    assert len(replica.proposals) == 1
    assert JOB in replica.state.jobs.job_by_id


def test_a_known_job_is_answered_without_the_log(replica, service):
    replica.may_commit.set()
    service.answer(REQUEST)
    replica.may_commit.clear()
    service.answer(REQUEST)
    assert len(replica.proposals) == 1


def test_concurrent_requests_get_the_same_refusal(replica, service):
    replica.refusal = "lost_leadership"
    requests = ask(service, 3)
    replica.may_commit.set()
    gevent.joinall(requests)
    assert [one.exception.code for one in requests] == ["lost_leadership"] * 3
    assert len(replica.proposals) == 1


def test_the_request_after_a_refusal_is_proposed_again(replica, service):
    replica.refusal = "lost_leadership"
    replica.may_commit.set()
    with pytest.raises(HingepitchError):
        service.answer(REQUEST)
    replica.refusal = None
    service.answer(REQUEST)
    assert JOB in replica.state.jobs.job_by_id


def test_killing_the_first_request_leaves_no_other_waiting(replica, service):
    requests = ask(service, 2)
    requests[0].kill()
    gevent.joinall(requests, timeout=5)
    assert requests[1].exception.code == "lost_leadership"
    assert not service.accepting


@pytest.mark.parametrize(
    ("entries", "log_bytes", "snapshot_bytes", "due"),
    [
        (1023, 10**9, 0, False),
        (1024, 500, 500, True),
        (1024, 499, 500, False),
        (2047, 499, 500, False),
        (2048, 0, 500, True),
    ],
)
def test_snapshots_of_a_large_state_are_written_less_often(
    entries, log_bytes, snapshot_bytes, due
):
    assert is_snapshot_due(entries, log_bytes, snapshot_bytes) is due
