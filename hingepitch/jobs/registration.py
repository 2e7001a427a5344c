"""
hingepitch.jobs.registration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the minions from what they say of themselves: heartbeats and departures.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import replace

from hingepitch.clock import wall_ms
from hingepitch.error import HingepitchError
from hingepitch.jobs.command import (
    BeginIncarnation,
    RegisterMinion,
    RemoveMinion,
    SuspectLife,
)
from hingepitch.jobs.crashes.blame import log_abandoned_jobs, log_crash
from hingepitch.jobs.crashes.crash import NO_BLAME
from hingepitch.jobs.report import ReportKind, classify_report
from hingepitch.log import log_event
from hingepitch.model.command import Role

__all__ = ["MinionRegistration"]

#: Retry delay given to a minion whose message could not be confirmed, in
#: milliseconds.
RETRY_AFTER_MS = 1000


class MinionRegistration:
    """Records minions, and which incarnation of each is the present one.

    `service`
        The `JobService`: its job table, and its `propose`.
    `vms_changing`
        VMs for which a new incarnation is being probed or recorded.
    """

    def __init__(self, service):
        self.service = service
        self.vms_changing = set()

    @property
    def table(self):
        """The replicated job table."""
        return self.service.table

    @property
    def roster(self):
        """The `MinionRoster`, which receives the heartbeats."""
        return self.service.roster

    def note_heartbeat(self, heartbeat):
        """Take a heartbeat, a `NoteBeat`; raise `HingepitchError` if it is refused."""
        minion = replace(heartbeat.minion, sequence=heartbeat.sequence)
        kind = classify_report(self.table, minion)
        known = self.table.minion_by_id.get(minion.id)
        if kind in (ReportKind.LATE, ReportKind.ENDED):
            log_ignored(minion, kind.value, known)
            return
        if kind is ReportKind.CURRENT and not minion.born_ms:
            minion = replace(minion, born_ms=known.born_ms)
        if known is None or known.pool != minion.pool:
            self.require_pool(minion)
        if kind is ReportKind.CURRENT:
            self.accept_heartbeat(minion, heartbeat)
        else:
            self.begin_incarnation(minion, heartbeat, kind)

    def begin_incarnation(self, minion, heartbeat, kind):
        """Take the first heartbeat of an incarnation.

        One that replaces another must answer a probe. Only one record per VM is in
        progress at a time: an incarnation whose record takes long may have ended by
        then, and would end the one that came after it.
        """
        if minion.vm in self.vms_changing:
            raise HingepitchError("life_absent", minion.id, RETRY_AFTER_MS)
        self.vms_changing.add(minion.vm)
        try:
            if kind is ReportKind.OTHER or minion.vm in self.table.life_by_vm:
                self.require_present(minion)
            self.accept_heartbeat(minion, heartbeat)
        finally:
            self.vms_changing.discard(minion.vm)

    def accept_heartbeat(self, minion, heartbeat):
        """Note a heartbeat, and record the minion if its record has changed."""
        if not self.roster.note(heartbeat):
            log_ignored(minion, "overtaken", self.table.minion_by_id.get(minion.id))
            return
        if self.table.minion_by_id.get(minion.id) != minion:
            self.register(minion)
            log_event(
                "minion_registered",
                minion=minion.id,
                vm=minion.vm,
                pool=minion.pool,
                draining=minion.is_draining,
                sequence=heartbeat.sequence,
                born=minion.born_ms,
            )
        self.roster.pass_heartbeat(heartbeat)

    def register(self, minion):
        """Record a minion; a new incarnation takes the place of the one before."""
        known = self.table.minion_by_id.get(minion.id)
        if classify_report(self.table, minion) is ReportKind.OTHER:
            if known is not None and known.born_ms:
                self.suspect(minion.id)
            command = BeginIncarnation(minion, wall_ms())
        else:
            command = RegisterMinion(minion, wall_ms())
        before = self.table.life_by_vm.get(minion.vm, minion.id)
        if before != minion.id:
            self.suspect(before)
        blame = self.table.crashes.blame_by_life.get(before, NO_BLAME)
        runs = len(self.table.runs_by_minion.get(before, ()))
        self.service.propose(Role.DISPATCHER, command)
        if before != minion.id:
            reason = f"{minion.id} replaced it"
            log_event("minion_removed", minion=before, reason=reason, runs=runs)
        elif isinstance(command, BeginIncarnation) and known is not None:
            log_restarted(known, minion, runs)
        log_abandoned_jobs(self.table, before, blame)

    def suspect(self, life):
        """Record the suspects for the end of an incarnation, before the end itself."""
        blame = self.roster.blame_for(life)
        if blame.exposed:
            log_crash(life, blame)
            self.service.propose(Role.DISPATCHER, SuspectLife(life, blame))

    def require_present(self, minion):
        """Raise `life_absent` unless a replacing incarnation answers a probe.

        Its heartbeat may have been delayed since before the other incarnation
        began. Ending the other one would then start its runs a second time. A live
        incarnation sends its heartbeat again, or to another replica.
        """
        other = self.table.life_by_vm.get(minion.vm)
        is_present = self.roster.is_present(minion)
        if is_present and self.table.life_by_vm.get(minion.vm) == other:
            return
        log_event("life_not_present", minion=minion.id, vm=minion.vm, other=other)
        raise HingepitchError("life_absent", minion.id, RETRY_AFTER_MS)

    def require_pool(self, minion):
        """Raise `bad_object` if the configuration lacks the pool of a minion."""
        config = self.table.config
        if config is not None and config.pool(minion.pool) is None:
            raise HingepitchError("bad_object", f"no pool {minion.pool}")

    def note_leaving(self, minion_id):
        """Record that a minion has left, as planned."""
        minion = self.table.minion_by_id.get(minion_id)
        if minion is None:
            return
        if minion.is_successor:
            self.require_ended(minion)
        runs = len(self.table.runs_by_minion.get(minion_id, ()))
        command = RemoveMinion(minion_id, wall_ms(), minion.born_ms)
        self.service.propose(Role.DISPATCHER, command)
        log_event("minion_removed", minion=minion_id, reason="left", runs=runs)

    def require_ended(self, minion):
        """Raise `life_present` unless a minion that is said to have left is gone.

        The message names the id alone, so it may have been delayed since an
        incarnation before this one. Runs are freed by their lease in any case.
        """
        if self.roster.has_ended(minion):
            return
        log_event("leave_ignored", minion=minion.id, born=minion.born_ms)
        raise HingepitchError("life_present", minion.id, RETRY_AFTER_MS)


def log_ignored(minion, reason, known):
    """Log a heartbeat that is acknowledged and has no effect.

    `known`
        The record of the minion, or None.
    """
    log_event(
        "heartbeat_ignored",
        minion=minion.id,
        reason=reason,
        draining=minion.is_draining,
        sequence=minion.sequence,
        born=minion.born_ms,
        known=known.sequence if known else 0,
        known_born=known.born_ms if known else 0,
    )


def log_restarted(known, minion, runs):
    """Log that a minion has started again under its id.

    `runs`
        Number of runs recorded on it, which are yet to be settled.
    """
    log_event(
        "minion_restarted",
        minion=minion.id,
        vm=minion.vm,
        born=minion.born_ms,
        before=known.born_ms,
        runs=runs,
    )
