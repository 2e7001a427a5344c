"""Moves of VMs by a session: what waits gets room, what runs stays."""

import pytest

from hingepitch.clock import lease_seconds
from hingepitch.httpd import wait_until
from hingepitch.jobs import (
    command as commands,
    demand as demand_module,
    mover as mover_module,
)
from hingepitch.jobs.fleet import FleetReply, VmList, VmRow, VmState
from hingepitch.jobs.load import PoolLoad
from hingepitch.jobs.mover import MoveController
from hingepitch.jobs.pool import PoolTerms
from hingepitch.jobs.queue import Queue, QueuePool
from hingepitch.jobs.spec import Step
from standin.taskminion import TaskMinion
from tests.test_dispatch import SECONDS, Rig
from tests.test_job_rules import HOST, make_config, make_minion, task

TERMS = PoolTerms(floor=1, idle_seconds=0.3, lend_seconds=0.1)

MOVE_SECONDS = 0.4


class FleetApi:
    """The platform's API of VMs: moves are carried out, or go wrong."""

    def __init__(self, pool_by_vm):
        self.pool_by_vm = pool_by_vm
        self.replies = []
        self.moves = []

    def list_vms(self, seconds):
        return VmList(
            tuple(
                VmRow(vm, pool, VmState.UP, "h", "", "a")
                for vm, pool in self.pool_by_vm.items()
            )
        )

    def move(self, vm, pool, holder, fence, seconds):
        reply = self.replies.pop(0) if self.replies else FleetReply.DONE
        self.moves.append((vm, pool, reply))
        if reply is FleetReply.DONE:
            self.pool_by_vm[vm] = pool
        return reply


@pytest.fixture
def rig():
    made = Rig(TaskMinion(), TaskMinion())
    queue = Queue("q", HOST, "/q/", "pool", timeout_ms=1)
    pools = (QueuePool("pool"), QueuePool("off", is_spare=True))
    made.log.send(commands.PutQueues(make_config(2, queues=(queue,), pools=pools)))
    assert wait_until(lambda: made.dispatcher.session is not None, SECONDS)
    yield made
    made.close()


@pytest.fixture(autouse=True)
def no_learning(monkeypatch):
    monkeypatch.setattr(demand_module, "LEARNING_SECONDS", 0.0)


def move_by(rig, api):
    rig.log.table.has_seen_batch_job = True
    session = rig.dispatcher.session
    session.mover = MoveController(session, api, TERMS, MOVE_SECONDS)
    session.spawn(session.mover.run)
    return session.mover


def wait_decisions(desk, count=10):
    """Wait until a desk has decided so often; ten take a second at least."""
    made = []
    step = desk.step

    def counted(config, now):
        step(config, now)
        made.append(now)

    desk.step = counted
    assert wait_until(lambda: len(made) >= count, SECONDS)


def test_an_idle_vm_goes_to_the_spares_and_its_life_is_over(rig):
    api = FleetApi({"vm-0": "pool", "vm-1": "pool"})
    desk = move_by(rig, api)
    assert wait_until(lambda: len(rig.log.table.minion_by_id) == 1, SECONDS)
    assert [pool for _, pool, _ in api.moves] == ["off"]
    assert not rig.log.table.move_by_vm
    wait_decisions(desk)
    assert len(rig.log.table.minion_by_id) == 1


def test_jobs_of_earlier_leaders_do_not_arrive_now(rig):
    for number in range(9):
        rig.log.submit(Step(4, estimate_ms=900), job=f"{number:016x}")
    session = rig.dispatcher.session
    desk = MoveController(session, FleetApi({}), TERMS, MOVE_SECONDS)
    desk.demand.note_arrivals(lease_seconds())
    assert not desk.demand.rate_by_pool
    for number in range(9, 12):
        rig.log.submit(Step(4, 500, estimate_ms=900), job=f"{number:016x}")
    desk.demand.note_arrivals(lease_seconds())
    assert desk.demand.arriving("pool", lease_seconds()) > 0


def test_a_leader_learns_the_demand_before_it_gives_vms_back(rig, monkeypatch):
    monkeypatch.setattr(demand_module, "LEARNING_SECONDS", 1.5)
    api = FleetApi({"vm-0": "pool", "vm-1": "pool"})
    desk = move_by(rig, api)
    assert wait_until(lambda: desk.demand.worked_since is not None, SECONDS)
    since = desk.demand.worked_since
    assert wait_until(lambda: api.moves, SECONDS)
    assert lease_seconds() - since > 1.5


def test_a_vm_with_runs_is_never_moved(rig):
    rig.submit(Step(2, lasts=True, max_per_minion=1))
    assert wait_until(lambda: len(rig.log.table.run_by_task) == 2, SECONDS)
    api = FleetApi({})
    wait_decisions(move_by(rig, api))
    assert not api.moves
    assert rig.log.send(commands.BeginMove("vm-0", "off")) == "not_drained"


def test_a_vm_that_is_moving_gets_no_run(rig):
    rig.log.send(commands.BeginMove("vm-0", "off"))
    rig.log.submit(Step(1))
    assert rig.log.start(task(), minion=rig.minions[0].life) == [False]
    rig.log.send(commands.EndMove("vm-0"))
    assert rig.log.start(task(), minion=rig.minions[0].life) == [True]


def test_tasks_that_no_minion_can_hold_bring_a_spare_vm(rig):
    api = FleetApi({"vm-9": "off"})
    move_by(rig, api)
    rig.submit(Step(3, cpu_millicores=9000, lasts=True))
    assert wait_until(lambda: ("vm-9", "pool", FleetReply.DONE) in api.moves, SECONDS)


def test_room_in_pieces_brings_a_spare_vm(rig):
    api = FleetApi({"vm-9": "off"})
    rig.submit(Step(2, memory_mb=3000, lasts=True))
    assert wait_until(lambda: len(rig.log.table.run_by_task) == 2, SECONDS)
    rig.log.submit(Step(1, memory_mb=1500), job="00000000000000bb")
    move_by(rig, api)
    assert wait_until(lambda: api.moves, SECONDS)
    assert api.moves[0][:2] == ("vm-9", "pool")


def test_an_unanswered_move_is_ordered_again_and_nothing_else_for_the_vm(
    rig, monkeypatch
):
    monkeypatch.setattr(mover_module, "UNKNOWN_OUTCOME_SECONDS", 1.0)
    api = FleetApi({"vm-0": "pool", "vm-1": "pool"})
    api.replies = [FleetReply.UNSURE, FleetReply.TOO_MANY]
    desk = move_by(rig, api)
    assert wait_until(lambda: len(api.moves) == 3, SECONDS)
    assert len({(vm, pool) for vm, pool, _ in api.moves}) == 1
    vm = api.moves[0][0]
    assert not desk.is_free(
        vm, desk.unavailable_vms(desk.vms_in_upkeep()), desk.held_until_by_vm[vm] - 0.1
    )


def test_another_leader_carries_on_a_move_that_was_begun(rig):
    rig.log.send(commands.BeginMove("vm-0", "off"))
    api = FleetApi({"vm-0": "pool"})
    move_by(rig, api)
    assert wait_until(lambda: api.moves, SECONDS)
    assert api.moves[0][:2] == ("vm-0", "off")
    assert wait_until(lambda: not rig.log.table.move_by_vm, SECONDS)
    assert "vm-0" not in rig.log.table.life_by_vm


def test_a_refused_pair_of_kind_and_pool_is_not_tried_again(rig):
    api = FleetApi({"vm-8": "off", "vm-9": "off"})
    api.replies = [FleetReply.UNKNOWN_VM] * 5
    desk = move_by(rig, api)
    rig.submit(Step(3, cpu_millicores=9000, lasts=True))
    assert wait_until(lambda: api.moves, SECONDS)
    wait_decisions(desk)
    assert len([vm for vm, pool, _ in api.moves if pool == "pool"]) <= 2


def test_a_vm_that_is_gone_does_not_bar_others_of_its_kind(rig):
    api = FleetApi({"vm-8": "off", "vm-9": "off"})
    api.replies = [FleetReply.UNKNOWN_VM]
    desk = move_by(rig, api)
    assert wait_until(lambda: desk.spare_pool_by_vm, SECONDS)
    rig.submit(Step(3, cpu_millicores=9000, lasts=True))
    assert wait_until(lambda: len(api.moves) >= 2, 3), "no other VM is tried"
    assert api.moves[0][0] != api.moves[1][0]


def test_a_vm_that_never_arrives_is_not_waited_for(rig, monkeypatch):
    api = FleetApi({"vm-8": "off", "vm-9": "off"})
    desk = move_by(rig, api)
    monkeypatch.setattr(type(rig.dispatcher.session), "silence_timeout_seconds", 0.3)
    rig.submit(Step(3, cpu_millicores=9000, lasts=True))
    assert wait_until(lambda: len(api.moves) >= 2, 4), "no other VM is taken"
    assert desk.incoming("pool") <= 1
    assert {pool for _, pool, _ in api.moves} == {"pool"}


def test_the_new_life_ends_the_move(rig):
    rig.log.send(commands.BeginMove("vm-0", "pool"))
    fresh = make_minion(0, id="i-fresh")
    rig.log.send(commands.RegisterMinion(fresh, 0))
    assert not rig.log.table.move_by_vm


def test_a_vm_that_goes_to_the_spares_is_not_wanted_back_before_it_is_there(rig):
    api = FleetApi({"vm-0": "pool", "vm-1": "pool"})
    desk = move_by(rig, api)
    assert wait_until(lambda: desk.spare_pool_by_vm, SECONDS)
    given_at = lease_seconds()
    rig.submit(Step(3, cpu_millicores=9000, lasts=True))
    assert wait_until(lambda: len(api.moves) == 2, SECONDS)
    assert lease_seconds() - given_at > 0.7 * MOVE_SECONDS
    assert [pool for _, pool, _ in api.moves] == ["off", "pool"]


def test_a_spare_vm_that_was_busy_is_ordered_again_soon(rig, monkeypatch):
    monkeypatch.setattr(mover_module, "LIST_SECONDS", 60.0)
    api = FleetApi({"vm-9": "off"})
    api.replies = [FleetReply.BUSY, FleetReply.BUSY]
    move_by(rig, api)
    rig.submit(Step(3, cpu_millicores=9000, lasts=True))
    assert wait_until(lambda: len(api.moves) >= 3, 3)
    assert api.moves[:3] == [
        ("vm-9", "pool", FleetReply.BUSY),
        ("vm-9", "pool", FleetReply.BUSY),
        ("vm-9", "pool", FleetReply.DONE),
    ]


def test_a_list_that_shows_a_spare_vm_on_its_way_does_not_lose_it(rig):
    desk = MoveController(rig.dispatcher.session, FleetApi({}), TERMS, MOVE_SECONDS)
    desk.spare_pool_by_vm = {"vm-8": "off", "vm-9": "off"}
    desk.hold("vm-8", MOVE_SECONDS)
    desk.apply_vm_list([VmRow("vm-8", "off", VmState.MOVING, "h", "", "a")])
    assert desk.spare_pool_by_vm == {"vm-8": "off"}


def test_a_pool_that_lost_all_its_minions_is_wanted_back(rig):
    session = rig.dispatcher.session
    desk = MoveController(session, FleetApi({}), TERMS, MOVE_SECONDS)
    now = lease_seconds()
    nothing = PoolLoad()
    assert desk.demand.wanted("pool", nothing, now) == 0, "none has come yet"
    rig.log.table.has_seen_batch_job = True
    assert not desk.demand.is_known(now)
    assert desk.demand.wanted("pool", nothing, now + 1) == TERMS.floor


# Guards against two runs at once: the answer to a move that an earlier leader had
# ordered already ended the life that had come by it, beneath its runs.
def test_a_move_that_was_done_before_ends_no_life_that_came_by_it(rig):
    api = FleetApi({"vm-0": "pool", "vm-1": "pool"})
    session = rig.dispatcher.session
    desk = MoveController(session, api, TERMS, MOVE_SECONDS)
    rig.log.send(commands.BeginMove("vm-0", "pool"))
    latest = TaskMinion()
    record = make_minion(
        0, id=latest.life, address=latest.address, cpu_millicores=16_000
    )
    desk.call_once_at_a_time("vm-0", "pool")
    # It is registered before the order goes out.
    rig.log.send(commands.RegisterMinion(record, 0))
    rig.replica.wake()
    assert wait_until(lambda: not desk.vms_in_call, SECONDS)
    assert latest.life in rig.log.table.minion_by_id
    latest.close()
