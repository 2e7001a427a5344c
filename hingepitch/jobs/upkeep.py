"""
hingepitch.jobs.upkeep
~~~~~~~~~~~~~~~~~~~~~~

Carries out maintenance waves: drains VMs, orders their maintenance and waits
until they are back, within the number of VMs that a wave allows to be down.

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

__all__ = ["UpkeepController", "required_concurrency", "drain_grace_seconds"]

#: Time between two passes over the waves, in seconds.
STEP_SECONDS = 0.2

#: Timeout of a call to the platform, in seconds.
CALL_SECONDS = 2.0

#: Shortest time between two reads of the platform's VM list, in seconds, since
#: the platform limits reads; and how long after a change a list must have been
#: read to be trusted.
LIST_SECONDS = 1.0
LIST_LAG_SECONDS = 1.0

#: A VM that the platform calls busy but has not listed for this time is gone,
#: in seconds. The time covers two reads of the list, so that a list that changes
#: between its pages does not end a maintenance that is still due.
GONE_SECONDS = 2.0

#: Time that a VM takes beyond the maintenance itself, in seconds: its last runs
#: stop, two commands are committed, and the new incarnation reports. With 272 VMs,
#: the median is 1.2 s and the 80th percentile 2.8 s.
TURNAROUND_SECONDS = 1.2

#: A minion incarnation that is first known later than this part of the maintenance
#: time after the order is the one that followed the maintenance. New incarnations
#: are known 2.0 s after the order of a maintenance of 2 s; the margin covers the
#: delay of the answer to the order.
NEW_INCARNATION_PART = 0.9

#: Part of the remaining time in which a wave is to end while tasks wait for VMs.
#: The rest covers a change of leader (2 s) and VMs that are slow to drain.
DEADLINE_PART = 0.7


def drain_grace_seconds(seconds_left, waiting, max_down, upkeep_seconds):
    """Return how long a VM may drain before its runs are stopped, in seconds.

    The time that is left beyond the maintenance of the `waiting` VMs, divided
    by the number of batches of `max_down` VMs that are still to come.
    """
    batches = -(-waiting // max_down)
    spare = seconds_left - batches * (upkeep_seconds + TURNAROUND_SECONDS)
    return max(0.0, spare / max(1, batches))


def required_concurrency(seconds_left, waiting, upkeep_seconds):
    """Return how many VMs must be down at once for a wave to meet its deadline.

    Plans with `DEADLINE_PART` of the time that is left, so that a change of
    leader does not make the wave late.
    """
    each = upkeep_seconds + TURNAROUND_SECONDS
    batches = int(DEADLINE_PART * seconds_left / each)
    return -(-waiting // max(1, batches))


class UpkeepController:
    """Carries out maintenance waves during one leadership.

    `session`
        The `Session` of the leadership.
    `platform`
        Client with `upkeep(vm, wave, holder, fence, seconds)` and
        `list_vms(seconds)`.
    `upkeep_seconds`
        How long a VM is down for its maintenance.
    `leaving_since_by_vm`
        When the draining of each chosen VM began; kept until it is back.
    `minion_before_by_vm`
        Records of the incarnations that the maintenance ordered by this leadership
        ends.
    `vms_in_call`
        VMs with a call to the platform in progress.
    `settled_at_by_vm`
        When the platform confirmed the order of a maintenance.
    `unlisted_since_by_vm`
        Since when a VM that the platform calls busy is missing from its list.
    `row_by_vm`, `rows_at`, `is_list_complete`
        The platform's last list, when it was requested, and whether all of its
        entries could be read.
    """

    def __init__(self, session, platform, upkeep_seconds):
        self.session = session
        self.platform = platform
        self.upkeep_seconds = upkeep_seconds
        self.leaving_since_by_vm = {}
        self.minion_before_by_vm = {}
        self.vms_in_call = set()
        self.settled_at_by_vm = {}
        self.unlisted_since_by_vm = {}
        self.row_by_vm = {}
        self.rows_at = 0.0
        self.is_list_complete = False
        self.listed_at = 0.0

    @property
    def leaving_incarnations(self):
        """Incarnations of minions that get no new runs because of maintenance."""
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
        """Advance one wave: VMs in maintenance first, then the next to drain."""
        now = lease_seconds()
        for vm, stage in list(wave.stage_by_vm.items()):
            if stage is UpkeepStage.BEGUN:
                self.call_once_at_a_time(wave, vm)
            elif stage is UpkeepStage.ORDERED:
                self.finish_if_back(wave, vm, now)
        self.choose_leaving(wave, now)
        self.drain_leaving(wave, now)

    def choose_leaving(self, wave, now):
        """Choose the VMs to drain next, in their `leaving_order`."""
        chosen = [vm for vm in wave.vms_waiting if vm in self.leaving_since_by_vm]
        taken = len(wave.vms_down) + len(chosen)
        moving = self.session.table.move_by_vm
        others = [
            vm for vm in wave.vms_waiting if vm not in chosen and vm not in moving
        ]
        others.sort(key=self.leaving_order)
        # The idle ones of cordoned halls are first in this order.
        unused = sum(map(self.is_idle_in_cordoned_hall, others))
        free = self.allowed_down(wave) - taken
        count = max(0, free, min(unused, wave.max_down - taken))
        for vm in others[:count]:
            self.leaving_since_by_vm[vm] = now
            log_event("upkeep_step", wave=wave.number, vm=vm, step="emptying")

    def is_idle_in_cordoned_hall(self, vm):
        """Whether a VM has no runs and gets none: waiting tasks cannot use it."""
        return self.is_in_cordoned_hall(vm) and not self.runs_on(vm)

    def is_in_cordoned_hall(self, vm):
        """Whether no run may start in the hall of a VM."""
        return self.session.mover.hall_of(vm) in self.session.table.cordons

    def leaving_order(self, vm):
        """Return the sort key by which VMs leave for their maintenance.

        VMs of cordoned halls go first, as they get no new runs, then those with the
        fewest runs. A VM with a long-running task has no precedence, since it may
        have to wait until there is room for the task elsewhere.
        """
        runs = self.runs_on(vm)
        steps = map(self.session.step_of, runs.values())
        has_lasting_run = any(step is not None and step.lasts for step in steps)
        goes_first = self.is_in_cordoned_hall(vm) and not has_lasting_run
        return (not goes_first, len(runs), vm)

    def allowed_down(self, wave):
        """Return how many VMs of a wave may be down at once now.

        While a pool is short of VMs, a wave takes down only as many as it needs
        to meet its deadline, since waiting tasks could use the others. Idle VMs of
        cordoned halls are not held back by that.
        """
        if not self.session.mover.has_shortage:
            return wave.max_down
        seconds_left = (wave.due_ms - wall_ms()) / 1000
        waiting = len(wave.vms_waiting)
        needed = required_concurrency(seconds_left, waiting, self.upkeep_seconds)
        return min(wave.max_down, needed)

    def runs_on(self, vm):
        """Return the runs recorded on a VM."""
        life = self.session.table.life_by_vm.get(vm, "")
        return self.session.runs_of(life)

    def drain_leaving(self, wave, now):
        """Begin the maintenance of drained VMs and evacuate the other chosen ones."""
        waiting = wave.vms_waiting
        seconds_left = (wave.due_ms - wall_ms()) / 1000
        grace = drain_grace_seconds(
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
                self.evacuate(list(runs.values()), now - since > grace)

    def evacuate(self, runs, is_late):
        """Stop the runs of a VM that may be stopped now.

        A long-running task is stopped if its disruption budget allows it, any
        other if the VM has drained for longer than its grace (`is_late`).
        """
        for run in runs:
            if (run.task, run.number) in self.session.watch.evacuated:
                continue
            step = self.session.step_of(run)
            if step is None:
                continue
            if step.lasts:
                may_stop = self.session.watch.is_within_budget(run, step)
            else:
                may_stop = is_late
            if may_stop:
                self.session.watch.evacuate(run, UPKEEP_REASON)

    def begin(self, wave, vm):
        """Record the beginning of a VM's maintenance, then order it."""
        table = self.session.table
        minion = table.minion_by_id.get(table.life_by_vm.get(vm))
        if self.session.propose(BeginUpkeep(wave.number, vm, wall_ms())):
            self.minion_before_by_vm[vm] = minion
            self.call_once_at_a_time(wave, vm)

    def call_once_at_a_time(self, wave, vm):
        """Order the maintenance of a VM, unless a call for it is in progress."""
        if vm not in self.vms_in_call:
            self.vms_in_call.add(vm)
            self.session.spawn_guarded("upkeep", self.call, wave, vm)

    def call(self, wave, vm):
        """Order the maintenance of a VM from the platform and record the outcome."""
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
            self.vms_in_call.discard(vm)

    def settle(self, wave, vm, reply):
        """Act on the platform's answer, and record it if it is final."""
        if reply is FleetReply.DONE:
            self.settled_at_by_vm[vm] = lease_seconds()
            self.record_stage(wave, vm, UpkeepStage.ORDERED)
        elif reply in (FleetReply.NOT_IN_WAVE, FleetReply.UNKNOWN_VM):
            self.leaving_since_by_vm.pop(vm, None)
            self.record_stage(wave, vm, UpkeepStage.OVER)
        elif reply is FleetReply.FENCED:
            self.session.fenced(vm)
        elif reply is FleetReply.BUSY and self.is_gone(vm, lease_seconds()):
            log_event("upkeep_step", wave=wave.number, vm=vm, step="gone")
            self.leaving_since_by_vm.pop(vm, None)
            self.record_stage(wave, vm, UpkeepStage.OVER)

    def is_gone(self, vm, now):
        """Whether a VM that the platform calls busy no longer exists.

        Without this check a wave with such a VM would never end, and would
        repeat the order five times a second.
        """
        self.read_list_if_due(now)
        if not self.is_list_complete or vm in self.row_by_vm:
            self.unlisted_since_by_vm.pop(vm, None)
            return False
        since = self.unlisted_since_by_vm.setdefault(vm, self.rows_at)
        return self.rows_at >= since + GONE_SECONDS

    def record_stage(self, wave, vm, stage):
        """Record the stage of a VM's maintenance."""
        self.session.propose(SettleUpkeep(wave.number, vm, stage))

    def finish_if_back(self, wave, vm, now):
        """Record that a VM is back once its minion reports or the list shows it."""
        settled_at = self.settled_at_by_vm.setdefault(vm, now)
        life = self.session.table.life_by_vm.get(vm)
        agent = self.session.agent_by_minion.get(life)
        has_reported = agent is not None and self.is_back(agent, vm, settled_at)
        if not has_reported and not self.is_listed_back(vm, settled_at, now):
            return
        self.leaving_since_by_vm.pop(vm, None)
        self.record_stage(wave, vm, UpkeepStage.OVER)
        log_event("upkeep_step", wave=wave.number, vm=vm, step="over", minion=life)

    def is_back(self, agent, vm, settled_at):
        """Whether the incarnation of `agent` followed a maintenance of its VM.

        `settled_at` is when the platform confirmed the order.

        Messages of the incarnation that the maintenance ended do not count,
        since they may have been delayed. If that incarnation is unknown because
        an earlier leader began the maintenance, only an incarnation that is
        first seen late is accepted.

        An incarnation that is first seen late is the next one. Accepting it
        without a second heartbeat makes its VM usable 1.3 s sooner (median of a
        wave of 112 VMs). An incarnation from before the order is normally known
        at once, but its first heartbeat may be late; so nearly the whole
        maintenance time must have passed.
        """
        before = self.minion_before_by_vm.get(vm, agent.minion)
        if (
            agent.first_seen_at
            > settled_at + NEW_INCARNATION_PART * self.upkeep_seconds
        ):
            return True
        if before is not None and agent.minion.is_same_incarnation(before):
            return False
        return agent.last_heartbeat_at > settled_at + self.upkeep_seconds / 2

    def is_listed_back(self, vm, settled_at, now):
        """Whether the platform's list shows that a VM has left maintenance.

        This covers VMs of spare pools, which are off and have no minion that
        could report.
        """
        if now < settled_at + self.upkeep_seconds + LIST_LAG_SECONDS:
            return False
        self.read_list_if_due(now)
        row = self.row_by_vm.get(vm)
        is_fresh = self.rows_at > settled_at + self.upkeep_seconds + LIST_LAG_SECONDS
        return is_fresh and row is not None and row.state is not VmState.UPKEEP

    def read_list_if_due(self, now):
        """Read the platform's VM list if the last read is `LIST_SECONDS` old."""
        if now <= self.listed_at + LIST_SECONDS:
            return
        self.listed_at = now
        listed = self.platform.list_vms(CALL_SECONDS)
        if listed is None:
            return
        self.row_by_vm = {row.vm: row for row in listed.rows}
        self.rows_at = now
        # A missing VM may be one whose entry could not be read.
        self.is_list_complete = not listed.unread
