"""
hingepitch.planner.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement of jobs on VMs and control of their tasks, as pure functions of the
state and the view of the platform.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.model.command import EndJob, PlaceJob
from hingepitch.model.explain import vm_obstacles
from hingepitch.model.record import JobState, VmLifecycle
from hingepitch.planner.step import Propose, RenewTasks, StartTask, StopTask
from hingepitch.planner.view import TaskState

__all__ = ["VmQuarantine", "plan_jobs", "plan_tasks"]

#: Attempts of a job after which it counts as failed.
MAX_ATTEMPTS = 3

#: Losses of its VM after which a job counts as failed. The limit stops a job that
#: crashes its VM from being started on all the others.
MAX_LOSSES = 5

#: A VM is quarantined once this number of different jobs have failed on it.
QUARANTINE_AFTER_FAILED_JOBS = 3
QUARANTINE_SECONDS = 60.0

#: Jobs placed in one pass; the remaining ones wait for the next pass.
MAX_PLACEMENTS_PER_PASS = 256


class VmQuarantine:
    """Quarantines VMs on which different jobs fail without a success in between.

    A job that succeeds on a VM also ends the quarantine of the VM.
    """

    def __init__(self):
        self.failed_jobs_by_vm = {}
        self.quarantined_until_by_vm = {}
        self.counted_tasks = set()

    def count_ended_tasks(self, task_by_name, now):
        """Count the tasks that ended, each only once."""
        self.counted_tasks &= task_by_name.keys()
        for name, task in task_by_name.items():
            if name in self.counted_tasks or task.state is TaskState.RUNNING:
                continue
            self.counted_tasks.add(name)
            if task.state is TaskState.FAILED:
                self.count_failure(task.vm, name.partition("/")[0], now)
            elif task.state is TaskState.DONE:
                self.clear_failures(task.vm)

    def count_failure(self, vm, job, now):
        """Count a failure of `job` on `vm`; quarantine `vm` at the limit."""
        jobs = self.failed_jobs_by_vm.setdefault(vm, set())
        jobs.add(job)
        if len(jobs) >= QUARANTINE_AFTER_FAILED_JOBS:
            self.quarantined_until_by_vm[vm] = now + QUARANTINE_SECONDS
            jobs.clear()

    def clear_failures(self, vm):
        """Clear the failures and the quarantine of `vm`."""
        self.failed_jobs_by_vm.pop(vm, None)
        self.quarantined_until_by_vm.pop(vm, None)

    def is_quarantined(self, vm, now):
        """Whether `vm` is quarantined at `now` and gets no jobs."""
        return now < self.quarantined_until_by_vm.get(vm, 0.0)


class FreeCapacity:
    """Free capacity of VMs and free quota of teams, less what the plan uses so far."""

    def __init__(self, state):
        self.state = state
        self.planned_sizes_by_vm = {}
        self.planned_sizes_by_team = {}

    def total_size(self, jobs, extra):
        """Return the total size of `jobs` and of the sizes in `extra`.

        Sizes are `(cores, memory_gb, accelerators)`.
        """
        sizes = [size_of(job) for job in jobs] + extra
        return tuple(sum(column) for column in zip(*sizes, strict=True)) or (0, 0, 0)

    def fits(self, job, vm):
        """Whether `job` fits on `vm` beside the running and planned jobs."""
        jobs = self.state.jobs_by_vm[vm.name].values()
        taken = self.total_size(jobs, self.planned_sizes_by_vm.get(vm.name, []))
        limits = (vm.cores, vm.memory_gb, vm.accelerators)
        return all(
            used + more <= limit
            for used, more, limit in zip(taken, size_of(job), limits, strict=True)
        )

    def within_quota(self, job):
        """Whether `job` fits into the quota of its team."""
        team = self.state.get("team", job.team)
        if team is None:
            return False
        jobs = self.state.jobs_by_team[job.team].values()
        taken = self.total_size(jobs, self.planned_sizes_by_team.get(job.team, []))
        return (
            taken[0] + job.cores <= team.quota_cores
            and taken[2] + job.accelerators <= team.quota_accelerators
        )

    def reserve(self, job, vm):
        """Reserve capacity of `vm` and quota of the team for the planned `job`."""
        self.planned_sizes_by_vm.setdefault(vm.name, []).append(size_of(job))
        self.planned_sizes_by_team.setdefault(job.team, []).append(size_of(job))


def size_of(job):
    """Return the size of `job` as `(cores, memory_gb, accelerators)`."""
    return job.cores, job.memory_gb, job.accelerators


def sort_by_urgency(jobs):
    """Return the jobs sorted: urgent ones first, then by version and name."""
    return sorted(jobs, key=lambda job: (not job.urgent, job.version, job.name))


def best_vm(state, room, job, is_quarantined):
    """Return the VM on which to place `job`, or None if it fits on no VM.

    Prefers VMs with few accelerators, then VMs with few spare cores, where each
    placed job counts as one core.
    """
    best = None
    for vm in state.vms_by_pool[job.pool].values():
        if vm.life is not VmLifecycle.LIVE or is_quarantined(vm.name):
            continue
        if any(True for _ in vm_obstacles(state, job, vm)):
            continue
        if not room.fits(job, vm):
            continue
        spare = vm.cores - len(state.jobs_by_vm[vm.name])
        key = (vm.accelerators, spare, vm.name)
        if best is None or key < best[0]:
            best = (key, vm)
    return best and best[1]


def plan_jobs(state, is_quarantined, pools):
    """Yield placements of the jobs that wait for a VM of `pools`."""
    room = FreeCapacity(state)
    placed = 0
    wanted = frozenset(pools)
    waiting = state.waiting_job_by_name.values()
    for job in sort_by_urgency(job for job in waiting if job.pool in wanted):
        if placed >= MAX_PLACEMENTS_PER_PASS:
            return
        if not room.within_quota(job):
            continue
        vm = best_vm(state, room, job, is_quarantined)
        if vm is not None:
            room.reserve(job, vm)
            placed += 1
            yield Propose(PlaceJob(job.name, vm.name))


def task_name(job):
    """Return the name of the platform task of a placed job."""
    return f"{job.name}/{job.lease}"


def plan_tasks(state, view, is_renewal_due):
    """Yield the platform calls for placed jobs and a command for each ended one."""
    running = []
    for jobs in list(state.jobs_by_vm.values()):
        for job in jobs.values():
            task = view.task_by_name.get(task_name(job))
            if task is None:
                yield StartTask(job.name, job.lease, job.vm, job.run_seconds)
            elif task.state is TaskState.RUNNING:
                if must_stop(state, job):
                    yield StopTask(task.name)
                else:
                    running.append(task.name)
            else:
                is_lost = task.state is TaskState.EXPIRED
                after = next_job_state(job, task)
                yield Propose(EndJob(job.name, job.lease, after, is_lost))
    if running and is_renewal_due:
        yield RenewTasks(tuple(running))


def must_stop(state, job):
    """Whether a running job must stop: it is cancelled, or its VM is leaving."""
    vm = state.get("vm", job.vm)
    leaving = vm is None or vm.life is VmLifecycle.LEAVING
    return job.state is JobState.STOPPING or leaving


def next_job_state(job, task):
    """Return the state of a job whose task has ended."""
    if job.state is JobState.STOPPING:
        return JobState.CANCELLED
    if task.state is TaskState.DONE:
        return JobState.DONE
    if task.state is TaskState.FAILED and job.attempts >= MAX_ATTEMPTS:
        return JobState.FAILED
    if task.state is TaskState.EXPIRED and job.losses + 1 >= MAX_LOSSES:
        return JobState.FAILED
    return JobState.WAITING
