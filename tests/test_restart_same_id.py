"""A minion that starts again under its id: nothing kept for the id applies to it.

The new incarnation holds and knows nothing of the one before. Its heartbeats and its
ends are numbered anew, and its clock starts anew; `born` tells the two apart.
"""

import gevent
import msgspec
import pytest

from adapter.wire import decode_heartbeat
from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs.agents.contact import ReplyKind
from hingepitch.jobs.agents.offset import ClockOffset
from hingepitch.jobs.permission import Permission
from hingepitch.jobs.question import NoteLeaving
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, TERMS, DispatchHarness
from tests.test_job_rules import task

#: How long a crashed minion does not answer, in seconds.
DOWN_SECONDS = 0.05

#: After this time without a message a minion gets no starts, in seconds.
SILENCE_SECONDS = 3 * TERMS.heartbeat_seconds

#: How much longer the incarnation before has been up, in seconds.
AHEAD_SECONDS = 4.0

#: Number of heartbeats, or of ends, of the first incarnation.
MANY = 12


class Scene:
    """A leader and minions that tell it of themselves by heartbeats alone."""

    def __init__(self, *minions):
        self.minions = minions
        self.harness = DispatchHarness()
        self.harness.minions = minions
        self.log = self.harness.log
        self.service = JobService(
            self.harness.replica, self.harness.roster, None, "test"
        )
        assert wait_until(lambda: self.harness.dispatcher.session, SECONDS)
        for minion in minions:
            self.report(minion)

    @property
    def table(self):
        return self.log.table

    def heartbeat(self, minion):
        """Return the next heartbeat of a minion, as the adapter decodes it."""
        vm = f"vm-{self.minions.index(minion)}"
        body = msgspec.json.encode(minion.heartbeat(vm, "pool"))
        return decode_heartbeat(minion.life, body)

    def report(self, minion, count=1):
        """Send heartbeats of a minion."""
        for _ in range(count):
            self.service.answer(self.heartbeat(minion))

    def restart(self, minion):
        """Let a minion crash and start again under its id, and report."""
        minion.crash(DOWN_SECONDS, minion.life)
        assert wait_until(lambda: minion.is_up, SECONDS)
        self.report(minion)

    def run_job(self, job, count):
        """Let a job of `count` tasks of one step end."""
        assert self.log.submit(Step(count), job=job) == ""
        self.harness.replica.wake()
        self.wait_success(job)

    def wait_success(self, job):
        """Wait until a job has succeeded."""
        assert wait_until(
            lambda: self.table.job_by_id[job].status is JobStatus.SUCCEEDED, SECONDS
        )

    def agent(self, minion):
        """Return the leader's agent of a minion."""
        agents = self.harness.dispatcher.session.agent_by_minion
        assert wait_until(lambda: minion.life in agents, SECONDS)
        return agents[minion.life]

    def starts(self, minion, job):
        """Return the tasks of a job that a minion has started."""
        return [name for name, _, _ in minion.starts if name.startswith(job)]


@pytest.fixture
def make_scene():
    scenes = []

    def make(*minions):
        scenes.append(Scene(*minions))
        return scenes[-1]

    yield make
    for one in scenes:
        one.harness.close()


def start_again_by_the_order_before(minion, ahead_seconds=0.0):
    """Let a minion start again and carry out its only order once more.

    `ahead_seconds`
        How much longer the incarnation before has been up.

    Return the name of the task and the number of the run.
    """
    ((name, number, body),) = minion.starts
    minion.crash(DOWN_SECONDS, minion.life)
    assert wait_until(lambda: minion.is_up, SECONDS)
    until_ms = body["until_ms"] + int(ahead_seconds * 1000)
    assert minion.start_run({**body, "until_ms": until_ms}) == (200, {})
    return name, number


def job_name(number):
    return f"{number:016x}"


# Guards against starts on a minion that said, after a restart, that it leaves.
def test_a_restarted_minion_that_drains_gets_no_starts(make_scene):
    leaving, other = TaskMinion(task_seconds=0.1), TaskMinion()
    scene = make_scene(leaving)
    scene.report(leaving, MANY)
    scene.restart(leaving)
    scene.run_job(job_name(1), 1)
    leaving.is_draining = True
    scene.report(leaving)
    scene.minions = scene.harness.minions = (leaving, other)
    scene.report(other)
    scene.log.submit(Step(20), job=job_name(2))
    scene.harness.replica.wake()
    assert wait_until(lambda: len(other.running) == 16, SECONDS)
    assert not scene.starts(leaving, job_name(2))


# Guards against a second run of a task whose end the new incarnation has listed.
def test_the_ends_of_a_restarted_minion_are_recorded(make_scene):
    minion = TaskMinion(task_seconds=0.1)
    scene = make_scene(minion)
    scene.run_job(job_name(1), MANY)
    scene.restart(minion)
    scene.run_job(job_name(2), 6)
    started = scene.starts(minion, job_name(2))
    assert sorted(started) == sorted(set(started))


# Guards against a poll that tells a new incarnation to forget its first ends.
def test_a_restarted_minion_is_not_told_that_its_ends_are_recorded(make_scene):
    minion = TaskMinion(task_seconds=0.1)
    scene = make_scene(minion)
    scene.run_job(job_name(1), MANY)
    poller = scene.agent(minion).status_poller
    assert wait_until(
        lambda: not poller.is_needed() and not poller.is_long_polling, SECONDS
    )
    minion.crash(DOWN_SECONDS, minion.life)
    assert wait_until(lambda: minion.is_up, SECONDS)
    minion.calls.clear()
    scene.log.submit(Step(2), job=job_name(2))
    scene.harness.replica.wake()
    assert wait_until(lambda: len(minion.ended) == 2, SECONDS)
    gevent.sleep(0.5)
    told = [body["last_seen"] for kind, body in minion.calls if kind == "look"]
    assert told and max(told) == 0
    scene.report(minion)
    scene.wait_success(job_name(2))
    started = scene.starts(minion, job_name(2))
    assert sorted(started) == sorted(set(started))


# Guards against a waiting task beside minions whose heartbeats count as late.
def test_a_restarted_minion_without_runs_gets_starts(make_scene):
    minion = TaskMinion(task_seconds=0.1)
    scene = make_scene(minion)
    scene.report(minion, MANY)
    scene.agent(minion).last_message_at -= 2 * SILENCE_SECONDS
    scene.restart(minion)
    scene.run_job(job_name(1), 1)


# Guards against a waiting task beside a minion whose earlier incarnation drained.
def test_a_minion_that_drained_before_its_restart_gets_starts(make_scene):
    minion = TaskMinion(task_seconds=0.1)
    scene = make_scene(minion)
    minion.is_draining = True
    scene.report(minion, MANY)
    scene.restart(minion)
    scene.run_job(job_name(1), 1)


# Guards against a waiting task beside a minion whose earlier incarnation left.
def test_a_minion_that_left_and_starts_again_gets_starts(make_scene):
    minion = TaskMinion(task_seconds=0.1)
    scene = make_scene(minion)
    minion.is_draining = True
    scene.report(minion)
    scene.service.answer(NoteLeaving(minion.life))
    scene.restart(minion)
    scene.run_job(job_name(1), 1)


# Guards against a task that waits on a run that ended in the crash.
def test_a_task_that_a_crash_ended_runs_again(make_scene):
    minion = TaskMinion()
    scene = make_scene(minion)
    scene.log.submit(Step(3, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: len(minion.running) == 3, SECONDS)
    scene.restart(minion)
    assert wait_until(lambda: len(minion.running) == 3, SECONDS)
    runs = scene.table.runs_by_minion[minion.life].values()
    numbers = {name: one.run for name, one in minion.running.items()}
    assert sorted(run.number for run in runs) == sorted(numbers.values()) == [2, 2, 2]


# Guards against a run on the new incarnation, by an order meant for the one before,
# beside a run of the same task elsewhere.
def test_a_run_that_the_new_incarnation_started_goes_on(make_scene):
    minion, other = TaskMinion(), TaskMinion()
    scene = make_scene(minion)
    scene.log.submit(Step(1, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: minion.running, SECONDS)
    name, number = start_again_by_the_order_before(minion)
    scene.minions = scene.harness.minions = (minion, other)
    scene.report(other)
    scene.report(minion)
    gevent.sleep(1.0)
    assert minion.running[name].run == number
    assert not other.starts


# Guards against a late heartbeat that takes the present incarnation's place.
def test_a_late_heartbeat_of_the_incarnation_before_changes_nothing(make_scene):
    minion = TaskMinion()
    scene = make_scene(minion)
    scene.report(minion, MANY)
    minion.is_draining = True
    late = scene.heartbeat(minion)
    scene.restart(minion)
    scene.log.submit(Step(2), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: len(minion.running) == 2, SECONDS)
    with pytest.raises(HingepitchError) as caught:
        scene.service.answer(late)
    assert caught.value.code == "life_absent"
    assert not scene.table.minion_by_id[minion.life].is_draining
    gevent.sleep(0.3)
    assert len(minion.starts) == 2


# Guards against a delayed DELETE that ends the runs of the incarnation after it.
def test_a_late_delete_of_the_incarnation_before_ends_nothing(make_scene):
    minion, other = TaskMinion(), TaskMinion()
    scene = make_scene(minion, other)
    scene.report(minion, MANY)
    scene.restart(minion)
    other.is_draining = True
    scene.report(other)
    scene.log.submit(Step(2, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: len(minion.running) == 2, SECONDS)
    with pytest.raises(HingepitchError) as caught:
        scene.service.answer(NoteLeaving(minion.life))
    assert caught.value.code == "life_present"
    assert len(scene.table.runs_by_minion[minion.life]) == 2
    scene.report(minion)
    assert len(minion.starts) == 2


# Guards against a delayed DELETE that frees runs which the incarnation after the
# recorded one, not yet recorded itself, has started by an order for that one.
def test_a_late_delete_frees_no_runs_of_an_incarnation_to_be_recorded(make_scene):
    minion, other = TaskMinion(), TaskMinion()
    scene = make_scene(minion)
    scene.restart(minion)
    scene.log.submit(Step(1, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: minion.running, SECONDS)
    name, number = start_again_by_the_order_before(minion)
    with pytest.raises(HingepitchError) as caught:
        scene.service.answer(NoteLeaving(minion.life))
    assert caught.value.code == "life_present"
    scene.minions = scene.harness.minions = (minion, other)
    scene.report(other)
    scene.report(minion)
    gevent.sleep(1.0)
    assert minion.running[name].run == number
    assert not other.starts


# Guards against a lease that counts as expired while the incarnation after the
# recorded one runs an order for that one, whose clock had come further.
def test_runs_of_an_incarnation_to_be_recorded_outlast_the_lease_before(make_scene):
    minion, other = TaskMinion(), TaskMinion()
    scene = make_scene(minion)
    scene.log.submit(Step(1, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: minion.running, SECONDS)
    name, number = start_again_by_the_order_before(minion, AHEAD_SECONDS)
    scene.minions = scene.harness.minions = (minion, other)
    scene.report(other)
    gevent.sleep(TERMS.confirmed_expiry_seconds + AHEAD_SECONDS / 2)
    assert minion.running[name].run == number
    assert not other.starts


# Guards against a second start of all runs when the leader first hears of `born`.
def test_runs_recorded_without_the_time_of_birth_go_on(make_scene):
    minion = TaskMinion()
    scene = make_scene()
    scene.minions = scene.harness.minions = (minion,)
    born, minion.born = minion.born, 0
    scene.report(minion, MANY)
    scene.log.submit(Step(3, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: len(minion.running) == 3, SECONDS)
    minion.born = born
    scene.report(minion, 2)
    gevent.sleep(1.0)
    assert len(minion.starts) == 3
    assert scene.table.run_by_task[task(job=job_name(1))].number == 1


# Guards against a job that fails since each crash counts for runs of earlier ones.
def test_a_crash_counts_only_for_runs_of_the_incarnation_that_crashed(make_scene):
    minion = TaskMinion()
    scene = make_scene(minion)
    scene.log.submit(Step(1, lasts=True), job=job_name(1))
    scene.harness.replica.wake()
    assert wait_until(lambda: minion.running, SECONDS)
    before = scene.agent(minion)
    scene.restart(minion)
    assert wait_until(lambda: scene.agent(minion) is not before, SECONDS)
    agent = scene.agent(minion)
    agent.stop()
    agent.view_by_task.clear()
    agent.inherit(before)
    assert task(job=job_name(1)) in agent.view_by_task
    assert not scene.harness.dispatcher.session.blame(minion.life).exposed


# Guards against a ticket of an earlier incarnation that is offered until it expires.
def test_a_ticket_that_a_minion_refused_is_not_offered_again():
    minion = MemoryMinion()
    minion.start_faults = [ReplyKind.BAD_TICKET]
    harness = DispatchHarness(minion, connect=lambda record: minion)
    assert wait_until(lambda: harness.dispatcher.session, SECONDS)
    permissions = harness.dispatcher.session.permissions
    permission = Permission("ticket", lease_seconds() + 60)
    permissions.permissions_by_step[task()[:3]] = {minion.life: permission}
    harness.submit(Step(1))
    assert wait_until(lambda: minion.begun, SECONDS)
    assert minion.life not in permissions.permissions_by_step[task()[:3]]
    harness.close()


# Guards against a leader that fails at a start on a minion whose clock it has not
# read yet: one that has just started again, and had a run planned before.
def test_a_run_planned_before_the_clock_is_known_is_planned_again(make_scene):
    minion = TaskMinion()
    scene = make_scene(minion)
    session = scene.harness.dispatcher.session
    agent = scene.agent(minion)
    assert wait_until(lambda: agent.clock_offset_ms is not None, SECONDS)
    scene.log.submit(Step(1, lasts=True), job=job_name(1))
    agent.clock_offset = ClockOffset(TERMS.drift)
    assert scene.log.start(task(job=job_name(1)), minion=minion.life) == [True]
    scene.harness.replica.wake()
    assert wait_until(lambda: minion.running, SECONDS)
    assert scene.harness.dispatcher.session is session
    assert not session.has_failed
