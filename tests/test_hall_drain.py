"""Long-running tasks leave a cordoned hall one by one, only for room elsewhere."""

import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.runview import RunView, RunViewStatus
from hingepitch.jobs.explain import explain_queued_job
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from hingepitch.jobs.watch import UPKEEP_REASON
from standin.taskminion import TaskMinion
from tests.room_log import RoomLog
from tests.test_cordoned_pools import cordon
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_rules import JOB, make_minion, task
from tests.test_upkeep import Platform, begin_wave


class HallHarness(DispatchHarness):
    """A dispatcher with two minions in each of the halls `h0` and `h1`."""

    def __init__(self):
        super().__init__(*(TaskMinion() for _ in range(4)))

    def register(self, number, minion):
        record = make_minion(
            number,
            id=minion.life,
            address=minion.address,
            cpu_millicores=16_000,
            hall=f"h{number // 2}",
        )
        self.log.send(commands.RegisterMinion(record, 0))

    def cordon(self, hall, is_cordoned=True):
        assert cordon(self.log, hall, is_cordoned) == ""
        self.replica.wake()

    def running(self, hall):
        """Return the number of runs at work on the minions of a hall."""
        number = int(hall[1:])
        return sum(len(one.running) for one in self.minions[2 * number :][:2])


@pytest.fixture
def harness():
    made = HallHarness()
    assert wait_until(lambda: made.dispatcher.session is not None, SECONDS)
    yield made
    made.close()


def start_lasting(harness, count, **fields):
    """Start a step of long-running tasks and wait until all are at work."""
    harness.submit(Step(count, lasts=True, **fields))
    watch = harness.dispatcher.session.watch
    tasks = [task(index=index) for index in range(count)]
    assert wait_until(lambda: all(map(watch.is_at_work, tasks)), SECONDS)
    assert wait_until(watch.is_settled, SECONDS)
    return tasks


# Guards against tasks that stay in a hall that goes away, against more of them away at
# once than their step allows, and against a task that moves to another cordoned minion.
def test_tasks_leave_a_cordoned_hall_one_by_one(harness):
    tasks = start_lasting(harness, 4, max_away=1, max_per_minion=2)
    watch = harness.dispatcher.session.watch
    evacuate = watch.evacuate
    away = []

    def note(run, reason):
        away.append(sum(not watch.is_at_work(one) for one in tasks))
        evacuate(run, reason)

    watch.evacuate = note
    before = [len(one.starts) for one in harness.minions[:2]]
    moving = harness.running("h0")
    assert moving
    harness.cordon("h0")
    assert wait_until(lambda: harness.running("h1") == 4, 30)
    assert away == [0] * moving
    assert [len(one.starts) for one in harness.minions[:2]] == before


# Guards against a stop that is sent although the hall is used again.
def test_a_stop_that_was_not_sent_yet_is_withdrawn_with_the_cordon(harness):
    start_lasting(harness, 1)
    session = harness.dispatcher.session
    (run,) = harness.log.table.run_by_task.values()
    hall = harness.log.table.minion_by_id[run.minion].hall
    agent = session.agent_by_minion[run.minion]
    while agent.orders.acquire(blocking=False):
        pass
    harness.cordon(hall)
    assert wait_until(lambda: session.watch.evacuated, SECONDS)
    harness.cordon(hall, is_cordoned=False)
    for _ in range(2):
        agent.orders.release()
    assert wait_until(lambda: not session.watch.evacuated, SECONDS)
    assert wait_until(lambda: not agent.view_by_task[task()].is_ordering, SECONDS)
    assert session.watch.is_at_work(task())
    assert harness.log.table.run_by_task[task()] is run


# Guards against a start in a cordoned hall, and against a job that fails, or is not
# explained, or goes on waiting, as all halls are cordoned for a while.
def test_while_all_halls_are_cordoned_work_waits_and_nothing_fails(harness):
    for hall in ("h0", "h1"):
        harness.cordon(hall)
    harness.submit(Step(3), Step(1, lasts=False, after=(0,)))
    passes = []
    planner = harness.dispatcher.session.planner
    run_pass = planner.run_pass
    planner.run_pass = lambda: (passes.append(0), run_pass())
    assert wait_until(lambda: len(passes) > 10, SECONDS)
    assert not any(one.starts for one in harness.minions)
    assert harness.log.status is JobStatus.PENDING
    (reason,) = explain_queued_job(harness.log.table, JOB)["obstacles"]
    assert "4 of them in cordoned halls (h0, h1)" in reason
    harness.cordon("h1", is_cordoned=False)
    assert wait_until(lambda: harness.running("h1") == 3, SECONDS)
    assert not harness.running("h0")


# Guards against a fault in the drain of a hall that ends the session, and with it all
# starts.
def test_a_drain_that_fails_ends_no_session(harness):
    session = harness.dispatcher.session
    calls = []

    def fail():
        calls.append(0)
        raise KeyError("a minion that was removed")

    session.cordon_drain.run_pass = fail
    harness.submit(Step(2))
    assert wait_until(lambda: sum(len(one.starts) for one in harness.minions), SECONDS)
    assert wait_until(lambda: len(calls) > 3, SECONDS)
    assert harness.dispatcher.session is session
    assert not session.is_over


class HallPlatform(Platform):
    """The stub of the platform, which brings VMs back in their own halls."""

    def bring_back(self, vm):
        number = int(vm.removeprefix("vm-"))
        minion = self.harness.minions[number]
        minion.restart()
        self.down.discard(vm)
        self.harness.register(number, minion)
        self.harness.replica.wake()
        self.harness.dispatcher.session.agents.reconcile()
        self.harness.dispatcher.note_heartbeat(minion.life, minion.clock_ms())


# Guards against a wave and a cordon that together exceed the budget of a step or the
# wave's `max_down`, or that block each other.
def test_a_wave_that_meets_a_cordon_ends_within_all_budgets(harness):
    tasks = start_lasting(harness, 4, max_away=1)
    watch = harness.dispatcher.session.watch
    evacuate = watch.evacuate
    away = []

    def note(run, reason):
        away.append(sum(not watch.is_at_work(one) for one in tasks))
        evacuate(run, reason)

    watch.evacuate = note
    cordoned, other = ("h0", "h1") if harness.running("h0") else ("h1", "h0")
    harness.cordon(cordoned)
    platform = HallPlatform(harness)
    wave = begin_wave(harness, platform, max_down=1, seconds=60)
    assert wait_until(lambda: wave.is_done, 40)
    assert platform.most_down == 1
    assert away and max(away) == 0
    assert wait_until(lambda: harness.running(other) == 4, SECONDS)
    assert not harness.running(cordoned)


# Guards against tasks that are stopped and then wait for a VM, since more of them left
# than there is room for, in one pass or in several.
def test_no_more_tasks_leave_than_there_is_room_for():
    log = RoomLog()
    log.place("i-0", "i-0", "i-1", "i-1", "i-2", "i-3", "i-3")
    cordon(log, "h0")
    assert len(log.evacuated()) == 1
    assert len(log.evacuated()) == 1
    (key,) = log.watch.evacuated
    log.end(key[0])
    assert len(log.evacuated()) == 1, "its task waits and needs the room"
    log.send(commands.RegisterMinion(make_minion(8, hall="h2"), 0))
    assert len(log.evacuated()) == 3


# Guards against a task that can run nowhere else and is stopped all the same.
@pytest.mark.parametrize(
    "fields",
    [
        {"cpu_millicores": 4000},
        {"required_label": "other"},
        {"max_per_minion": 1},
    ],
)
def test_a_task_without_room_elsewhere_stays(fields):
    log = RoomLog()
    for life, hall in (("i-0", "h0"), ("i-1", "h0")):
        labels = ("a", "other")
        minion = make_minion(int(life[2:]), hall=hall, labels=labels)
        log.send(commands.RegisterMinion(minion, 0))
    fields = {"cpu_millicores": 2000, **fields}
    if "max_per_minion" in fields:
        log.place("i-0", "i-2", "i-3", **fields)
    else:
        log.place("i-0", **fields)
        other = "00000000000000bb"
        log.submit(Step(2, 1000), job=other)
        log.start(task(job=other), minion="i-2")
        log.start(task(job=other, index=1), minion="i-3")
    cordon(log, "h0")
    assert not log.evacuated()


# Guards against a step with more tasks away than its budget allows.
def test_a_task_stays_while_the_budget_of_its_step_is_spent():
    log = RoomLog()
    log.place("i-0", max_away=1)
    log.is_within_budget = False
    cordon(log, "h0")
    assert not log.evacuated()
    log.is_within_budget = True
    assert log.evacuated() == [0]


# Guards against a stop of tasks that end by themselves, of tasks in other halls and of
# any task without a cordon; and against the wait for a minion that does not answer.
def test_only_long_running_tasks_of_cordoned_halls_are_drained():
    log = RoomLog()
    log.place("i-0", "i-2")
    other = "00000000000000bb"
    log.submit(Step(1, 1000), job=other)
    log.start(task(job=other), minion="i-1")
    assert not log.evacuated()
    cordon(log, "h0")
    agent = log.drain.session.agent_by_minion["i-0"]
    agent.is_unresponsive = True
    assert not log.evacuated()
    agent.is_unresponsive = False
    assert log.evacuated() == [0]


# Guards against a gang whose tasks end with the one that is stopped and cannot all be
# started again.
def test_a_gang_leaves_only_if_there_is_room_for_all_of_it():
    log = RoomLog()
    log.submit(Step(3, 2000, lasts=True, gang=True))
    keys = [task(index=index) for index in range(3)]
    starts = tuple(
        commands.Start(key, life)
        for key, life in zip(keys, ("i-0", "i-2", "i-3"), strict=True)
    )
    log.send(commands.StartRuns((), (starts,), 0))
    assert len(log.table.run_by_task) == 3
    cordon(log, "h0")
    assert not log.evacuated()
    log.send(commands.RegisterMinion(make_minion(8, hall="h2"), 0))
    assert log.evacuated() == [0]


# Guards against a run that its minion stops, as it has the order, while the leader
# takes it for one that goes on.
@pytest.mark.parametrize("is_stop_sent", [True, False])
def test_a_stop_is_withdrawn_only_before_it_was_sent(is_stop_sent):
    log = RoomLog()
    log.place("i-0")
    cordon(log, "h0")
    assert log.evacuated() == [0]
    run = log.table.run_by_task[task()]
    view = RunView(run, RunViewStatus.RUNNING, is_stop_sent=is_stop_sent)
    log.drain.session.agent_by_minion["i-0"].view_by_task[task()] = view
    assert not log.watch.exceeds_budget(run)
    cordon(log, "h0", is_cordoned=False)
    assert log.watch.exceeds_budget(run) is not is_stop_sent


# Guards against a wave whose stop of a run is withdrawn for good, as a cordon that is
# over had the run leave before.
def test_a_run_may_leave_for_a_wave_after_its_cordon_is_over():
    log = RoomLog()
    log.place("i-0")
    cordon(log, "h0")
    assert log.evacuated() == [0]
    run = log.table.run_by_task[task()]
    view = RunView(run, RunViewStatus.RUNNING)
    log.drain.session.agent_by_minion["i-0"].view_by_task[task()] = view
    cordon(log, "h0", is_cordoned=False)
    assert log.watch.exceeds_budget(run)
    log.watch.withdraw_evacuation(run)
    log.watch.evacuate(run, UPKEEP_REASON)
    assert not log.watch.exceeds_budget(run)


@pytest.fixture
def evacuated():
    """A `RoomLog` and its only run, which is evacuated; its stop was not sent."""
    log = RoomLog()
    log.place("i-0", max_away=1)
    cordon(log, "h0")
    assert log.evacuated() == [0]
    run = log.table.run_by_task[task()]
    view = RunView(run, RunViewStatus.RUNNING)
    log.drain.session.agent_by_minion["i-0"].view_by_task[task()] = view
    return log, run


# Guards against the end of the session when a job is cancelled after an evacuation of
# its run was withdrawn for the budget and the hall was uncordoned.
def test_an_evacuation_that_was_withdrawn_is_not_withdrawn_again(evacuated):
    log, run = evacuated
    log.is_within_budget = False
    assert log.watch.exceeds_budget(run)
    log.watch.withdraw_evacuation(run)
    assert not log.drain.drained
    cordon(log, "h0", is_cordoned=False)
    log.send(commands.CancelJob(JOB, 0))
    assert not log.watch.exceeds_budget(run)
    log.watch.withdraw_evacuation(run)


# Guards against a run of a cancelled job that goes on, since its stop passes for one
# that only its cordon asked for; and against a run that another reason has leave.
@pytest.mark.parametrize("is_cancelled", [True, False])
def test_only_the_evacuation_for_the_cordon_is_withdrawn_with_it(
    evacuated, is_cancelled
):
    log, run = evacuated
    cordon(log, "h0", is_cordoned=False)
    if is_cancelled:
        log.send(commands.CancelJob(JOB, 0))
    else:
        log.watch.evacuate(run, "the minion is draining")
    assert not log.watch.exceeds_budget(run)


# Guards against entries of ended runs that stay while no hall is cordoned.
def test_ended_runs_are_forgotten_without_a_cordon(evacuated):
    log, run = evacuated
    cordon(log, "h0", is_cordoned=False)
    log.end(run.task)
    log.drain.run_pass()
    assert not log.drain.drained


# Guards against maintenance that leaves idle VMs of a cordoned hall aside while pools
# are short of VMs, although no waiting task could use them.
@pytest.mark.parametrize("max_down, most_down", [(2, 2), (1, 1)])
def test_idle_vms_of_a_cordoned_hall_are_not_held_back_by_a_shortage(
    harness, max_down, most_down
):
    session = harness.dispatcher.session
    session.mover.has_shortage = True
    harness.cordon("h1")
    platform = HallPlatform(harness)
    wave = begin_wave(harness, platform, max_down=max_down, seconds=30)
    assert wait_until(lambda: len(platform.calls) >= 2, SECONDS)
    assert {vm for vm, _ in platform.calls[:2]} == {"vm-2", "vm-3"}
    assert platform.most_down == most_down
    assert wait_until(lambda: wave.is_done, 20)
    assert platform.most_down == most_down
