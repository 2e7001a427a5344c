"""A leader with a backlog that no pool has room for.

Seen on a day made for it: a crest brought more work than its pool could do;
then all kinds of jobs failed, and still did 15 s after a restart of all
machines, though the crest was long over. How it came about: each planning pass
looked for room on every minion of the pool for every step that waited, and
there is a pass after each change: 47 ms with 999 steps and 70 minions, of which
none started. So the leader had no time to start what other pools had room for,
or to end what was done, and the backlog stayed. Cause: the work of a pass grew
with the steps that cannot start. Proof: the looks for room in a pass are
counted, and they do not grow with the backlog; and a long pass is followed by
as long a pause.
"""

import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands, session as session_module
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.spec import Step
from hingepitch.jobs.table import ResourceUsage
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import Log, make_config, make_minion

MINIONS = 7
LONG_PASS_SECONDS = 0.03


def make_backlog(jobs):
    """Return a log whose pool is full while `jobs` jobs wait."""
    log = Log()
    log.send(commands.PutQueues(make_config()))
    for number in range(MINIONS):
        log.send(commands.RegisterMinion(make_minion(number), 0))
    log.submit(Step(MINIONS, cpu_millicores=4000), job=f"{0:016x}")
    log.send(commands.StartRuns(plan(log), (), 0))
    for number in range(1, jobs + 1):
        log.submit(Step(8, cpu_millicores=1000 + number % 3), job=f"{number:016x}")
    return log


def plan(log):
    """Return the starts of one planning pass."""
    starts, _ = plan_starts(log.table, PlanContext(0, set(log.table.minion_by_id)))
    return starts


@pytest.fixture
def looks(monkeypatch):
    """The looks for room, as a list that grows."""
    made = []
    fits = ResourceUsage.fits

    def counted(room, minion, step):
        made.append(minion.id)
        return fits(room, minion, step)

    monkeypatch.setattr(ResourceUsage, "fits", counted)
    return made


@pytest.mark.parametrize("jobs", [9, 900])
def test_a_pass_over_a_full_pool_does_not_grow_with_the_backlog(looks, jobs):
    log = make_backlog(jobs)
    looks.clear()
    assert plan(log) == ()
    # Once for each size that waits, at most: the sizes are three.
    assert len(looks) <= 3 * MINIONS


def test_a_long_pass_is_followed_by_as_long_a_pause(monkeypatch):
    ahead = [0.0]
    clock = session_module.lease_seconds
    monkeypatch.setattr(session_module, "lease_seconds", lambda: clock() + ahead[0])

    def long_pass(table, plan_context):
        ahead[0] += LONG_PASS_SECONDS
        return plan_starts(table, plan_context)

    monkeypatch.setattr(session_module, "plan_starts", long_pass)
    rig = Rig(TaskMinion(task_seconds=0.05))
    try:
        rig.submit(Step(1))
        assert wait_until(lambda: ahead[0] > 0, SECONDS)
        assert rig.dispatcher.session.gather_seconds >= LONG_PASS_SECONDS
    finally:
        rig.close()
