"""The dispatcher with stub minions that reply late or not at all."""

from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest
from gevent.event import Event

from adapter.minion import HttpMinion
from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.crashes import health as health_module
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
#: Longest wait for a condition, in seconds.
SECONDS = 8


class SingleReplica:
    """A group of one replica, which commits each proposal at once."""

    def __init__(self, log):
        self.log = log
        self.is_leader = True
        self.core = SimpleNamespace(term=1, role="leader")
        self.changed = Event()

    @property
    def state(self):
        return self.log.state

    @property
    def applied_index(self):
        return self.log.index

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


class DispatchHarness:
    """A dispatcher with its job log and stub minions."""

    def __init__(self, *minions, terms=TERMS, connect=HttpMinion):
        self.log = Log()
        self.log.send(commands.PutQueues(make_config()))
        self.minions = minions
        self.lives = {}
        for number, minion in enumerate(minions):
            self.register(number, minion)
        self.replica = SingleReplica(self.log)
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

    def restart_leadership(self):
        """End the leadership and begin one of the next term."""
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
def make_harness():
    harnesses = []

    def make(*minions, **options):
        harnesses.append(DispatchHarness(*minions, **options))
        return harnesses[-1]

    yield make
    for one in harnesses:
        one.close()


def polls_of(minion):
    return [(kind, body.get("last_seen")) for kind, body in minion.calls]


def test_a_job_runs_step_by_step_and_its_ends_are_recorded(make_harness):
    minion = TaskMinion(task_seconds=0.05)
    harness = make_harness(minion)
    harness.submit(Step(3), Step(2, after=(0,)))
    harness.wait_status(JobStatus.SUCCEEDED)
    assert [name.split(".")[2] for name, _, _ in minion.starts] == list("00011")
    assert wait_until(lambda: ("look", 5) in polls_of(minion), SECONDS)


@pytest.mark.parametrize("fault", ["late", "lost", "dropped"])
@pytest.mark.parametrize("orders", [1, 2])
def test_a_start_without_an_answer_is_settled_before_the_next_run(
    make_harness, fault, orders
):
    minion = TaskMinion(task_seconds=0.4)
    minion.faults.starts += [fault] * orders
    minion.faults.late_seconds = 1.6
    harness = make_harness(minion)
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED)
    gevent.sleep(1.0)
    done = [row for row in minion.starts if row[0] == f"{JOB}.0.0.0"]
    assert len(done) == 1, done


def test_an_end_is_seen_soon_after_the_reply_to_a_poll_was_lost(make_harness):
    minion = TaskMinion(task_seconds=0.3)
    harness = make_harness(minion, terms=replace(TERMS, poll_wait_ms=2000))
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    assert wait_until(lambda: harness.dispatcher.session.agent_by_minion, SECONDS)
    agent = harness.dispatcher.session.agent_by_minion[minion.life]
    assert wait_until(lambda: not agent.status_poller.is_needed(), SECONDS)
    minion.faults.looks.append("dropped")
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED, 2.2)
    assert not minion.faults.looks


def test_a_minion_that_answers_again_gets_runs_at_once(make_harness):
    minion = TaskMinion(task_seconds=0.05)
    harness = make_harness(minion)
    minion.faults.starts.append("lost")
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED)
    agent = harness.dispatcher.session.agent_by_minion[minion.life]
    assert agent.may_start(lease_seconds())


def test_a_start_that_may_still_arrive_prevents_a_run_elsewhere(make_harness):
    first, second = TaskMinion(task_seconds=1.0), TaskMinion(task_seconds=1.0)
    for minion in (first, second):
        minion.faults.starts.append("late")
        minion.faults.late_seconds = 1.8
    harness = make_harness(first, second)
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED, 20)
    assert len(first.starts) + len(second.starts) == 1


def test_a_run_whose_stop_gets_no_answer_is_not_started_elsewhere(make_harness):
    first, second = TaskMinion(), TaskMinion()
    harness = make_harness(first, second)
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.starts or second.starts, SECONDS)
    busy, free = (first, second) if first.starts else (second, first)
    busy.faults.stops += ["dropped"] * 2
    run = harness.log.table.run_by_task[task()]
    assert wait_until(
        lambda: harness.dispatcher.session.watch.is_at_work(task()), SECONDS
    )
    harness.dispatcher.session.watch.evacuate(run, "test")
    harness.dispatcher.session.agent_by_minion[busy.life].pause_placement(60)
    assert wait_until(lambda: any(kind == "stop" for kind, _ in busy.calls), SECONDS)
    assert not free.starts
    assert wait_until(lambda: free.starts, SECONDS)
    assert not busy.running


def test_a_cancelled_job_is_stopped_everywhere(make_harness):
    minions = [TaskMinion(), TaskMinion()]
    harness = make_harness(*minions)
    harness.submit(Step(6))
    assert wait_until(lambda: sum(len(one.running) for one in minions) == 6, SECONDS)
    harness.cancel()
    assert wait_until(lambda: not any(one.running for one in minions), SECONDS)
    assert wait_until(lambda: not harness.log.table.run_by_task, SECONDS)


def test_a_new_leader_adopts_the_runs_in_progress(make_harness):
    minion = TaskMinion()
    harness = make_harness(minion)
    harness.submit(Step(3, lasts=True))
    assert wait_until(lambda: len(minion.running) == 3, SECONDS)
    harness.restart_leadership()
    assert wait_until(
        lambda: harness.dispatcher.session.watch.is_at_work(task()), SECONDS
    )
    assert len(minion.starts) == 3
    assert minion.fence == 2
    assert not any(kind == "stop" for kind, _ in minion.calls)


def test_the_end_of_a_leadership_ends_the_greenlets_of_its_agents(make_harness):
    minion = TaskMinion()
    harness = make_harness(minion)
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: minion.running, SECONDS)
    agent = harness.dispatcher.session.agent_by_minion[minion.life]
    harness.restart_leadership()
    assert wait_until(lambda: all(one.dead for one in agent.greenlets), SECONDS)


def test_a_new_leader_does_not_trust_a_run_that_never_arrived(make_harness):
    minion = TaskMinion(task_seconds=0.05)
    harness = make_harness(minion)
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    harness.replica.is_leader = False
    assert wait_until(lambda: harness.dispatcher.session is None, SECONDS)
    harness.log.submit(Step(1))
    harness.log.start(task(), minion=minion.life)
    harness.replica.core.term = 5
    harness.replica.is_leader = True
    harness.wait_status(JobStatus.SUCCEEDED)
    assert [run for _, run, _ in minion.starts] == [2]
    assert ("stop", 1) in [(kind, body.get("run")) for kind, body in minion.calls]


def test_the_end_of_a_gang_member_after_its_round_was_closed_is_recorded(make_harness):
    quick, slow = TaskMinion(task_seconds=0.05), TaskMinion(task_seconds=0.4)
    harness = make_harness(quick, slow)
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    first = harness.dispatcher.session
    gang = Step(2, estimate_ms=50, gang=True, max_per_minion=1)
    harness.log.submit(gang, times=2, first_due_ms=0, interval_ms=10**15)
    harness.replica.wake()
    assert wait_until(lambda: harness.log.table.job_by_id[JOB].rounds_done, SECONDS)
    assert wait_until(lambda: not harness.log.table.run_by_task, SECONDS)
    assert harness.dispatcher.session is first


class FailingOnceClient(HttpMinion):
    """A client whose next poll raises the exception in `errors`."""

    errors = []

    def look(self, order, seconds):
        if self.errors:
            raise self.errors.pop()
        return super().look(order, seconds)


def test_a_minion_whose_agent_failed_gets_another_agent(make_harness):
    minion = TaskMinion(task_seconds=0.05)
    harness = make_harness(minion, connect=FailingOnceClient)
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    FailingOnceClient.errors = [KeyError("planted")]
    harness.submit(Step(2))
    assert wait_until(lambda: not FailingOnceClient.errors, SECONDS)
    harness.wait_status(JobStatus.SUCCEEDED)


def test_another_incarnation_at_the_address_frees_the_tasks(make_harness):
    first, second = TaskMinion(), TaskMinion()
    harness = make_harness(first)
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.running, SECONDS)
    first.restart()
    harness.minions = (first, second)
    harness.register(1, second)
    harness.replica.wake()
    harness.dispatcher.session.woken.set()
    assert wait_until(lambda: second.running, SECONDS)


def test_an_unresponsive_minion_keeps_its_tasks_until_its_lease_expires(make_harness):
    first, second = TaskMinion(), TaskMinion()
    harness = make_harness(first, terms=replace(TERMS, lease_seconds=4.0))
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: first.running, SECONDS)
    first.faults.looks += ["dropped"] * 50
    harness.minions = (first, second)
    harness.register(1, second)
    harness.replica.wake()
    assert wait_until(lambda: second.running, 20)
    assert first.clock_ms() > first.lease_until


def test_a_task_on_a_silent_minion_is_not_counted_as_at_work(make_harness):
    minion = TaskMinion()
    harness = make_harness(minion, terms=replace(TERMS, lease_seconds=60.0))
    harness.submit(Step(1, lasts=True))
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    watch = harness.dispatcher.session.watch
    assert wait_until(lambda: watch.is_at_work(task()), SECONDS)
    minion.faults.looks += ["dropped"] * 50
    assert wait_until(lambda: not watch.is_at_work(task()), SECONDS)
    minion.faults.looks.clear()
    assert wait_until(lambda: watch.is_at_work(task()), SECONDS)
    assert len(minion.starts) == 1


def test_a_leader_that_is_not_confirmed_gives_no_orders(make_harness):
    minion = TaskMinion()
    harness = make_harness(minion)
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    session = harness.dispatcher.session
    session.confirmed_at = -1e9
    harness.replica.confirm_leadership = lambda: gevent.sleep(60)
    assert wait_until(lambda: not session.may_order(), SECONDS)
    harness.submit(Step(1))
    gevent.sleep(0.5)
    assert not minion.starts


def test_nothing_is_started_on_a_minion_that_drains(make_harness):
    minion = TaskMinion()
    harness = make_harness(minion)
    record = make_minion(0, id=minion.life, address=minion.address, is_draining=True)
    harness.log.send(commands.RegisterMinion(record, 0))
    harness.submit(Step(1))
    gevent.sleep(0.5)
    assert not minion.starts


def test_a_refused_start_costs_no_attempt(make_harness):
    minion = TaskMinion(task_seconds=0.05)
    minion.faults.starts += [503, 429, 503]
    harness = make_harness(minion)
    harness.submit(Step(1))
    harness.wait_status(JobStatus.SUCCEEDED)
    assert harness.log.table.job_by_id[JOB].status is JobStatus.SUCCEEDED
    assert [run for _, run, _ in minion.starts] == [4]


def test_a_job_that_always_fails_ends_after_its_attempts(make_harness):
    minion = TaskMinion()
    harness = make_harness(minion)
    harness.submit(Step(1))
    for number in (1, 2):
        assert wait_until(lambda n=number: len(minion.starts) == n, SECONDS)
        name, run, _ = minion.starts[-1]
        minion.finish(minion.life, name, run, "failed")
    harness.wait_status(JobStatus.FAILED)
    assert len(minion.starts) == 2


def test_a_minion_on_which_several_jobs_fail_gets_no_runs(make_harness):
    failing, healthy = TaskMinion(), TaskMinion()
    harness = make_harness(failing, healthy)
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    assert wait_until(lambda: harness.dispatcher.session.agent_by_minion, SECONDS)
    health = harness.dispatcher.session.agent_by_minion[failing.life].health
    for number in range(3):
        health.note_trouble(f"job-{number}", lease_seconds())
    harness.submit(Step(3))
    assert wait_until(lambda: len(healthy.running) == 3, SECONDS)
    assert not failing.starts


def test_a_stalled_task_is_restarted_elsewhere(make_harness, monkeypatch):
    monkeypatch.setattr(health_module, "STALL_SECONDS", 1.2)
    first, second = TaskMinion(), TaskMinion()
    harness = make_harness(first, second)
    harness.submit(Step(1))
    assert wait_until(lambda: first.starts or second.starts, SECONDS)
    busy, free = (first, second) if first.starts else (second, first)
    harness.dispatcher.session.agent_by_minion[busy.life].pause_placement(60)
    assert wait_until(lambda: free.starts, SECONDS)
    assert not busy.running


def test_long_running_tasks_leave_a_draining_minion(make_harness):
    first, second = TaskMinion(), TaskMinion()
    harness = make_harness(first, second)
    harness.submit(Step(1, lasts=True), Step(1))
    assert wait_until(lambda: len(first.running) + len(second.running) == 2, SECONDS)
    busy, free = (first, second) if first.starts else (second, first)
    number = harness.minions.index(busy)
    record = make_minion(number, id=busy.life, address=busy.address, is_draining=True)
    harness.log.send(commands.RegisterMinion(record, 0))
    harness.replica.wake()
    assert wait_until(lambda: free.starts, SECONDS)
    assert [name for name, _, _ in free.starts] == [f"{JOB}.0.0.0"]
    assert list(busy.running) == [f"{JOB}.0.1.0"]


def test_a_leader_that_is_not_confirmed_waits_with_its_orders(make_harness):
    harness = make_harness(TaskMinion(task_seconds=0.1))
    assert wait_until(lambda: harness.dispatcher.session is not None, SECONDS)
    session = harness.dispatcher.session
    asked = []
    may_order = session.may_order

    def refuse():
        asked.append(lease_seconds())
        return False

    session.may_order = refuse
    harness.log.submit(Step(2))
    harness.log.start(task(), minion=harness.minions[0].life)
    harness.replica.wake()
    gevent.sleep(0.5)
    assert len(asked) < 100
    assert not harness.minions[0].starts
    session.may_order = may_order
    harness.wait_status(JobStatus.SUCCEEDED)
