"""A task that crashes every minion that starts it.

Seen: about fourteen tasks of one queue were started up to thirty times each, and
every start took a minion away for three seconds with the ten runs beside it;
from then on the queue served nobody, through two changes of the leader.
"""

import gevent
import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step, format_task
from standin.taskminion import TaskMinion
from tests.test_dispatch import Rig
from tests.test_job_rules import JOB, make_minion, task

OTHER_JOBS = tuple(f"00000000000000b{number}" for number in range(4))

#: Starts that a task may have once three minions have crashed under it: two.
MOST_STARTS = 5

#: A minion crashes so soon after the start of a task that does it, in seconds.
CRASH_SECONDS = 0.01

#: How long a minion is away after a crash, in seconds.
DOWN_SECONDS = 0.5

BEAT_SECONDS = 0.1
SECONDS = 30


class CrashingMinion(TaskMinion):
    """A minion that crashes under some tasks, and is back as another life.

    `pool`
        The `CrashingPool`.
    """

    def __init__(self, pool, task_seconds):
        super().__init__(task_seconds)
        self.pool = pool
        self.sequence = 0

    def start_run(self, body):
        status, fields = super().start_run(body)
        if status == 200 and body["task"] in self.pool.crashing:
            gevent.spawn_later(CRASH_SECONDS, self.crash_under, self.life, body["task"])
        return status, fields

    def crash_under(self, life, name):
        if life == self.life:
            self.crash(DOWN_SECONDS)
            self.pool.break_gang(name)


class CrashingPool(Rig):
    """A dispatcher and minions whose heartbeats go through the job service."""

    def __init__(self, minions=4, task_seconds=0.3):
        self.crashing = set()
        self.gang_prefix = None
        made = [CrashingMinion(self, task_seconds) for _ in range(minions)]
        super().__init__(*made)
        self.service = JobService(self.replica, self.roster, None, "test")
        self.beating = gevent.spawn(self.beat)
        assert wait_until(lambda: self.dispatcher.session is not None, SECONDS)

    def beat(self):
        while True:
            for number, minion in enumerate(self.minions):
                if not minion.is_up:
                    continue
                minion.sequence += 1
                record = make_minion(
                    number,
                    id=minion.life,
                    address=minion.address,
                    cpu_millicores=16_000,
                )
                beat = NoteBeat(record, minion.sequence, minion.clock_ms())
                if self.replica.is_leader:
                    self.service.answer(beat)
            gevent.sleep(BEAT_SECONDS)

    def break_gang(self, name):
        """End the other members of a gang one of whose members was lost."""
        if self.gang_prefix is None or not name.startswith(self.gang_prefix):
            return
        for minion in self.minions:
            for member in list(minion.running):
                if member.startswith(self.gang_prefix):
                    minion.end(member, "broken")

    def starts_of(self, name):
        return sum(
            started == name
            for minion in self.minions
            for started, _, _ in minion.starts
        )

    def status_of(self, job):
        return self.log.table.job_by_id[job].status

    def close(self):
        self.beating.kill()
        super().close()


@pytest.fixture
def pool():
    made = []

    def make(**options):
        made.append(CrashingPool(**options))
        return made[-1]

    yield make
    for one in made:
        one.close()


def give_up(here, culprit):
    """Wait until the job of a culprit is given up; return the culprit's starts."""
    name = format_task(culprit)
    assert wait_until(
        lambda: (
            here.status_of(culprit.job) is JobStatus.FAILED
            or here.starts_of(name) > MOST_STARTS
        ),
        SECONDS,
    )
    return here.starts_of(name)


@pytest.mark.parametrize(
    "shape, times",
    [({}, {}), ({"lasts": True}, {}), ({}, {"times": 2, "interval_ms": 10**15})],
    ids=["once", "lasting", "repeated"],
)
def test_a_task_that_crashes_its_minions_is_given_up(pool, shape, times):
    here = pool()
    here.crashing.add(format_task(task(index=2)))
    here.log.submit(Step(6, **shape), **times)
    here.replica.wake()
    assert give_up(here, task(index=2)) <= MOST_STARTS
    assert here.status_of(JOB) is JobStatus.FAILED


def test_a_gang_whose_member_crashes_its_minions_is_given_up(pool):
    here = pool(task_seconds=1.0)
    here.gang_prefix = f"{JOB}.0.0."
    here.crashing.add(format_task(task(index=1)))
    here.submit(Step(3, gang=True, max_per_minion=1))
    assert give_up(here, task(index=1)) <= MOST_STARTS
    assert here.status_of(JOB) is JobStatus.FAILED


def test_it_is_remembered_through_changes_of_the_leader(pool):
    here = pool()
    culprit = task(index=2)
    name = format_task(culprit)
    here.crashing.add(name)
    here.submit(Step(6))
    for starts in range(1, MOST_STARTS + 2):
        assert wait_until(
            lambda n=starts: (
                here.starts_of(name) >= n or here.status_of(JOB) is JobStatus.FAILED
            ),
            SECONDS,
        )
        if here.status_of(JOB) is JobStatus.FAILED:
            break
        here.lead_again()
    assert here.starts_of(name) <= MOST_STARTS
    assert here.status_of(JOB) is JobStatus.FAILED


def test_those_beside_it_are_not_given_up(pool):
    here = pool(minions=3)
    here.crashing.add(format_task(task(index=0)))
    for job in OTHER_JOBS:
        here.log.submit(Step(4), Step(2, after=(0,)), job=job)
    here.submit(Step(3))
    assert give_up(here, task(index=0)) <= MOST_STARTS
    for job in OTHER_JOBS:
        assert wait_until(
            lambda one=job: here.status_of(one) is JobStatus.SUCCEEDED, SECONDS
        )


def test_nothing_is_given_up_because_minions_crash_by_chance(pool):
    here = pool(task_seconds=0.4)
    for job in OTHER_JOBS:
        here.log.submit(Step(8, lasts=job == OTHER_JOBS[0]), job=job)
    here.replica.wake()
    for _ in range(4):
        assert wait_until(lambda: any(one.running for one in here.minions), SECONDS)
        for minion in here.minions[:3]:
            minion.crash(DOWN_SECONDS)
        before = sum(len(one.starts) for one in here.minions)
        assert wait_until(
            lambda n=before: sum(len(one.starts) for one in here.minions) > n, SECONDS
        )
    for job in OTHER_JOBS[1:]:
        assert wait_until(
            lambda one=job: here.status_of(one) is JobStatus.SUCCEEDED, SECONDS
        )
    assert here.status_of(OTHER_JOBS[0]) is JobStatus.RUNNING
