"""
hingepitch.jobs.mover
~~~~~~~~~~~~~~~~~~~~~

Moves VMs between pools for one leadership, by what the pools want.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import defaultdict

import gevent
from gevent.event import Event

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.command import BeginMove, EndMove, RemoveMinion
from hingepitch.jobs.demand import Demand
from hingepitch.jobs.fleet import FleetReply, VmState
from hingepitch.jobs.load import PoolLoad
from hingepitch.jobs.pool import IdleVm, PoolView, plan_moves
from hingepitch.log import log_event

__all__ = ["MoveDesk"]

#: Longest time between two decisions, in seconds.
STEP_SECONDS = 0.1

#: Jobs that come within this time are decided on together, in seconds. Source:
#: measuring the pools of 144 minions took 1.2 ms of a whole core under a
#: profiler; the rest of a decision was not measured.
GATHER_SECONDS = 0.04

#: Pause after a decision, in times of what it took. Source: measuring pools with
#: 999 waiting steps took 13 ms, so that decisions take a fifth of the processor
#: at most; a VM needs 1.5 s to move.
DECISION_PAUSES = 4

#: Longest wait for an answer of the platform, in seconds.
CALL_SECONDS = 2.0

#: After a call without an answer the same is ordered again, and nothing else
#: is ordered for the VM for so long, in seconds: the platform may still carry
#: the first call out. Source: such calls were carried out up to 12 s late.
UNSURE_SECONDS = 15.0

#: A VM that was busy is left alone for so long, in seconds. Source: a tenth of
#: the time that a move takes; VMs that were called busy were needed at once.
BUSY_SECONDS = 0.15

#: The platform's list is read at most this often, in seconds.
LIST_SECONDS = 5.0


class MoveDesk:
    """Carries out moves of VMs for one leadership.

    `session`
        The leadership: its table, its agents, its commands.
    `platform`
        Client with `move(vm, pool, holder, fence, seconds)` and
        `list_vms(seconds)`.
    `terms`
        A `PoolTerms`.
    `move_seconds`
        How long a move takes; the VM takes no other order meanwhile.
    `source_by_vm`
        The spare pool that a VM was taken from, while its move is not settled.
    `beginning`
        Moves that are on their way into the log, as pools by VM.
    `kinds_by_pool`
        The kinds of VMs that were seen in each pool.
    `moved_at_by_vm`
        When the platform has carried out a move that is not over yet.
    `is_lacking`
        Whether a pool wants more VMs than it has, or will have from moves.
    `wake`
        Set when work has arrived: a decision is due at once.
    """

    def __init__(self, session, platform, terms, move_seconds):
        self.session = session
        self.platform = platform
        self.terms = terms
        self.move_seconds = move_seconds
        self.source_by_vm = {}
        self.beginning = {}
        self.calling = set()
        self.is_listing = False
        self.done = set()
        self.impossible = set()
        self.held_until_by_vm = {}
        self.idle_since_by_vm = {}
        self.spare_vms = {}
        self.kind_by_vm = {}
        self.kinds_by_pool = defaultdict(set)
        self.moved_at_by_vm = {}
        self.listed_at = 0.0
        self.wake = Event()
        self.is_lacking = False
        self.demand = Demand(session, terms)
        self.gather_seconds = GATHER_SECONDS

    def run(self):
        """Decide and move until killed."""
        while True:
            self.wake.wait(STEP_SECONDS)
            self.wake.clear()
            gevent.sleep(self.gather_seconds)
            config = self.session.table.config
            if config is None or not self.session.may_order():
                continue
            if not any(pool.is_spare for pool in config.pools):
                continue
            began = lease_seconds()
            self.session.attempt("moves", self.step, config, began)
            # Measuring a backlog takes long: most of the time is for the rest.
            took = lease_seconds() - began
            self.gather_seconds = max(GATHER_SECONDS, DECISION_PAUSES * took)

    def step(self, config, now):
        """Carry on the moves that were begun, then begin others."""
        self.read_list_if_due(now)
        self.demand.note_arrivals(now)
        table = self.session.table
        for vm, pool in list(table.move_by_vm.items()):
            if (vm, pool) not in self.done:
                self.call_once_at_a_time(vm, pool)
            elif self.is_overdue(vm, now):
                self.session.spawn_apart("move", self.give_up, vm, pool)
        self.done &= set(table.move_by_vm.items())
        views = list(self.views(config, now))
        is_known = self.demand.is_known(now)
        moves = plan_moves(views, self.terms, self.impossible, is_known)
        for move in list(moves):
            self.beginning[move.vm] = move.pool
            self.session.spawn_apart("move", self.begin, move)
        self.is_lacking = any(
            view.wanted > view.present for view in views if not view.is_spare
        )

    # What the decision needs.

    def read_list_if_due(self, now):
        """Read the platform's list now and then, beside the decisions."""
        if not self.is_listing and now - self.listed_at >= LIST_SECONDS:
            self.listed_at = now
            self.is_listing = True
            self.session.spawn_apart("move", self.read_list)

    def read_list(self):
        """Learn which VMs are spare."""
        try:
            listed = self.platform.list_vms(CALL_SECONDS)
        finally:
            self.is_listing = False
        if listed is not None:
            self.take_list(listed.rows)

    def take_list(self, rows):
        """Take over what the platform lists."""
        spare_pools = {
            pool.name for pool in self.session.table.config.pools if pool.is_spare
        }
        self.kind_by_vm = {row.vm: row.kind for row in rows}
        for row in rows:
            self.kinds_by_pool[row.pool].add(row.kind)
        on_their_way = {
            vm: pool
            for vm, pool in self.spare_vms.items()
            if lease_seconds() < self.held_until_by_vm.get(vm, 0.0)
        }
        self.spare_vms = on_their_way | {
            row.vm: row.pool
            for row in rows
            if row.pool in spare_pools
            and row.state in (VmState.UP, VmState.DOWN)
            and row.vm not in self.session.table.life_by_vm
        }

    def views(self, config, now):
        """Yield a `PoolView` of each pool."""
        loads = self.session.measure_pools()
        in_upkeep = self.vms_in_upkeep()
        taken = self.taken_vms(in_upkeep)
        minions_by_pool = self.minions_by_pool()
        for pool in config.pools:
            load = loads.get(pool.name, PoolLoad())
            view = PoolView(pool.name, is_spare=pool.is_spare)
            if pool.is_spare:
                view.idle = list(self.spare_idle(pool.name, taken, now))
                view.present = len(view.idle)
            elif pool.name in self.session.table.queues.pools:
                view.wanted = self.demand.wanted(pool.name, load, now)
            if not pool.is_spare:
                view.idle = list(self.idle_of(minions_by_pool[pool.name], taken, now))
                view.present = load.minions + self.incoming(pool.name)
                view.present -= self.outgoing(pool.name)
                view.present -= away(minions_by_pool[pool.name], in_upkeep)
                lapsed = self.lapsed_vms(minions_by_pool[pool.name], now) - in_upkeep
                view.present -= away(minions_by_pool[pool.name], lapsed)
            view.kinds = frozenset(minion.kind for minion in minions_by_pool[pool.name])
            self.kinds_by_pool[pool.name] |= view.kinds
            yield view

    def minions_by_pool(self):
        """Return the registered minions of each pool."""
        minions_by_pool = defaultdict(list)
        for minion in self.session.table.minion_by_id.values():
            minions_by_pool[minion.pool].append(minion)
        return minions_by_pool

    @property
    def pool_by_moving_vm(self):
        """Where the VMs go whose move is recorded, or about to be."""
        return self.beginning | self.session.table.move_by_vm

    def incoming(self, pool):
        """Return how many VMs are on their way to a pool."""
        return sum(to == pool for to in self.pool_by_moving_vm.values())

    def outgoing(self, pool):
        """Return how many registered VMs are on their way out of a pool."""
        table = self.session.table
        lives = (table.life_by_vm.get(vm) for vm in self.pool_by_moving_vm)
        minions = (table.minion_by_id[life] for life in lives if life)
        return sum(minion.pool == pool for minion in minions)

    def taken_vms(self, in_upkeep):
        """Return the VMs that move, or leave or have left for their upkeep."""
        return in_upkeep.union(self.pool_by_moving_vm)

    def vms_in_upkeep(self):
        """Return the VMs that leave for their upkeep or have left.

        Collected once for a decision: made anew for each VM that is asked
        about, the set took 5 % of the leader's time with 272 minions.
        """
        leaving = self.session.upkeep.leaving_since_by_vm
        return self.session.table.vms_in_upkeep().union(leaving)

    def lapsed_vms(self, minions, now):
        """Return the VMs of those `minions` that are silent past their lease."""
        agents = self.session.agent_by_minion
        pairs = ((one.vm, agents.get(one.id)) for one in minions)
        return {vm for vm, agent in pairs if agent and agent.has_lapsed(now)}

    def is_free(self, vm, taken, now):
        """Whether a VM is not taken, and has no call that is unsettled."""
        return vm not in taken and now > self.held_until_by_vm.get(vm, 0.0)

    def spare_idle(self, pool, taken, now):
        """Yield the spare VMs of a pool."""
        for vm, at in self.spare_vms.items():
            if at == pool and self.is_free(vm, taken, now):
                yield IdleVm(vm, self.kind_by_vm.get(vm, ""), 0.0)

    def idle_of(self, minions, taken, now):
        """Yield the VMs of `minions` that have nothing to do."""
        table = self.session.table
        for minion in minions:
            vm = minion.vm
            if table.runs_by_minion.get(minion.id) or minion.is_draining:
                self.idle_since_by_vm.pop(vm, None)
                continue
            since = self.idle_since_by_vm.setdefault(vm, now)
            if self.is_free(vm, taken, now):
                yield IdleVm(vm, minion.kind, now - since)

    # Orders to the platform.

    def begin(self, move):
        """Record that a VM begins to move, then order it."""
        try:
            is_recorded = self.session.propose(BeginMove(move.vm, move.pool))
        finally:
            self.beginning.pop(move.vm, None)
        if is_recorded:
            if move.vm in self.spare_vms:
                self.source_by_vm[move.vm] = self.spare_vms.pop(move.vm)
            self.call_once_at_a_time(move.vm, move.pool)

    def call_once_at_a_time(self, vm, pool):
        """Order a move, unless an order for the VM is on its way."""
        if vm in self.calling:
            return
        self.calling.add(vm)
        self.session.spawn_apart("move", self.call, vm, pool)

    def call(self, vm, pool):
        """Order a move and record what became of it.

        The life that the move ends is the one that is there while it is recorded.
        Once the VM has come to its pool the move is over: the platform answers
        that it is done, and the life there now has runs.
        """
        try:
            if self.session.table.move_by_vm.get(vm) != pool:
                log_event("move_step", vm=vm, pool=pool, reply="over already")
                return
            life = self.session.table.life_by_vm.get(vm)
            reply = self.platform.move(
                vm, pool, self.session.name, self.session.fence, CALL_SECONDS
            )
            log_event(
                "move_step",
                vm=vm,
                pool=pool,
                fence=self.session.fence,
                reply=reply.value,
            )
            self.settle(vm, pool, life, reply)
        finally:
            self.calling.discard(vm)

    def settle(self, vm, pool, life, reply):
        """Record the answer of the platform, where it is final."""
        if reply is FleetReply.DONE:
            self.finish(vm, pool, life)
        elif reply is FleetReply.UNKNOWN_VM:
            self.note_unfit(vm, pool)
            self.session.propose(EndMove(vm))
        elif reply in (FleetReply.BUSY, FleetReply.NOT_IN_WAVE):
            self.hold(vm, BUSY_SECONDS)
            self.session.propose(EndMove(vm))
            if vm in self.source_by_vm:
                self.spare_vms[vm] = self.source_by_vm.pop(vm)
        elif reply is FleetReply.FENCED:
            self.session.fenced(vm)
        elif reply is FleetReply.UNSURE:
            self.hold(vm, UNSURE_SECONDS)

    def note_unfit(self, vm, pool):
        """Note that the platform knows no such VM, or not in that pool.

        Where a pool was seen with VMs of that kind, it is the VM that is gone:
        the others may come. It is left alone until lists no longer show it.
        """
        kind = self.kind_by_vm.get(vm, "")
        if kind not in self.kinds_by_pool[pool]:
            self.impossible.add((kind, pool))
        self.source_by_vm.pop(vm, None)
        self.hold(vm, UNSURE_SECONDS)

    def is_overdue(self, vm, now):
        """Whether a VM was moved and should have been heard of long ago."""
        moved_at = self.moved_at_by_vm.get(vm, now)
        return now - moved_at > self.move_seconds + self.session.silence_seconds

    def give_up(self, vm, pool):
        """Record that a move is over though the VM never came.

        It may have crashed for good meanwhile: counted as on its way, it would
        keep another from being taken in its place. If it comes, it registers.
        """
        # Tried again after as long, should it not be committed.
        self.moved_at_by_vm[vm] = lease_seconds()
        fence = self.session.fence
        log_event("move_step", vm=vm, pool=pool, fence=fence, reply="never came")
        self.session.propose(EndMove(vm))

    def finish(self, vm, pool, life):
        """Record that a VM has moved: its life there is over."""
        self.done.add((vm, pool))
        self.moved_at_by_vm[vm] = lease_seconds()
        self.source_by_vm.pop(vm, None)
        self.idle_since_by_vm.pop(vm, None)
        config_pool = self.session.table.config.pool(pool)
        if life is not None:
            runs = len(self.session.runs_of(life))
            log_event("minion_removed", minion=life, reason="moved", runs=runs)
            self.session.propose(RemoveMinion(life, wall_ms()))
        if config_pool is not None and config_pool.is_spare:
            self.spare_vms[vm] = pool
            self.hold(vm, self.move_seconds)
            self.session.propose(EndMove(vm))

    def hold(self, vm, seconds):
        """Leave a VM where it is for a while."""
        until = lease_seconds() + seconds
        self.held_until_by_vm[vm] = max(until, self.held_until_by_vm.get(vm, 0.0))


def away(minions, gone):
    """Return how many of `minions` take no work: their VMs are among `gone`.

    They are registered until their next life comes. Counted as present, they
    kept a pool from getting others in their place: a task that lasts waited
    3.7 s for a VM while a wave had taken 45 of 272, and 8.3 s while a cut held
    5 minions of a pool.
    """
    return sum(one.vm in gone and not one.is_draining for one in minions)
