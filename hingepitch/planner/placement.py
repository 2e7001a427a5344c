"""
hingepitch.planner.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Placement of jobs: which job runs where. Pure functions over the state
and what the platform shows.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.model.command import EndJob, PlaceJob
from hingepitch.model.explain import vm_obstacles
from hingepitch.model.record import JobState, Life
from hingepitch.planner.step import Propose, RenewTasks, StartTask, StopTask
from hingepitch.planner.view import TaskState

__all__ = ["Suspicion", "plan_jobs", "plan_tasks"]

#: Tries of a job before it counts as failed.
MAX_ATTEMPTS = 3

#: VMs that may be lost under a job before it counts as failed: one that takes
#: its VM away is not started on all the others as well.
MAX_LOSSES = 5

#: Different jobs that must have failed on a VM before it is set aside.
SUSPECT_AFTER = 3
SUSPECT_SECONDS = 60.0

#: Commands to place jobs in one pass; the rest waits for the next.
MAX_PLACED_IN_PASS = 256


class Suspicion:
    """VMs that fail every task, by evidence from different jobs."""

    def __init__(self):
        self.failed_jobs_by_vm = {}
        self.until_by_vm = {}
        self.learned_tasks = set()

    def learn(self, task_by_name, now):
        """Learn from the tasks that ended, once from each."""
        self.learned_tasks &= task_by_name.keys()
        for name, task in task_by_name.items():
            if name in self.learned_tasks or task.state is TaskState.RUNNING:
                continue
            self.learned_tasks.add(name)
            if task.state is TaskState.FAILED:
                self.note_failure(task.vm, name.partition("/")[0], now)
            elif task.state is TaskState.DONE:
                self.note_success(task.vm)

    def note_failure(self, vm, job, now):
        """Note that `job` failed on `vm`."""
        jobs = self.failed_jobs_by_vm.setdefault(vm, set())
        jobs.add(job)
        if len(jobs) >= SUSPECT_AFTER:
            self.until_by_vm[vm] = now + SUSPECT_SECONDS
            jobs.clear()

    def note_success(self, vm):
        """Note that a job ended well on `vm`."""
        self.failed_jobs_by_vm.pop(vm, None)
        self.until_by_vm.pop(vm, None)

    def is_suspect(self, vm, now):
        """Whether `vm` gets no jobs at `now`."""
        return now < self.until_by_vm.get(vm, 0.0)


class Room:
    """What is free on each VM and for each team while a plan is made."""

    def __init__(self, state):
        self.state = state
        self.taken_by_vm = {}
        self.taken_by_team = {}

    def taken(self, jobs, extra):
        """Return `(cores, memory_gb, accelerators)` of jobs and additions."""
        sizes = [size_of(job) for job in jobs] + extra
        return tuple(sum(column) for column in zip(*sizes, strict=True)) or (0, 0, 0)

    def fits(self, job, vm):
        """Whether `job` fits on `vm` beside what is planned there."""
        jobs = self.state.jobs_by_vm[vm.name].values()
        taken = self.taken(jobs, self.taken_by_vm.get(vm.name, []))
        limits = (vm.cores, vm.memory_gb, vm.accelerators)
        return all(
            used + more <= limit
            for used, more, limit in zip(taken, size_of(job), limits, strict=True)
        )

    def within_quota(self, job):
        """Whether the team of `job` may have it."""
        team = self.state.get("team", job.team)
        if team is None:
            return False
        jobs = self.state.jobs_by_team[job.team].values()
        taken = self.taken(jobs, self.taken_by_team.get(job.team, []))
        return (
            taken[0] + job.cores <= team.quota_cores
            and taken[2] + job.accelerators <= team.quota_accelerators
        )

    def take(self, job, vm):
        """Plan `job` on `vm`."""
        self.taken_by_vm.setdefault(vm.name, []).append(size_of(job))
        self.taken_by_team.setdefault(job.team, []).append(size_of(job))


def size_of(job):
    """Return `(cores, memory_gb, accelerators)`."""
    return job.cores, job.memory_gb, job.accelerators


def in_order(jobs):
    """Return the jobs: urgent ones first, then the ones that came first."""
    return sorted(jobs, key=lambda job: (not job.urgent, job.version, job.name))


def best_vm(state, room, job, is_suspect):
    """Return the VM that `job` fills the most, or None."""
    best = None
    for vm in state.vms_by_pool[job.pool].values():
        if vm.life is not Life.LIVE or is_suspect(vm.name):
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


def plan_jobs(state, is_suspect, pools):
    """Yield the placements of the jobs that wait for a VM of `pools`."""
    room = Room(state)
    placed = 0
    wanted = frozenset(pools)
    waiting = state.waiting_job_by_name.values()
    for job in in_order(job for job in waiting if job.pool in wanted):
        if placed >= MAX_PLACED_IN_PASS:
            return
        if not room.within_quota(job):
            continue
        vm = best_vm(state, room, job, is_suspect)
        if vm is not None:
            room.take(job, vm)
            placed += 1
            yield Propose(PlaceJob(job.name, vm.name))


def task_name(job):
    """Return the name of the task of a placed job."""
    return f"{job.name}/{job.lease}"


def plan_tasks(state, view, is_renewal_due):
    """Yield what placed jobs need of the platform, and record their ends."""
    running = []
    for jobs in list(state.jobs_by_vm.values()):
        for job in jobs.values():
            task = view.task_by_name.get(task_name(job))
            if task is None:
                yield StartTask(job.name, job.lease, job.vm, job.run_seconds)
            elif task.state is TaskState.RUNNING:
                if is_unwanted(state, job):
                    yield StopTask(task.name)
                else:
                    running.append(task.name)
            else:
                is_lost = task.state is TaskState.EXPIRED
                after = state_after(job, task)
                yield Propose(EndJob(job.name, job.lease, after, is_lost))
    if running and is_renewal_due:
        yield RenewTasks(tuple(running))


def is_unwanted(state, job):
    """Whether a running job must stop: cancelled, or its VM leaves."""
    vm = state.get("vm", job.vm)
    leaving = vm is None or vm.life is Life.LEAVING
    return job.state is JobState.STOPPING or leaving


def state_after(job, task):
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
