"""The dispatcher against stand-in minions that answer late, or not at all."""

from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event

from adapter.minion import HttpMinion
from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands, health as health_module
from hingepitch.jobs.dispatch import Dispatcher
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.spec import Step
from hingepitch.jobs.terms import DispatchSettings
from hingepitch.model.apply import apply
from standin.taskminion import TaskMinion
from tests.test_job_rules import JOB, Log, make_config, make_minion, task

TERMS = DispatchSettings(
    lease_seconds=1.0,
    expiry_delay_seconds=0.2,
    heartbeat_seconds=60.0,
    poll_wait_ms=500,
)
SECONDS = 8


class OneReplica:
    """A group of one: what is proposed is committed at once."""

    def __init__(self, log):
        self.log = log
        self.is_leader = True
        self.core = SimpleNamespace(term=1, role="leader")
        self.changed = Event()

    @property
    def state(self):
        return self.log.state

    def propose(self, envelope):
        if not self.is_leader:
            raise HingepitchError("not_leader")
        self.log.index += 1
        outcome = apply(self.state, envelope, self.log.index)
        self.wake()
        return outcome

    def wake(self):
        self.changed.set()
        self.changed = Event()

    def confirm_leadership(self):
        if not self.is_leader:
            raise HingepitchError("not_leader")


class Rig:
    """A dispatcher and its stand-in minions."""

    def __init__(self, *minions, terms=TERMS, connect=HttpMinion):
        self.log = Log()
        self.log.send(commands.PutQueues(make_config()))
        self.minions = minions
        self.lives = {}
        for number, minion in enumerate(minions):
            self.register(number, minion)
        self.replica = OneReplica(self.log)
        self.roster = MinionRoster()
        self.dispatcher = Dispatcher(self.replica, self.roster, connect, terms, "test")
        self.greenlet = gevent.spawn(self.dispatcher.run)

    def register(self, number, minion):
        record = make_minion(
            number, id=minion.life, address=minion.address, cpu_millicores=16_000
        )
        self.log.send(commands.RegisterMinion(record, 0))

    def submit(self, *steps):
        assert self.log.submit(*steps) == ""
        self.replica.wake()

    def cancel(self):
        self.log.send(commands.CancelJob(JOB, 0))
        self.replica.wake()

    def wait_status(self, status, seconds=SECONDS):
        assert wait_until(lambda: self.log.status is status, seconds), self.log.status

    def lead_again(self):
        """Let another leadership begin, as if another process had it."""
        self.replica.is_leader = False
        assert wait_until(lambda: self.dispatcher.session is None, SECONDS)
        self.replica.core.term += 1
        self.replica.is_leader = True
        assert wait_until(lambda: self.dispatcher.session is not None, SECONDS)

    def close(self):
        self.greenlet.kill()
        for minion in self.minions:
            minion.close()


@pytest.fixture
def rig():
    made = []

    def make(*minions, **options):
        made.append(Rig(*minions, **options))
        return made[-1]

    yield make
    for one in made:
        one.close()


def looks_of(minion):
    return [(kind, body.get("last_seen")) for kind, body in minion.calls]


def test_a_job_runs_step_by_step_and_its_ends_are_taken(rig):
    minion = TaskMinion(task_seconds=0.05)
    here = rig(minion)
    here.submit(Step(3), Step(2, after=(0,)))
    here.wait_status(JobStatus.SUCCEEDED)
    assert [name.split(".")[2] for name, _, _ in minion.starts] == list("00011")
    assert wait_until(lambda: ("look", 5) in looks_of(minion), SECONDS)


@pytest.mark.parametrize("fault", ["late", "lost", "dropped"])
@pytest.mark.parametrize("orders", [1, 2])
def test_a_start_without_an_answer_is_settled_before_the_next_run(rig, fault, orders):
    minion = TaskMinion(task_seconds=0.4)
    minion.faults.starts += [fault] * orders
    minion.faults.late_seconds = 1.6
    here = rig(minion)
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED)
    gevent.sleep(1.0)
    done = [row for row in minion.starts if row[0] == f"{JOB}.0.0.0"]
    assert len(done) == 1, done


def test_an_end_is_seen_soon_though_the_answer_of_a_look_is_lost(rig):
    minion = TaskMinion(task_seconds=0.3)
    here = rig(minion, terms=replace(TERMS, poll_wait_ms=2000))
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    assert wait_until(lambda: here.dispatcher.session.agent_by_minion, SECONDS)
    agent = here.dispatcher.session.agent_by_minion[minion.life]
    assert wait_until(lambda: not agent.status_poller.is_needed(), SECONDS)
    minion.faults.looks.append("dropped")
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED, 2.2)
    assert not minion.faults.looks


def test_a_minion_that_answers_again_gets_runs_at_once(rig):
    minion = TaskMinion(task_seconds=0.05)
    here = rig(minion)
    minion.faults.starts.append("lost")
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED)
    agent = here.dispatcher.session.agent_by_minion[minion.life]
    assert agent.may_start(lease_seconds())


def test_a_start_that_may_still_come_bars_a_run_elsewhere(rig):
    first, second = TaskMinion(task_seconds=1.0), TaskMinion(task_seconds=1.0)
    for minion in (first, second):
        minion.faults.starts.append("late")
        minion.faults.late_seconds = 1.8
    here = rig(first, second)
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED, 20)
    assert len(first.starts) + len(second.starts) == 1


def test_a_run_whose_stop_gets_no_answer_is_not_started_elsewhere(rig):
    first, second = TaskMinion(), TaskMinion()
    here = rig(first, second)
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.starts or second.starts, SECONDS)
    busy, free = (first, second) if first.starts else (second, first)
    busy.faults.stops += ["dropped"] * 2
    run = here.log.table.run_by_task[task()]
    assert wait_until(lambda: here.dispatcher.session.watch.is_at_work(task()), SECONDS)
    here.dispatcher.session.watch.evacuate(run, "test")
    here.dispatcher.session.agent_by_minion[busy.life].pause_placement(60)
    assert wait_until(lambda: any(kind == "stop" for kind, _ in busy.calls), SECONDS)
    assert not free.starts
    assert wait_until(lambda: free.starts, SECONDS)
    assert not busy.running


def test_a_cancelled_job_is_stopped_everywhere(rig):
    minions = [TaskMinion(), TaskMinion()]
    here = rig(*minions)
    here.submit(Step(6))
    assert wait_until(lambda: sum(len(one.running) for one in minions) == 6, SECONDS)
    here.cancel()
    assert wait_until(lambda: not any(one.running for one in minions), SECONDS)
    assert wait_until(lambda: not here.log.table.run_by_task, SECONDS)


def test_a_new_leader_adopts_what_runs(rig):
    minion = TaskMinion()
    here = rig(minion)
    here.submit(Step(3, lasts=True))
    assert wait_until(lambda: len(minion.running) == 3, SECONDS)
    here.lead_again()
    assert wait_until(lambda: here.dispatcher.session.watch.is_at_work(task()), SECONDS)
    assert len(minion.starts) == 3
    assert minion.fence == 2
    assert not any(kind == "stop" for kind, _ in minion.calls)


def test_a_leadership_that_is_over_leaves_nothing_at_work(rig):
    minion = TaskMinion()
    here = rig(minion)
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: minion.running, SECONDS)
    agent = here.dispatcher.session.agent_by_minion[minion.life]
    here.lead_again()
    assert wait_until(lambda: all(one.dead for one in agent.greenlets), SECONDS)


def test_a_new_leader_does_not_trust_a_run_that_never_arrived(rig):
    minion = TaskMinion(task_seconds=0.05)
    here = rig(minion)
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    here.replica.is_leader = False
    assert wait_until(lambda: here.dispatcher.session is None, SECONDS)
    here.log.submit(Step(1))
    here.log.start(task(), minion=minion.life)
    here.replica.core.term = 5
    here.replica.is_leader = True
    here.wait_status(JobStatus.SUCCEEDED)
    assert [run for _, run, _ in minion.starts] == [2]
    assert ("stop", 1) in [(kind, body.get("run")) for kind, body in minion.calls]


def test_an_end_of_a_gang_after_its_round_was_closed_is_taken(rig):
    quick, slow = TaskMinion(task_seconds=0.05), TaskMinion(task_seconds=0.4)
    here = rig(quick, slow)
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    first = here.dispatcher.session
    gang = Step(2, estimate_ms=50, gang=True, max_per_minion=1)
    here.log.submit(gang, times=2, first_due_ms=0, interval_ms=10**15)
    here.replica.wake()
    assert wait_until(lambda: here.log.table.job_by_id[JOB].rounds_done, SECONDS)
    assert wait_until(lambda: not here.log.table.run_by_task, SECONDS)
    assert here.dispatcher.session is first


class BrokenOnce(HttpMinion):
    """A client that fails once, as a fault of the program would."""

    breaks = []

    def look(self, order, seconds):
        if self.breaks:
            raise self.breaks.pop()
        return super().look(order, seconds)


def test_an_agent_that_fails_leaves_no_minion_without_one(rig):
    minion = TaskMinion(task_seconds=0.05)
    here = rig(minion, connect=BrokenOnce)
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    BrokenOnce.breaks = [KeyError("planted")]
    here.submit(Step(2))
    assert wait_until(lambda: not BrokenOnce.breaks, SECONDS)
    here.wait_status(JobStatus.SUCCEEDED)


def test_another_life_at_the_address_frees_the_tasks(rig):
    first, second = TaskMinion(), TaskMinion()
    here = rig(first)
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.running, SECONDS)
    first.restart()
    here.minions = (first, second)
    here.register(1, second)
    here.replica.wake()
    here.dispatcher.session.woken.set()
    assert wait_until(lambda: second.running, SECONDS)


def test_a_silent_minion_keeps_its_tasks_until_its_lease_is_over(rig):
    first, second = TaskMinion(), TaskMinion()
    here = rig(first, terms=replace(TERMS, lease_seconds=4.0))
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.running, SECONDS)
    first.faults.looks += ["dropped"] * 50
    here.minions = (first, second)
    here.register(1, second)
    here.replica.wake()
    assert wait_until(lambda: second.running, 20)
    assert first.clock_ms() > first.lease_until


def test_a_task_on_a_silent_minion_is_not_taken_to_be_at_work(rig):
    minion = TaskMinion()
    here = rig(minion, terms=replace(TERMS, lease_seconds=60.0))
    here.submit(Step(1, lasts=True))
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    watch = here.dispatcher.session.watch
    assert wait_until(lambda: watch.is_at_work(task()), SECONDS)
    minion.faults.looks += ["dropped"] * 50
    assert wait_until(lambda: not watch.is_at_work(task()), SECONDS)
    minion.faults.looks.clear()
    assert wait_until(lambda: watch.is_at_work(task()), SECONDS)
    assert len(minion.starts) == 1


def test_a_leader_that_is_not_confirmed_gives_no_orders(rig):
    minion = TaskMinion()
    here = rig(minion)
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    session = here.dispatcher.session
    session.confirmed_at = -1e9
    here.replica.confirm_leadership = lambda: gevent.sleep(60)
    assert wait_until(lambda: not session.may_order(), SECONDS)
    here.submit(Step(1))
    gevent.sleep(0.5)
    assert not minion.starts


def test_nothing_is_started_on_a_minion_that_drains(rig):
    minion = TaskMinion()
    here = rig(minion)
    record = make_minion(0, id=minion.life, address=minion.address, is_draining=True)
    here.log.send(commands.RegisterMinion(record, 0))
    here.submit(Step(1))
    gevent.sleep(0.5)
    assert not minion.starts


def test_a_refused_start_costs_no_attempt(rig):
    minion = TaskMinion(task_seconds=0.05)
    minion.faults.starts += [503, 429, 503]
    here = rig(minion)
    here.submit(Step(1))
    here.wait_status(JobStatus.SUCCEEDED)
    assert here.log.table.job_by_id[JOB].status is JobStatus.SUCCEEDED
    assert [run for _, run, _ in minion.starts] == [4]


def test_a_job_that_always_fails_ends_after_its_attempts(rig):
    minion = TaskMinion()
    here = rig(minion)
    here.submit(Step(1))
    for number in (1, 2):
        assert wait_until(lambda n=number: len(minion.starts) == n, SECONDS)
        name, run, _ = minion.starts[-1]
        minion.finish(minion.life, name, run, "failed")
    here.wait_status(JobStatus.FAILED)
    assert len(minion.starts) == 2


def test_a_minion_on_which_several_jobs_fail_is_set_aside(rig):
    sick, sound = TaskMinion(), TaskMinion()
    here = rig(sick, sound)
    assert wait_until(lambda: here.dispatcher.session is not None, SECONDS)
    assert wait_until(lambda: here.dispatcher.session.agent_by_minion, SECONDS)
    health = here.dispatcher.session.agent_by_minion[sick.life].health
    for number in range(3):
        health.note_trouble(f"job-{number}", lease_seconds())
    here.submit(Step(3))
    assert wait_until(lambda: len(sound.running) == 3, SECONDS)
    assert not sick.starts


def test_a_task_that_stands_still_goes_on_elsewhere(rig, monkeypatch):
    monkeypatch.setattr(health_module, "STALL_SECONDS", 1.2)
    first, second = TaskMinion(), TaskMinion()
    here = rig(first, second)
    here.submit(Step(1))
    assert wait_until(lambda: first.starts or second.starts, SECONDS)
    busy, free = (first, second) if first.starts else (second, first)
    here.dispatcher.session.agent_by_minion[busy.life].pause_placement(60)
    assert wait_until(lambda: free.starts, SECONDS)
    assert not busy.running


def test_lasting_tasks_leave_a_minion_that_drains(rig):
    first, second = TaskMinion(), TaskMinion()
    here = rig(first, second)
    here.submit(Step(1, lasts=True), Step(1))
    assert wait_until(lambda: len(first.running) + len(second.running) == 2, SECONDS)
    busy, free = (first, second) if first.starts else (second, first)
    number = here.minions.index(busy)
    record = make_minion(number, id=busy.life, address=busy.address, is_draining=True)
    here.log.send(commands.RegisterMinion(record, 0))
    here.replica.wake()
    assert wait_until(lambda: free.starts, SECONDS)
    assert [name for name, _, _ in free.starts] == [f"{JOB}.0.0.0"]
    assert list(busy.running) == [f"{JOB}.0.1.0"]


def test_a_leader_that_is_not_confirmed_waits_with_its_orders(rig):
    made = rig(TaskMinion(task_seconds=0.1))
    assert wait_until(lambda: made.dispatcher.session is not None, SECONDS)
    session = made.dispatcher.session
    asked = []
    may_order = session.may_order

    def refuse():
        asked.append(lease_seconds())
        return False

    session.may_order = refuse
    made.log.submit(Step(2))
    made.log.start(task(), minion=made.minions[0].life)
    made.replica.wake()
    gevent.sleep(0.5)
    assert len(asked) < 100
    assert not made.minions[0].starts
    session.may_order = may_order
    made.wait_status(JobStatus.SUCCEEDED)
