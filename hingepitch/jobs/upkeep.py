"""
hingepitch.jobs.upkeep
~~~~~~~~~~~~~~~~~~~~~~

Upkeep waves: VMs are emptied, taken down and awaited, never more at
once than their wave allows.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.command import BeginUpkeep, SettleUpkeep
from hingepitch.jobs.fleet import FleetReply, VmState
from hingepitch.jobs.record import UpkeepStage
from hingepitch.jobs.watch import UPKEEP_REASON
from hingepitch.log import log_event

__all__ = ["UpkeepDesk", "needed_at_once", "patience_seconds"]

#: Time between two looks at the waves, in seconds.
STEP_SECONDS = 0.2

#: Longest wait for an answer of the platform, in seconds.
CALL_SECONDS = 2.0

#: The platform's list is read at most this often, in seconds: reads are
#: limited. It is believed only if it was read so long after the change.
LIST_SECONDS = 1.0
LIST_LAG_SECONDS = 1.0

#: A VM that is busy and that the platform has not listed for so long is gone, in
#: seconds. Source: two lists, so that one that changed between its pages does
#: not end an upkeep that is still due.
GONE_SECONDS = 2.0

#: Time that one VM takes beyond its upkeep itself: emptying its last stops,
#: two commits, the first message of the new life; in seconds. Source: with 272
#: VMs, half took 1.2 s beyond their upkeep, four of five 2.8 s.
TURNAROUND_SECONDS = 1.2

#: Part of an upkeep after which a life that was not known before is the one that
#: came after it. Source: new lives were known 2.0 s after the order of an upkeep
#: of 2 s; the rest is for the answer to the order.
NEW_LIFE_PART = 0.9

#: Part of the time left in which a wave that meets waiting work is to end.
#: Source: the rest is for a leader's loss (2 s) and for VMs that do not empty.
HASTE_PART = 0.7


def patience_seconds(seconds_left, waiting, max_down, upkeep_seconds):
    """Return how long one VM may wait for its runs to end by themselves.

    The time that is left beyond what the upkeep of the `waiting` VMs needs,
    shared among the batches that are still to come.
    """
    batches = -(-waiting // max_down)
    spare = seconds_left - batches * (upkeep_seconds + TURNAROUND_SECONDS)
    return max(0.0, spare / max(1, batches))


def needed_at_once(seconds_left, waiting, upkeep_seconds):
    """Return how many VMs have to be down at once for a wave to end in time.

    `HASTE_PART` of the time is used, so that a leader's loss does not make
    the wave late.
    """
    each = upkeep_seconds + TURNAROUND_SECONDS
    batches = int(HASTE_PART * seconds_left / each)
    return -(-waiting // max(1, batches))


class UpkeepDesk:
    """Carries out the waves for one leadership.

    `session`
        The leadership: its table, its agents, its commands.
    `platform`
        Client with `upkeep(vm, wave, holder, fence, seconds)` and
        `list_vms(seconds)`.
    `upkeep_seconds`
        How long a VM is down for its upkeep.
    `row_by_vm`, `rows_at`, `is_list_whole`
        The platform's last list, when it was asked for, and whether each of its
        entries could be read.
    `life_before_by_vm`
        The lives that upkeeps of this leadership have ended.
    `unlisted_since_by_vm`
        Since when a VM that is busy is missing from that list.
    """

    def __init__(self, session, platform, upkeep_seconds):
        self.session = session
        self.platform = platform
        self.upkeep_seconds = upkeep_seconds
        self.leaving_since_by_vm = {}
        self.life_before_by_vm = {}
        self.calling = set()
        self.settled_at_by_vm = {}
        self.unlisted_since_by_vm = {}
        self.row_by_vm = {}
        self.rows_at = 0.0
        self.is_list_whole = False
        self.listed_at = 0.0

    @property
    def leaving_lives(self):
        """Lives of minions that get no new runs because of their upkeep."""
        lives = self.session.table.life_by_vm
        return {lives[vm] for vm in self.leaving_since_by_vm if vm in lives}

    def run(self):
        """Carry out the waves until killed."""
        while True:
            gevent.sleep(STEP_SECONDS)
            if not self.session.may_order():
                continue
            for wave in list(self.session.table.wave_by_number.values()):
                if not wave.is_done:
                    self.session.attempt("wave", self.step, wave)

    def step(self, wave):
        """Bring one wave forward."""
        now = lease_seconds()
        for vm, stage in list(wave.stage_by_vm.items()):
            if stage is UpkeepStage.BEGUN:
                self.call_once_at_a_time(wave, vm)
            elif stage is UpkeepStage.ORDERED:
                self.finish_if_back(wave, vm, now)
        self.choose_leaving(wave, now)
        self.empty(wave, now)

    # Choosing and emptying.

    def choose_leaving(self, wave, now):
        """Choose the VMs that are emptied next, the least busy first."""
        chosen = [vm for vm in wave.vms_waiting if vm in self.leaving_since_by_vm]
        free = self.allowed_down(wave) - len(wave.vms_down) - len(chosen)
        moving = self.session.table.move_by_vm
        others = [
            vm for vm in wave.vms_waiting if vm not in chosen and vm not in moving
        ]
        others.sort(key=lambda vm: (len(self.runs_on(vm)), vm))
        for vm in others[: max(0, free)]:
            self.leaving_since_by_vm[vm] = now
            log_event("upkeep_step", wave=wave.number, vm=vm, step="emptying")

    def allowed_down(self, wave):
        """Return how many VMs of a wave may be down at once now.

        While a pool lacks VMs, a wave takes no more of them than it needs to
        end in time: its VMs are missing where work waits.
        """
        if not self.session.mover.is_lacking:
            return wave.max_down
        seconds_left = (wave.due_ms - wall_ms()) / 1000
        waiting = len(wave.vms_waiting)
        needed = needed_at_once(seconds_left, waiting, self.upkeep_seconds)
        return min(wave.max_down, needed)

    def runs_on(self, vm):
        """Return the runs recorded on a VM."""
        life = self.session.table.life_by_vm.get(vm, "")
        return self.session.runs_of(life)

    def empty(self, wave, now):
        """Take the VMs that are empty; stop what has had its time."""
        waiting = wave.vms_waiting
        seconds_left = (wave.due_ms - wall_ms()) / 1000
        patience = patience_seconds(
            seconds_left, len(waiting), wave.max_down, self.upkeep_seconds
        )
        for vm in waiting:
            since = self.leaving_since_by_vm.get(vm)
            if since is None:
                continue
            runs = self.runs_on(vm)
            if not runs:
                self.begin(wave, vm)
            else:
                self.evacuate(list(runs.values()), now - since > patience)

    def evacuate(self, runs, is_late):
        """Stop the lasting tasks that may be away, and what is too slow."""
        for run in runs:
            if (run.task, run.number) in self.session.watch.evacuated:
                continue
            step = self.session.step_of(run)
            if step is None:
                continue
            if step.lasts:
                may_stop = self.session.watch.may_be_away(run, step)
            else:
                may_stop = is_late
            if may_stop:
                self.session.watch.evacuate(run, UPKEEP_REASON)

    # Orders to the platform.

    def begin(self, wave, vm):
        """Record that the upkeep of a VM begins, then order it."""
        life = self.session.table.life_by_vm.get(vm)
        if self.session.propose(BeginUpkeep(wave.number, vm, wall_ms())):
            self.life_before_by_vm[vm] = life
            self.call_once_at_a_time(wave, vm)

    def call_once_at_a_time(self, wave, vm):
        """Order the upkeep of a VM, unless an order is on its way."""
        if vm not in self.calling:
            self.calling.add(vm)
            self.session.spawn_apart("upkeep", self.call, wave, vm)

    def call(self, wave, vm):
        """Order the upkeep of a VM and record what became of it."""
        try:
            reply = self.platform.upkeep(
                vm, wave.number, self.session.name, self.session.fence, CALL_SECONDS
            )
            log_event(
                "upkeep_step",
                wave=wave.number,
                vm=vm,
                step="ordered",
                fence=self.session.fence,
                reply=reply.value,
            )
            self.settle(wave, vm, reply)
        finally:
            self.calling.discard(vm)

    def settle(self, wave, vm, reply):
        """Record the answer of the platform, where it is final."""
        if reply is FleetReply.DONE:
            self.settled_at_by_vm[vm] = lease_seconds()
            self.put_stage(wave, vm, UpkeepStage.ORDERED)
        elif reply in (FleetReply.NOT_IN_WAVE, FleetReply.UNKNOWN_VM):
            self.leaving_since_by_vm.pop(vm, None)
            self.put_stage(wave, vm, UpkeepStage.OVER)
        elif reply is FleetReply.FENCED:
            self.session.fenced(vm)
        elif reply is FleetReply.BUSY and self.is_gone(vm, lease_seconds()):
            log_event("upkeep_step", wave=wave.number, vm=vm, step="gone")
            self.leaving_since_by_vm.pop(vm, None)
            self.put_stage(wave, vm, UpkeepStage.OVER)

    def is_gone(self, vm, now):
        """Whether a VM that is busy was taken away for good.

        Without this a wave never ends that has such a VM, and its order is
        given five times a second.
        """
        self.read_list_if_due(now)
        if not self.is_list_whole or vm in self.row_by_vm:
            self.unlisted_since_by_vm.pop(vm, None)
            return False
        since = self.unlisted_since_by_vm.setdefault(vm, self.rows_at)
        return self.rows_at >= since + GONE_SECONDS

    def put_stage(self, wave, vm, stage):
        """Record how far the upkeep of a VM is."""
        self.session.propose(SettleUpkeep(wave.number, vm, stage))

    def finish_if_back(self, wave, vm, now):
        """Record that a VM is back, once it spoke well after its order."""
        settled_at = self.settled_at_by_vm.setdefault(vm, now)
        life = self.session.table.life_by_vm.get(vm)
        agent = self.session.agent_by_minion.get(life)
        spoke = agent is not None and self.is_back(agent, vm, settled_at)
        if not spoke and not self.is_listed_back(vm, settled_at, now):
            return
        self.leaving_since_by_vm.pop(vm, None)
        self.put_stage(wave, vm, UpkeepStage.OVER)
        log_event("upkeep_step", wave=wave.number, vm=vm, step="over", minion=life)

    def is_back(self, agent, vm, settled_at):
        """Whether the life of `agent` came after an upkeep ordered at `settled_at`.

        Nothing that the life says counts that the upkeep has ended: it may have
        been held back. Where that life is not known, because an earlier leader
        began the upkeep, only a life that is met late is believed.

        A life that is first known late is the next one. Its VM is used again
        1.3 s sooner than by its second beat (half of the VMs of a wave of 112).
        A life from before the order is known at once, unless its first beat
        was late; so nearly the whole upkeep has to be over.
        """
        before = self.life_before_by_vm.get(vm, agent.minion.id)
        if agent.met_at > settled_at + NEW_LIFE_PART * self.upkeep_seconds:
            return True
        if agent.minion.id == before:
            return False
        return agent.beat_at > settled_at + self.upkeep_seconds / 2

    def is_listed_back(self, vm, settled_at, now):
        """Whether the platform lists a VM that stays silent as not in upkeep.

        A VM that is off, in a pool of spares, has no minion that could speak.
        """
        if now < settled_at + self.upkeep_seconds + LIST_LAG_SECONDS:
            return False
        self.read_list_if_due(now)
        row = self.row_by_vm.get(vm)
        is_fresh = self.rows_at > settled_at + self.upkeep_seconds + LIST_LAG_SECONDS
        return is_fresh and row is not None and row.state is not VmState.UPKEEP

    def read_list_if_due(self, now):
        """Read the platform's list, unless that was done lately."""
        if now <= self.listed_at + LIST_SECONDS:
            return
        self.listed_at = now
        listed = self.platform.list_vms(CALL_SECONDS)
        if listed is None:
            return
        self.row_by_vm = {row.vm: row for row in listed.rows}
        self.rows_at = now
        # A VM that is missing may be one whose entry could not be read.
        self.is_list_whole = not listed.unread
