"""
hingepitch.jobs.mover
~~~~~~~~~~~~~~~~~~~~~

Moves VMs between pools during one leadership, following the pools' demand.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
from gevent.event import Event

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.command import BeginMove, EndMove, RemoveMinion
from hingepitch.jobs.fleet import FleetReply
from hingepitch.jobs.fleetview import FleetView
from hingepitch.jobs.pool import plan_moves
from hingepitch.log import log_event

__all__ = ["MoveController"]

#: Longest time between two move decisions, in seconds.
STEP_SECONDS = 0.1

#: Jobs that arrive within this time are handled by one decision, in seconds.
#: Measuring the pools of 144 minions takes 1.2 ms of a core.
GATHER_SECONDS = 0.04

#: Pause after a decision, as a multiple of its duration, so that decisions use
#: at most a fifth of the CPU. Measuring pools with 999 waiting steps takes 13 ms;
#: the delay is small against the 1.5 s that a move takes.
DECISION_PAUSE_FACTOR = 4

#: Timeout of a call to the platform, in seconds.
CALL_SECONDS = 2.0

#: After a call without an answer, only the same move is ordered for the VM for
#: this time, in seconds: the platform may still carry out the first call.
#: The platform carries out such calls up to 12 s late.
UNKNOWN_OUTCOME_SECONDS = 15.0

#: No other order for a VM for this time after the platform called it busy, in
#: seconds: a tenth of the duration of a move, since such VMs are needed at once.
BUSY_SECONDS = 0.15

#: Shortest time between two reads of the platform's VM list, in seconds.
LIST_SECONDS = 5.0


class MoveController(FleetView):
    """Plans and carries out the moves of VMs during one leadership.

    A move is first recorded in the log, then ordered from the platform.

    `platform`
        Client with `move(vm, pool, holder, fence, seconds)` and
        `list_vms(seconds)`.
    `source_pool_by_vm`
        The spare pool that a VM was taken from, until the platform's answer
        settles the move.
    `unordered_spare_vms`
        Spare VMs whose move this leadership begins and has not ordered yet.
    `vms_in_call`
        VMs with a call to the platform in progress.
    `done`
        Moves, as pairs of VM and pool, that the platform has confirmed.
    `impossible`
        Pairs of VM kind and pool that the platform has refused.
    `moved_at_by_vm`
        When the platform confirmed a move whose VM has not registered since.
    `wanted_by_pool`, `idle_by_pool`
        How many VMs each pool wanted, and how many of its VMs were idle, at the last
        decision.
    `has_shortage`
        Whether a pool wants more VMs than it has, begun moves included.
    `wake`
        Event that is set when work arrives, to trigger a decision at once.
    """

    def __init__(self, session, platform, terms, move_seconds):
        super().__init__(session, terms, move_seconds)
        self.platform = platform
        self.source_pool_by_vm = {}
        self.unordered_spare_vms = set()
        self.vms_in_call = set()
        self.is_listing = False
        self.done = set()
        self.impossible = set()
        self.moved_at_by_vm = {}
        self.listed_at = 0.0
        self.wake = Event()
        self.wanted_by_pool = {}
        self.idle_by_pool = {}
        self.has_shortage = False
        self.gather_seconds = GATHER_SECONDS

    def run(self):
        """Plan and carry out moves until killed."""
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
            # Measuring a long backlog is slow and must not starve other work.
            took = lease_seconds() - began
            self.gather_seconds = max(
                GATHER_SECONDS,
                DECISION_PAUSE_FACTOR * took,
                self.session.batch_seconds,
            )

    def step(self, config, now):
        """Continue the moves in progress, then plan and begin new ones."""
        self.read_list_if_due(now)
        self.demand.note_arrivals(now)
        table = self.session.table
        for vm, pool in list(table.move_by_vm.items()):
            if (vm, pool) not in self.done:
                self.call_once_at_a_time(vm, pool)
            elif self.is_overdue(vm, now):
                self.session.spawn_guarded("move", self.abandon, vm, pool)
        self.done &= set(table.move_by_vm.items())
        views = list(self.views(config, now))
        self.wanted_by_pool = {view.name: view.wanted for view in views}
        self.idle_by_pool = {view.name: len(view.idle) for view in views}
        is_known = self.demand.is_known(now)
        moves = plan_moves(views, self.terms, self.impossible, is_known)
        for move in list(moves):
            self.proposed_pool_by_vm[move.vm] = move.pool
            self.session.spawn_guarded("move", self.begin, move)
        self.has_shortage = any(
            view.wanted > view.present for view in views if not view.is_spare
        )

    def read_list_if_due(self, now):
        """Read the platform's VM list in the background every `LIST_SECONDS`."""
        if not self.is_listing and now - self.listed_at >= LIST_SECONDS:
            self.listed_at = now
            self.is_listing = True
            self.session.spawn_guarded("move", self.read_list)

    def read_list(self):
        """Read the platform's VM list and update the spare VMs."""
        try:
            listed = self.platform.list_vms(CALL_SECONDS)
        finally:
            self.is_listing = False
        if listed is not None:
            self.apply_vm_list(listed.rows)

    def begin(self, move):
        """Record the beginning of a move, then order it from the platform.

        The hall of a spare VM may have been cordoned since the move was planned.
        """
        try:
            if move.vm in self.spare_pool_by_vm and self.is_cordoned(
                self.hall_of(move.vm)
            ):
                return
            if move.vm in self.spare_pool_by_vm:
                self.unordered_spare_vms.add(move.vm)
            else:
                self.unordered_spare_vms.discard(move.vm)
            is_recorded = self.session.propose(BeginMove(move.vm, move.pool))
        finally:
            self.proposed_pool_by_vm.pop(move.vm, None)
        if is_recorded:
            if move.vm in self.spare_pool_by_vm:
                self.source_pool_by_vm[move.vm] = self.spare_pool_by_vm.pop(move.vm)
            self.call_once_at_a_time(move.vm, move.pool)

    def call_once_at_a_time(self, vm, pool):
        """Order a move, unless a call for the VM is in progress."""
        if vm in self.vms_in_call:
            return
        self.vms_in_call.add(vm)
        self.session.spawn_guarded("move", self.call, vm, pool)

    def call(self, vm, pool):
        """Order a move from the platform and record the outcome.

        The move ends the incarnation that is registered while the move is
        recorded. Nothing is ordered once the move is over: the platform would
        answer `DONE` again, and the incarnation registered by then is the one
        that came by the move and has runs.
        """
        try:
            if self.session.table.move_by_vm.get(vm) != pool:
                log_event("move_step", vm=vm, pool=pool, reply="already over")
                self.unordered_spare_vms.discard(vm)
                return
            if vm in self.unordered_spare_vms and self.is_cordoned(self.hall_of(vm)):
                self.cancel(vm, pool)
                return
            self.unordered_spare_vms.discard(vm)
            minion = self.minion_on(vm)
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
            self.settle(vm, pool, minion, reply)
        finally:
            self.vms_in_call.discard(vm)

    def cancel(self, vm, pool):
        """End the move of a spare VM whose hall was cordoned before it was ordered."""
        log_event("move_step", vm=vm, pool=pool, reply="hall cordoned")
        if self.session.propose(EndMove(vm)):
            self.unordered_spare_vms.discard(vm)
            self.return_to_spare_pool(vm)

    def return_to_spare_pool(self, vm):
        """Count a VM as spare again if it was taken from a spare pool."""
        if vm in self.source_pool_by_vm:
            self.spare_pool_by_vm[vm] = self.source_pool_by_vm.pop(vm)

    def minion_on(self, vm):
        """Return the record of the minion on a VM, or None."""
        table = self.session.table
        return table.minion_by_id.get(table.life_by_vm.get(vm))

    def settle(self, vm, pool, minion, reply):
        """Act on the platform's answer, and record it if it is final."""
        if reply is FleetReply.DONE:
            self.finish(vm, pool, minion)
        elif reply is FleetReply.UNKNOWN_VM:
            self.note_unknown_vm(vm, pool)
            self.session.propose(EndMove(vm))
        elif reply in (FleetReply.BUSY, FleetReply.NOT_IN_WAVE):
            self.hold(vm, BUSY_SECONDS)
            self.session.propose(EndMove(vm))
            self.return_to_spare_pool(vm)
        elif reply is FleetReply.FENCED:
            self.session.fenced(vm)
        elif reply is FleetReply.UNSURE:
            self.hold(vm, UNKNOWN_OUTCOME_SECONDS)

    def note_unknown_vm(self, vm, pool):
        """Handle the answer that the VM is unknown, or not allowed in the pool.

        If the pool has had VMs of this kind, the VM itself is gone, and others
        of the kind may still move there. The hold outlasts the lists that may
        still show the VM.
        """
        kind = self.kind_by_vm.get(vm, "")
        if kind not in self.kinds_by_pool[pool]:
            self.impossible.add((kind, pool))
        self.source_pool_by_vm.pop(vm, None)
        self.hold(vm, UNKNOWN_OUTCOME_SECONDS)

    def is_overdue(self, vm, now):
        """Whether a moved VM should have registered in its new pool by now."""
        moved_at = self.moved_at_by_vm.get(vm, now)
        return now - moved_at > self.move_seconds + self.session.silence_timeout_seconds

    def abandon(self, vm, pool):
        """Record that a move is over although the VM never registered.

        The VM may have crashed for good. Counted as incoming, it would prevent
        a replacement. If it does come, it registers as usual.
        """
        # If the command is not committed, the next try comes after the same time.
        self.moved_at_by_vm[vm] = lease_seconds()
        fence = self.session.fence
        log_event(
            "move_step", vm=vm, pool=pool, fence=fence, reply="VM never registered"
        )
        self.session.propose(EndMove(vm))

    def finish(self, vm, pool, minion):
        """Record that a VM has moved and that its incarnation `minion` has ended.

        A move to a spare pool is over at once, since no minion runs there.
        """
        self.done.add((vm, pool))
        self.moved_at_by_vm[vm] = lease_seconds()
        self.source_pool_by_vm.pop(vm, None)
        self.idle_since_by_vm.pop(vm, None)
        config_pool = self.session.table.config.pool(pool)
        if minion is not None:
            runs = len(self.session.runs_of(minion.id))
            log_event("minion_removed", minion=minion.id, reason="moved", runs=runs)
            command = RemoveMinion(minion.id, wall_ms(), minion.born_ms)
            self.session.propose(command)
        if config_pool is not None and config_pool.is_spare:
            if minion is not None:
                self.hall_by_vm[vm] = minion.hall
            self.spare_pool_by_vm[vm] = pool
            self.hold(vm, self.move_seconds)
            self.session.propose(EndMove(vm))
