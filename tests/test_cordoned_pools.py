"""Pools while a hall is cordoned: its VMs are no capacity, and none goes there."""

from types import SimpleNamespace

import pytest

from hingepitch.jobs import command as commands
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.fleet import FleetReply, VmRow, VmState
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.mover import MoveController
from hingepitch.jobs.pool import IdleVm, Move, PoolTerms, PoolView, plan_moves
from hingepitch.jobs.queue import QueuePool
from hingepitch.jobs.spec import Step
from hingepitch.model.command import Envelope, Role
from tests.test_job_rules import Log, make_config, make_minion

TERMS = PoolTerms(floor=1, idle_seconds=2.0, lend_seconds=0.1)
NOW = 100.0


def cordon(log, hall, is_cordoned=True):
    """Cordon or uncordon a hall as an operator does; return the outcome's code."""
    revision = log.table.cordons.revision
    command = commands.UncordonHall(hall, revision)
    if is_cordoned:
        command = commands.CordonHall(hall, 7, revision)
    return log.apply(Envelope(Role.OPERATOR, "", "test", command)).code


class HallLog(Log):
    """A log with a spare pool and, in its other pool, two minions in each hall.

    `i-0` and `i-1` are in hall `h0`, `i-2` and `i-3` in `h1`.
    """

    def __init__(self, halls=2):
        super().__init__()
        pools = (QueuePool("pool"), QueuePool("off", is_spare=True))
        self.send(commands.PutQueues(make_config(pools=pools)))
        for number in range(2 * halls):
            minion = make_minion(number, hall=f"h{number // 2}")
            self.send(commands.RegisterMinion(minion, 0))

    def load(self):
        return measure_pools(self.table, 0, Durations())["pool"]


def make_controller(log, platform=None):
    session = SimpleNamespace(
        table=log.table,
        agent_by_minion={},
        upkeep=SimpleNamespace(leaving_since_by_vm={}),
        measure_pools=lambda: measure_pools(log.table, 0, Durations()),
        propose=lambda command: not log.send(command),
        runs_of=lambda minion: log.table.runs_by_minion.get(minion, {}),
        spawn_guarded=lambda name, function, *arguments: function(*arguments),
        name="test",
        fence=1,
    )
    log.table.has_seen_batch_job = True
    controller = MoveController(session, platform, TERMS, 1.0)
    controller.demand.worked_since = 0.0
    return controller


def view_of(controller, name="pool", now=NOW):
    views = controller.views(controller.session.table.config, now)
    return next(view for view in views if view.name == name)


# Guards against a pool that counts the VMs of a cordoned hall as capacity and so orders
# none elsewhere while its tasks wait.
def test_minions_of_a_cordoned_hall_are_neither_capacity_nor_present():
    log = HallLog()
    cordon(log, "h0")
    assert (log.load().minions, log.load().room) == (2, 8000)
    assert view_of(make_controller(log)).present == 2
    cordon(log, "h0", is_cordoned=False)
    assert (log.load().minions, log.load().room) == (4, 16_000)
    assert view_of(make_controller(log)).present == 4


# Guards against a task that counts as impossible since the only minions large enough
# for it are in a cordoned hall: it has to wait for them.
def test_the_largest_minion_is_known_though_its_hall_is_cordoned():
    log = HallLog()
    log.submit(Step(1, 4000))
    cordon(log, "h0")
    cordon(log, "h1")
    assert log.load().largest.cpu_millicores == 4000
    assert log.load().waiting == 4000


# Guards against a pool all of whose minions are cordoned and that wants its floor only,
# whatever waits, as it has no room by which to count VMs; and against a new leader that
# takes it for a pool that has not begun.
def test_a_pool_that_lies_in_cordoned_halls_wants_vms_for_what_waits():
    log = HallLog()
    log.submit(Step(6, 4000))
    controller = make_controller(log)
    controller.demand.worked_since = None
    cordon(log, "h0")
    cordon(log, "h1")
    view = view_of(controller)
    assert (view.wanted, view.present) == (8, 0)


# Guards against a pool that wants one more VM after each that arrives, as a task waits
# that only a VM in the cordoned hall could hold; and against one that wants none for a
# task that another VM could hold.
@pytest.mark.parametrize("millicores, grows", [(8000, False), (4000, True)])
def test_a_task_that_only_a_cordoned_vm_can_hold_brings_no_vms(millicores, grows):
    log = HallLog()
    big = make_minion(0, hall="h0", cpu_millicores=8000)
    log.send(commands.RegisterMinion(big, 0))
    log.submit(Step(1, millicores))
    cordon(log, "h0")
    controller = make_controller(log)
    wanted = []
    for number in range(8, 14):
        log.send(commands.RegisterMinion(make_minion(number, hall="h1"), 0))
        wanted.append(view_of(controller, now=NOW + number).wanted)
    assert (wanted[-1] > log.load().minions) is grows


# Guards against VMs that count twice: as not present since their hall is cordoned, and
# once more since they leave, are maintained or do not answer.
def test_a_vm_of_a_cordoned_hall_is_subtracted_once():
    log = HallLog()
    controller = make_controller(log)
    controller.session.upkeep.leaving_since_by_vm["vm-0"] = 0.0
    controller.session.agent_by_minion["i-0"] = SimpleNamespace(
        is_lease_expired=lambda now: True
    )
    log.send(commands.BeginMove("vm-1", "off"))
    cordon(log, "h0")
    assert view_of(controller).present == 2


# Guards against a pool that waits for a VM on its way to it that cannot be used there.
def test_a_vm_that_arrives_in_a_cordoned_hall_is_not_present():
    log = HallLog()
    controller = make_controller(log)
    rows = [VmRow(f"vm-{n}", "off", VmState.UP, f"h{n - 8}", "", "a") for n in (8, 9)]
    controller.apply_vm_list(rows)
    log.send(commands.BeginMove("vm-8", "pool"))
    log.send(commands.BeginMove("vm-9", "pool"))
    cordon(log, "h0")
    assert view_of(controller).present == 2 + 1


# Guards against a spare VM that is powered on in a hall in which it may not be used.
def test_no_spare_vm_of_a_cordoned_hall_is_moved_into_a_pool():
    log = HallLog()
    platform = SimpleNamespace(move=pytest.fail)
    controller = make_controller(log, platform)
    rows = [VmRow(f"vm-{n}", "off", VmState.UP, f"h{n - 8}", "", "a") for n in (8, 9)]
    controller.apply_vm_list(rows)
    assert [idle.vm for idle in view_of(controller, "off").idle] == ["vm-8", "vm-9"]
    cordon(log, "h0")
    assert [idle.vm for idle in view_of(controller, "off").idle] == ["vm-9"]
    # The hall was cordoned after the move was planned.
    controller.begin(Move("vm-8", "pool"))
    assert not log.table.move_by_vm


class Orders:
    """A platform that notes the moves it is ordered and answers them with `reply`."""

    def __init__(self, reply=FleetReply.UNSURE):
        self.reply = reply
        self.moves = []

    def move(self, vm, pool, *rest):
        self.moves.append((vm, pool))
        return self.reply


def begin_spare_move(log, platform, is_cordoned_after_begin):
    """Begin the move of the spare VM `vm-8` of the hall `h0`; return the controller."""
    controller = make_controller(log, platform)
    rows = [VmRow("vm-8", "off", VmState.UP, "h0", "", "a")]
    controller.apply_vm_list(rows)
    propose = controller.session.propose

    def propose_and_cordon(command):
        is_accepted = propose(command)
        if is_cordoned_after_begin and isinstance(command, commands.BeginMove):
            cordon(log, "h0")
        return is_accepted

    controller.session.propose = propose_and_cordon
    controller.begin(Move("vm-8", "pool"))
    return controller


# Guards against a spare VM that is powered on as its hall was cordoned only after the
# begin of its move was recorded, and against one that is lost to the spare pool then.
def test_a_recorded_move_into_a_hall_that_is_cordoned_is_not_ordered():
    log, platform = HallLog(), Orders()
    controller = begin_spare_move(log, platform, True)
    assert (platform.moves, log.table.move_by_vm) == ([], {})
    cordon(log, "h0", is_cordoned=False)
    assert [idle.vm for idle in view_of(controller, "off").idle] == ["vm-8"]


# Guards against a move that ends in the log while the platform may still carry it out.
def test_a_move_that_was_ordered_goes_on_though_its_hall_is_cordoned():
    log, platform = HallLog(), Orders()
    controller = begin_spare_move(log, platform, False)
    cordon(log, "h0")
    controller.call_once_at_a_time("vm-8", "pool")
    assert platform.moves == [("vm-8", "pool")] * 2
    assert log.table.move_by_vm == {"vm-8": "pool"}


# Guards against a spare VM whose hall is forgotten while it is on its way to the spare
# pool and missing from the platform's list, and against one that was never listed.
def test_the_hall_of_a_vm_is_kept_while_it_moves_to_the_spare_pool():
    log = HallLog()
    controller = make_controller(log)
    controller.finish("vm-0", "off", log.table.minion_by_id["i-0"])
    controller.apply_vm_list([])
    cordon(log, "h0")
    assert not view_of(controller, "off", now=1e12).idle


def idle(*vms, seconds=9.0, is_cordoned=False):
    return [IdleVm(vm, "a", seconds, is_cordoned) for vm in vms]


# Guards against VMs of a cordoned hall that another pool borrows and cannot use.
def test_no_pool_borrows_vms_of_a_cordoned_hall():
    calm = PoolView("calm", wanted=0, present=2, cordoned=2)
    calm.idle = idle("c", "d", is_cordoned=True) + idle("a", seconds=1.0)
    busy = PoolView("busy", wanted=5, present=1)
    assert list(plan_moves([busy, calm], TERMS)) == [Move("a", "busy")]


# Guards against VMs that stay on in a cordoned hall though the other halls suffice, and
# against a pool that gives VMs of other halls away for them.
def test_idle_vms_of_a_cordoned_hall_go_to_the_spare_pool():
    pool = PoolView("pool", wanted=2, present=2, cordoned=3)
    pool.idle = idle("a") + idle("c", "d", is_cordoned=True)
    pool.idle += idle("e", seconds=1.0, is_cordoned=True)
    spare = PoolView("off", is_spare=True)
    assert list(plan_moves([pool, spare], TERMS)) == [
        Move("c", "off"),
        Move("d", "off"),
    ]
    assert (pool.present, pool.cordoned) == (2, 1)


# Guards against a hall that is of no use for 1.5 s after it is uncordoned, as its VMs
# were powered off while their pool was short of VMs.
def test_a_pool_that_is_short_of_vms_keeps_those_of_a_cordoned_hall():
    pool = PoolView("pool", wanted=4, present=2, cordoned=3)
    pool.idle = idle("c", "d", "e", is_cordoned=True)
    spare = PoolView("off", is_spare=True)
    assert list(plan_moves([pool, spare], TERMS)) == [Move("c", "off")]


# Guards against cordons that change what is decided where none is in force. The figures
# are those of the version before cordons.
@pytest.mark.parametrize("hall", ["h", "other"])
@pytest.mark.parametrize(
    "steps, wanted, moves",
    [
        ((Step(7, 3000),), 7, {"vm-9": "pool"}),
        ((), 1, {"vm-0": "off", "vm-1": "off", "vm-2": "off"}),
    ],
)
def test_without_a_cordon_the_decisions_are_as_before(hall, steps, wanted, moves):
    log = HallLog(halls=0)
    for number in range(4):
        log.send(commands.RegisterMinion(make_minion(number, hall=hall), 0))
    if steps:
        log.submit(*steps)
    controller = make_controller(log)
    controller.apply_vm_list([VmRow("vm-9", "off", VmState.UP, hall, "", "a")])
    for now in (NOW, NOW + 3):
        pool, spare = controller.views(log.table.config, now)
        assert (pool.wanted, pool.present, pool.cordoned) == (wanted, 4, 0)
        assert (spare.wanted, spare.present) == (0, 1)
        made = list(plan_moves([pool, spare], TERMS))
    assert {move.vm: move.pool for move in made} == moves
