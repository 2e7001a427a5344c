"""Poison tasks, which crash each minion that starts them.

Without a limit on their starts, about fourteen such tasks were started up to
thirty times each. Every start took a minion out of service for three seconds,
together with its ten other runs, so that the queue completed no other job, also
after two leader changes.
"""

import gevent
import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs.question import NoteBeat
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step, format_task
from standin.taskminion import TaskMinion
from tests.test_dispatch import DispatchHarness
from tests.test_job_rules import JOB, make_minion, task

OTHER_JOBS = tuple(f"00000000000000b{number}" for number in range(4))

#: Largest number of starts of a poison task: three crashes, then two more starts.
MAX_STARTS = 5

#: Time from the start of a poison task to the crash of its minion, in seconds.
CRASH_SECONDS = 0.01

#: Time for which a minion is down after a crash, in seconds.
DOWN_SECONDS = 0.5

BEAT_SECONDS = 0.1
SECONDS = 30


class CrashingMinion(TaskMinion):
    """A minion that crashes under poison tasks and returns as another incarnation.

    `pool`
        The `CrashingPool`; its `crashing` holds the names of the poison tasks.
    """

    def __init__(self, pool, task_seconds):
        super().__init__(task_seconds)
        self.pool = pool
        self.sequence = 0

    def start_run(self, body):
        status, fields = super().start_run(body)
        if status == 200 and body["task"] in self.pool.crashing:
            gevent.spawn_later(CRASH_SECONDS, self.crash_by, self.life, body["task"])
        return status, fields

    def crash_by(self, life, name):
        if life == self.life:
            self.crash(DOWN_SECONDS)
            self.pool.break_gang(name)


class CrashingPool(DispatchHarness):
    """A dispatcher and minions whose heartbeats go through the job service.

    `crashing`
        Names of the poison tasks.
    `gang_prefix`
        Prefix of the task names of the gang that ends as a whole, or None.
    """

    def __init__(self, minions=4, task_seconds=0.3):
        self.crashing = set()
        self.gang_prefix = None
        crashing_minions = [CrashingMinion(self, task_seconds) for _ in range(minions)]
        super().__init__(*crashing_minions)
        self.service = JobService(self.replica, self.roster, None, "test")
        self.heartbeat_greenlet = gevent.spawn(self.send_heartbeats)
        assert wait_until(lambda: self.dispatcher.session is not None, SECONDS)

    def send_heartbeats(self):
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
                heartbeat = NoteBeat(record, minion.sequence, minion.clock_ms())
                if self.replica.is_leader:
                    self.service.answer(heartbeat)
            gevent.sleep(BEAT_SECONDS)

    def break_gang(self, name):
        """End the other members of the gang whose member `name` was lost."""
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
        self.heartbeat_greenlet.kill()
        super().close()


@pytest.fixture
def pool():
    pools = []

    def make(**options):
        pools.append(CrashingPool(**options))
        return pools[-1]

    yield make
    for one in pools:
        one.close()


def wait_until_abandoned(harness, poison_task):
    """Wait until a poison task's job fails; return the number of the task's starts."""
    name = format_task(poison_task)
    assert wait_until(
        lambda: (
            harness.status_of(poison_task.job) is JobStatus.FAILED
            or harness.starts_of(name) > MAX_STARTS
        ),
        SECONDS,
    )
    return harness.starts_of(name)


@pytest.mark.parametrize(
    "shape, times",
    [({}, {}), ({"lasts": True}, {}), ({}, {"times": 2, "interval_ms": 10**15})],
    ids=["once", "lasting", "repeated"],
)
def test_the_job_of_a_task_that_crashes_its_minions_is_abandoned(pool, shape, times):
    harness = pool()
    harness.crashing.add(format_task(task(index=2)))
    harness.log.submit(Step(6, **shape), **times)
    harness.replica.wake()
    assert wait_until_abandoned(harness, task(index=2)) <= MAX_STARTS
    assert harness.status_of(JOB) is JobStatus.FAILED


def test_the_job_of_a_gang_whose_member_crashes_its_minions_is_abandoned(pool):
    harness = pool(task_seconds=1.0)
    harness.gang_prefix = f"{JOB}.0.0."
    harness.crashing.add(format_task(task(index=1)))
    harness.submit(Step(3, gang=True, max_per_minion=1))
    assert wait_until_abandoned(harness, task(index=1)) <= MAX_STARTS
    assert harness.status_of(JOB) is JobStatus.FAILED


def test_crashes_are_counted_across_leader_changes(pool):
    harness = pool()
    poison_task = task(index=2)
    name = format_task(poison_task)
    harness.crashing.add(name)
    harness.submit(Step(6))
    for starts in range(1, MAX_STARTS + 2):
        assert wait_until(
            lambda n=starts: (
                harness.starts_of(name) >= n
                or harness.status_of(JOB) is JobStatus.FAILED
            ),
            SECONDS,
        )
        if harness.status_of(JOB) is JobStatus.FAILED:
            break
        harness.restart_leadership()
    assert harness.starts_of(name) <= MAX_STARTS
    assert harness.status_of(JOB) is JobStatus.FAILED


def test_other_jobs_on_the_crashed_minions_succeed(pool):
    harness = pool(minions=3)
    harness.crashing.add(format_task(task(index=0)))
    for job in OTHER_JOBS:
        harness.log.submit(Step(4), Step(2, after=(0,)), job=job)
    harness.submit(Step(3))
    assert wait_until_abandoned(harness, task(index=0)) <= MAX_STARTS
    for job in OTHER_JOBS:
        assert wait_until(
            lambda one=job: harness.status_of(one) is JobStatus.SUCCEEDED, SECONDS
        )


def test_no_job_is_abandoned_because_minions_crash_by_chance(pool):
    harness = pool(task_seconds=0.4)
    for job in OTHER_JOBS:
        harness.log.submit(Step(8, lasts=job == OTHER_JOBS[0]), job=job)
    harness.replica.wake()
    for _ in range(4):
        assert wait_until(lambda: any(one.running for one in harness.minions), SECONDS)
        for minion in harness.minions[:3]:
            minion.crash(DOWN_SECONDS)
        before = sum(len(one.starts) for one in harness.minions)
        assert wait_until(
            lambda n=before: sum(len(one.starts) for one in harness.minions) > n,
            SECONDS,
        )
    for job in OTHER_JOBS[1:]:
        assert wait_until(
            lambda one=job: harness.status_of(one) is JobStatus.SUCCEEDED, SECONDS
        )
    assert harness.status_of(OTHER_JOBS[0]) is JobStatus.RUNNING
