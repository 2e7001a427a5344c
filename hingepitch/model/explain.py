"""
hingepitch.model.explain
~~~~~~~~~~~~~~~~~~~~~~~~

Explains why a VM may not leave for maintenance and why a job waits.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from functools import partial

from hingepitch.error import HingepitchError
from hingepitch.model.record import JobState, VmLifecycle
from hingepitch.model.selector import matches

__all__ = ["explain", "job_obstacles", "leave_obstacles", "vm_obstacles"]


def leave_obstacles(state, vm):
    """Yield each reason why `vm` may not leave for maintenance now."""
    if vm.life is not VmLifecycle.LIVE:
        yield f"the VM is {vm.life.value}"
    for service in state.services_of(vm):
        down = state.count_down(service)
        if down >= service.max_down:
            yield f"service {service.name}: {down} of {service.max_down} down"


def vm_obstacles(state, job, vm):
    """Yield each reason why `job` may not run on `vm` now."""
    if vm.life is not VmLifecycle.LIVE:
        yield f"VM {vm.life.value}"
    if not matches(job.selector, vm.labels):
        yield "selector"
    jobs = state.jobs_by_vm[vm.name].values()
    for size in ("cores", "memory_gb", "accelerators"):
        if getattr(job, size) > getattr(vm, size):
            yield f"{size}: larger than the VM"
        elif sum(getattr(other, size) for other in jobs) + getattr(job, size) > getattr(
            vm, size
        ):
            yield f"{size}: taken"


def job_obstacles(state, job):
    """Yield each reason why `job` waits, with the number of VMs that it excludes."""
    if job.state is not JobState.WAITING:
        yield f"the job is {job.state.value}"
        return
    team = state.get("team", job.team)
    placed = state.jobs_by_team[job.team].values()
    for size in ("cores", "accelerators"):
        taken = sum(getattr(other, size) for other in placed)
        quota = getattr(team, f"quota_{size}") if team else 0
        if taken + getattr(job, size) > quota:
            yield f"quota of team {job.team}: {taken} of {quota} {size} taken"
    counts = {}
    vms = state.vms_by_pool[job.pool].values()
    for vm in vms:
        for reason in vm_obstacles(state, job, vm):
            counts[reason] = counts.get(reason, 0) + 1
    for reason, count in sorted(counts.items()):
        yield f"{reason} ({count} of {len(vms)} VMs)"


def explain(state, kind, name):
    """Return the obstacles of one VM or job, as plain values.

    Raises `HingepitchError` (`unknown_object`, or `bad_request` for a kind that
    has no explanation).
    """
    record = state.by_kind.get(kind, {}).get(name)
    if record is None:
        raise HingepitchError("unknown_object", f"no {kind} {name}")
    obstacles_by_kind = {
        "vm": partial(leave_obstacles, state),
        "job": partial(job_obstacles, state),
    }
    if kind not in obstacles_by_kind:
        raise HingepitchError("bad_request", f"cannot explain objects of kind {kind}")
    reasons = list(obstacles_by_kind[kind](record))
    return {"kind": kind, "name": name, "obstacles": reasons}
