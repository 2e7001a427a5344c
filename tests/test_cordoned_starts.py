"""No start is sent to a minion of a cordoned hall, nor sent again."""

import gevent
import pytest

from hingepitch.httpd import wait_until
from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.contact import Reply, ReplyKind
from hingepitch.jobs.agents.runview import RunViewStatus
from hingepitch.jobs.record import JobStatus
from hingepitch.jobs.spec import Step
from tests.memory_minion import MemoryMinion
from tests.test_dispatch import SECONDS, DispatchHarness
from tests.test_job_plan import make_log, plan
from tests.test_job_rules import JOB, make_minion, task


def set_cordon(log, is_cordoned, hall="h"):
    base = log.table.cordons.revision
    if is_cordoned:
        command = commands.CordonHall(hall, 0, base)
    else:
        command = commands.UncordonHall(hall, base)
    assert log.send(command) == ""


class Harness(DispatchHarness):
    """A dispatcher with minions in the hall `h`, or in the hall given for each."""

    def __init__(self, *minions, halls=()):
        self.halls = dict(enumerate(halls))
        by_life = {minion.life: minion for minion in minions}
        super().__init__(*minions, connect=lambda record: by_life[record.id])

    def register(self, number, minion):
        hall = self.halls.get(number, "h")
        record = make_minion(number, id=minion.life, hall=hall)
        self.log.send(commands.RegisterMinion(record, 0))

    def cordon(self, is_cordoned=True):
        set_cordon(self.log, is_cordoned)
        self.replica.wake()

    def session(self):
        assert wait_until(lambda: self.dispatcher.session, SECONDS)
        return self.dispatcher.session


@pytest.fixture
def make_harness():
    made = []

    def make(*minions, **options):
        made.append(Harness(*minions, **options))
        return made[-1]

    yield make
    for one in made:
        one.close()


def is_unrecorded(harness):
    return not harness.log.table.run_by_task


# Guards against tasks that are planned for a cordoned hall in each pass, where the
# log refuses them, instead of for another hall.
@pytest.mark.parametrize("step", [Step(4), Step(4, gang=True), Step(4, same_rack=True)])
def test_no_task_is_placed_in_a_cordoned_hall(step):
    log = make_log(make_minion(1), make_minion(2, hall="other", rack="r2"))
    log.submit(step)
    set_cordon(log, True)
    starts, gangs = plan(log)
    placed = [start for group in (starts, *gangs) for start in group]
    assert [start.minion for start in placed] == ["i-2"] * 4
    set_cordon(log, True, "other")
    assert plan(log) == ((), ())
    set_cordon(log, False)
    assert plan(log) != ((), ())


# Guards against changed decisions where no hall was ever cordoned, and where another
# hall is.
def test_without_a_cordon_of_its_hall_a_minion_is_used_as_before():
    log = make_log(make_minion(1), make_minion(2, hall="other"))
    log.submit(Step(9, cpu_millicores=500))
    before = plan(log)
    set_cordon(log, True, "empty")
    assert plan(log) == before


# Guards against the order of a run that was recorded before the cordon and waits.
def test_a_run_that_was_not_ordered_before_the_cordon_is_not_ordered(make_harness):
    minions = MemoryMinion(), MemoryMinion()
    harness = make_harness(*minions)
    agents = harness.session().agent_by_minion
    assert wait_until(lambda: len(agents) == 2, SECONDS)
    held = [agent.orders for agent in agents.values() for _ in range(2)]
    for orders in held:
        orders.acquire()
    harness.submit(Step(1))
    assert wait_until(lambda: task() in harness.log.table.run_by_task, SECONDS)
    harness.cordon()
    for orders in held:
        orders.release()
    assert wait_until(lambda: is_unrecorded(harness), SECONDS)
    assert not wait_until(lambda: any(one.orders for one in minions), 0.5)
    assert harness.log.table.job_by_id[JOB].is_open


# Guards against a repeated start that is sent although the hall is cordoned between the
# decision to repeat it and its own greenlet.
def test_a_repeated_start_is_not_sent_after_a_cordon_that_came_just_before(
    make_harness,
):
    minion = MemoryMinion(task_seconds=0.6)
    harness = make_harness(minion)
    agents = harness.session().agent_by_minion
    assert wait_until(lambda: agents, SECONDS)
    agent = agents[minion.life]
    may_repeat = agent.may_repeat
    answers = []

    def cordon_after(view):
        answers.append(may_repeat(view))
        if answers == [True]:
            harness.cordon()
        return answers[-1]

    agent.may_repeat = cordon_after
    minion.start_faults.append("lost")
    harness.submit(Step(1))
    assert wait_until(lambda: len(answers) == 2, SECONDS)
    assert answers == [True, False]
    assert wait_until(lambda: is_unrecorded(harness), SECONDS)
    assert len(minion.orders) == 1


# Guards against the repetition of a start that got no answer: at the moment between
# the first call and its repeat, on another connection, and by the next leader.
@pytest.mark.parametrize("fault", ["lost", "late", ReplyKind.UNSURE])
@pytest.mark.parametrize("is_leader_changed", [False, True])
def test_a_start_without_an_answer_is_not_sent_again(
    make_harness, fault, is_leader_changed
):
    minion = MemoryMinion(task_seconds=0.6)
    harness = make_harness(minion)
    minion.start_faults.append(fault)
    send = minion.start

    def start(order, seconds):
        harness.cordon()
        return send(order, seconds)

    minion.start = start
    harness.submit(Step(1))
    assert wait_until(lambda: minion.orders, SECONDS)
    if is_leader_changed:
        harness.restart_leadership()
    assert task() in harness.log.table.run_by_task
    assert wait_until(lambda: is_unrecorded(harness), SECONDS)
    # The late order is carried out, or barred by the stop, but nothing follows it.
    assert not wait_until(lambda: len(minion.orders) > 1, 1.5)
    assert len(minion.begun) <= 1


# Guards against a client that keeps an order it could not send, and against an agent
# that sends it again.
def test_an_order_that_was_not_sent_is_not_sent_after_the_cordon(make_harness):
    minion = MemoryMinion()
    harness = make_harness(minion)
    calls = []

    def start(order, seconds):
        calls.append(order)
        harness.cordon()
        return Reply(ReplyKind.NOT_SENT)

    minion.start = start
    harness.submit(Step(1))
    assert wait_until(lambda: calls and is_unrecorded(harness), SECONDS)
    assert not wait_until(lambda: len(calls) > 1, 1.0)


# Guards against a run that is given up elsewhere before a poll or its lease settles
# it: the minion may run it.
def test_a_start_without_an_answer_counts_until_it_is_settled(make_harness):
    first, second = MemoryMinion(task_seconds=0.3), MemoryMinion(task_seconds=0.3)
    harness = make_harness(first, second, halls=("h", "other"))
    agents = harness.session().agent_by_minion
    assert wait_until(lambda: len(agents) == 2, SECONDS)
    agents[second.life].pause_placement(60)
    first.start_faults.append("late")
    first.poll_faults += [True] * 3
    harness.submit(Step(1))
    assert wait_until(lambda: first.orders, SECONDS)
    harness.cordon()
    agents[second.life].pause_placement(0)
    view = agents[first.life].view_by_task[task()]
    assert view.status is RunViewStatus.ORDERED
    assert wait_until(lambda: second.orders or not harness.log.table.run_by_task, 4)
    # Settled: the minion can no longer begin the run, and does not run it.
    assert first.barred.get(task()) == 1
    assert first.running == {}
    harness.wait_status(JobStatus.SUCCEEDED)
    assert len(first.orders) == 1


# Guards against a cordon that stops polls, ends, or the stop of a cancelled job.
@pytest.mark.parametrize("is_cancelled", [False, True])
def test_runs_from_before_the_cordon_go_on_and_can_be_stopped(
    make_harness, is_cancelled
):
    minion = MemoryMinion(task_seconds=60 if is_cancelled else 0.5)
    harness = make_harness(minion)
    harness.submit(Step(2))
    assert wait_until(lambda: len(minion.begun) == 2, SECONDS)
    harness.cordon()
    if is_cancelled:
        harness.cancel()
    else:
        harness.wait_status(JobStatus.SUCCEEDED)
    assert wait_until(lambda: is_unrecorded(harness), SECONDS)
    assert minion.running == {}


# Guards against work that stays where it is, or waits, after the hall is uncordoned.
def test_an_uncordoned_hall_is_used_at_once(make_harness):
    minion = MemoryMinion(task_seconds=0.1)
    harness = make_harness(minion)
    harness.session()
    harness.cordon()
    harness.submit(Step(1))
    gevent.sleep(0.3)
    assert minion.orders == []
    harness.cordon(False)
    assert wait_until(lambda: minion.begun, 1.0)
