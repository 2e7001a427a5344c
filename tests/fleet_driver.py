"""Drives a random fleet with the real state machine and planning functions."""

import random
from dataclasses import replace

from hingepitch.model import command as commands
from hingepitch.model.apply import apply
from hingepitch.model.command import Envelope, Role
from hingepitch.model.record import JobState, Purpose, VmLifecycle
from hingepitch.model.state import State
from hingepitch.planner.placement import plan_jobs
from hingepitch.planner.scope import PassScope
from hingepitch.planner.step import CheckDrained, Propose, Reboot
from hingepitch.planner.view import PlatformView, PlatformVm
from hingepitch.planner.wave import plan_drains, plan_health, plan_moves, plan_wave

PARTNERS = ("left", "right")
HALLS = 4


class InvariantViolation(AssertionError):
    """An invariant of the fleet is violated."""


class FakePlatform:
    """A platform whose VMs reboot at once, fail and recover."""

    def __init__(self):
        self.vm_by_name = {}
        self.seen = set()

    def add(self, name):
        self.vm_by_name[name] = PlatformVm(name, True, f"{name}-0")

    def reboot(self, name, request_id):
        if request_id not in self.seen:
            self.seen.add(request_id)
            vm = self.vm_by_name[name]
            fresh = f"{name}-{len(self.seen)}"
            self.vm_by_name[name] = replace(vm, boot_id=fresh)

    def set_healthy(self, name, healthy):
        self.vm_by_name[name] = replace(self.vm_by_name[name], healthy=healthy)

    def view(self):
        since = {vm.name: 0.0 for vm in self.vm_by_name.values() if not vm.healthy}
        return PlatformView(dict(self.vm_by_name), {}, since)


class FleetDriver:
    """Runs random events and checks the invariants after each command.

    Raises `InvariantViolation` when an invariant is violated.

    `decide`
        The state machine's function that applies a command.
    `copy`
        The planner's copy of the state.
    """

    def __init__(self, seed, decide=apply):
        self.random = random.Random(seed)
        self.decide = decide
        self.state = State()
        self.copy = State()
        self.scope = PassScope()
        self.view = PlatformView()
        self.platform = FakePlatform()
        self.index = 0
        self.now = 1000
        self.fence = 0
        self.jobs = 0
        self.refusals = []
        self.build()

    def execute(self, command, role=Role.OPERATOR, partner="", fence=0):
        self.index += 1
        down_before = self.down_by_service()
        envelope = Envelope(
            role, partner, "someone", command, fence=fence, at_seconds=self.now
        )
        outcome = self.decide(self.state, envelope, self.index)
        if not outcome.accepted:
            self.refusals.append(outcome.code)
        self.check(command, down_before)
        return outcome

    def build(self):
        for partner in PARTNERS:
            for number in range(2):
                pool = commands.PutPool(f"{partner}-{number}", "", "spare=yes")
                self.execute(pool, partner=partner)
            for number in range(12):
                self.add_vm(partner, number)
            for number in range(3):
                self.put_service(partner, number)
            self.execute(commands.PutTeam(f"{partner}-team", 40, 4), partner=partner)
            self.execute(commands.PutCampaign(f"{partner}-c"), partner=partner)

    def add_vm(self, partner, number):
        name = f"{partner[0]}{number}"
        self.platform.add(name)
        vm = commands.PutVm(
            name,
            f"{partner}-{number % 2}",
            f"hall-{number % HALLS}",
            f"rack-{number // 4}",
            "10.0.0.1",
            self.labels(),
            cores=8,
            memory_gb=8,
        )
        self.execute(vm, partner=partner)

    def labels(self):
        labels = {"tier": self.random.choice("abc")}
        if self.random.random() < 0.3:
            labels["spare"] = "yes"
        return labels

    def put_service(self, partner, number):
        selector = self.random.choice(["", "tier=a", "tier in (a,b)", "tier!=c"])
        service = commands.PutService(
            f"{partner}-s{number}",
            f"{partner}-{number % 2}",
            80,
            selector,
            max_down=self.random.randint(0, 3),
        )
        self.execute(service, partner=partner)

    def run(self, steps):
        events = (
            [self.plan] * 12
            + [self.lose_vm, self.recover_vms, self.relabel, self.change_service]
            + [
                self.propose_with_wrong_fence,
                self.submit,
                self.propose_random_command,
                self.change_pool,
            ]
        )
        for _ in range(steps):
            self.now += 1
            self.random.choice(events)()

    def plan(self):
        """Run one pass of the planner that stops at a random step."""
        lease = self.execute(commands.TakePlannerLease("p1", 5), Role.PLANNER, "", 0)
        if not lease.accepted:
            return
        self.fence = lease.fence
        view = self.platform.view()
        self.apply_changes(view)
        pools = self.scope.pop_pools(self.copy)
        steps = [
            *plan_health(self.copy, view, 10.0, 1.0),
            *plan_drains(self.copy, view),
            *plan_moves(self.copy, view, pools),
            *plan_wave(self.copy, view, self.now, pools),
            *plan_jobs(self.copy, lambda vm: False, pools),
        ]
        done = self.random.randint(0, len(steps))
        self.scope.is_full |= done < len(steps)
        for step in steps[:done]:
            self.carry_out(step)

    def apply_changes(self, view):
        """Update the planner's copy of the state, as the planner does."""
        version, full, changes = self.state.changes_since("planning", self.copy.version)
        self.scope.is_full |= full
        for change in changes:
            self.scope.add_pools_of_change(self.copy, *change)
        self.copy.apply_changes(changes, version, full)
        self.scope.add_pools_of_view(self.copy, self.view, view)
        self.view = view

    def carry_out(self, step):
        if isinstance(step, Propose):
            self.execute(step.command, Role.PLANNER, fence=self.fence)
        elif isinstance(step, CheckDrained):
            self.execute(commands.MarkDrained(step.vm), Role.PLANNER, fence=self.fence)
        elif isinstance(step, Reboot):
            self.platform.reboot(step.vm, step.request_id)

    def pick_vm(self):
        return self.random.choice(list(self.state.by_kind["vm"].values()))

    def lose_vm(self):
        self.platform.set_healthy(self.pick_vm().name, False)

    def recover_vms(self):
        for name in self.platform.vm_by_name:
            if self.random.random() < 0.5:
                self.platform.set_healthy(name, True)

    def relabel(self):
        vm = self.pick_vm()
        command = commands.PutVm(
            vm.name, vm.pool, vm.hall, vm.rack, vm.ip, self.labels(), 8, 8
        )
        self.execute(command, partner=vm.partner)

    def change_service(self):
        self.put_service(self.random.choice(PARTNERS), self.random.randrange(3))

    def change_pool(self):
        partner = self.random.choice(PARTNERS)
        selector = self.random.choice(["", "spare=yes", "tier=a"])
        pool = commands.PutPool(f"{partner}-1", selector, "spare=yes", floor=2)
        self.execute(pool, partner=partner)

    def propose_with_wrong_fence(self):
        """Propose a permit with a fence that is usually not the current one."""
        vm = self.pick_vm()
        stale = self.random.choice([0, 1, self.fence + 1])
        grant = commands.GrantPermit(vm.name, Purpose.MAINTENANCE, "x")
        self.execute(grant, Role.PLANNER, fence=stale)

    def propose_random_command(self):
        """Propose a random command as a faulty planner that holds the lease."""
        vm, other = self.pick_vm(), self.pick_vm()
        command = self.random.choice(
            [
                commands.GrantPermit(vm.name, Purpose.MAINTENANCE, "x"),
                commands.GrantPermit(vm.name, Purpose.MOVE, "x", other.pool),
                commands.MoveVm(vm.name, vm.pool, other.pool),
                commands.ReturnVm(vm.name, "x"),
                commands.MarkDrained(vm.name),
                commands.ReportLost(vm.name),
                *(commands.PlaceJob(job, vm.name) for job in self.waiting()),
            ]
        )
        self.execute(command, Role.PLANNER, fence=self.fence)

    def waiting(self):
        return list(self.state.waiting_job_by_name)[:3]

    def submit(self):
        self.jobs += 1
        partner = self.random.choice(PARTNERS)
        cores = self.random.choice([1, 2, 9])
        job = commands.SubmitJob(
            f"job-{self.jobs}", f"{partner}-team", f"{partner}-0", cores=cores
        )
        self.execute(job, partner=partner)

    def down_by_service(self):
        """Return the number of VMs down by service, counted without the indexes."""
        counts = {}
        for service in self.state.by_kind["service"].values():
            counts[service.name] = sum(
                vm.life is not VmLifecycle.LIVE for vm in self.state.minions(service)
            )
        return counts

    def check(self, command, down_before):
        self.check_budgets(command, down_before)
        self.check_pools()
        self.check_jobs()

    def check_budgets(self, command, down_before):
        """Check the budgets; only a lost VM or the owner's change may exceed one."""
        excused = (commands.ReportLost, commands.PutService)
        for name, down in self.down_by_service().items():
            service = self.state.get("service", name)
            grew = down > down_before.get(name, 0)
            if grew and down > service.max_down and not isinstance(command, excused):
                raise InvariantViolation(f"budget of {name} exceeded after {command}")
        permits = self.state.by_kind["permit"]
        for vm in self.state.by_kind["vm"].values():
            if (
                vm.life in (VmLifecycle.LEAVING, VmLifecycle.DRAINED)
                and vm.name not in permits
            ):
                raise InvariantViolation(f"{vm.name} is down without a permit")

    def check_pools(self):
        seen = [name for vms in self.state.vms_by_pool.values() for name in vms]
        if sorted(seen) != sorted(self.state.by_kind["vm"]):
            raise InvariantViolation("a VM is not in exactly one pool")

    def check_jobs(self):
        for name, jobs in self.state.jobs_by_vm.items():
            vm = self.state.get("vm", name)
            if sum(job.cores for job in jobs.values()) > vm.cores:
                raise InvariantViolation(
                    f"{name} runs jobs with more cores than it has"
                )
        for team in self.state.by_kind["team"].values():
            placed = self.state.jobs_by_team[team.name].values()
            if sum(job.cores for job in placed) > team.quota_cores:
                raise InvariantViolation(f"jobs exceed the quota of {team.name}")

    def settle(self):
        """End all faults and run the planner until the maintenance should be done."""
        for name in self.platform.vm_by_name:
            self.platform.set_healthy(name, True)
        for number in range(3):
            for partner in PARTNERS:
                service = commands.PutService(
                    f"{partner}-s{number}", f"{partner}-{number % 2}", 80, "", 1
                )
                self.execute(service, partner=partner)
        for job in list(self.state.by_kind["job"].values()):
            if job.state is JobState.RUNNING:
                end = commands.EndJob(job.name, job.lease, JobState.DONE)
                self.plan()
                self.execute(end, Role.PLANNER, fence=self.fence)
        for _ in range(400):
            self.now += 1
            self.plan()
            for job in list(self.state.by_kind["job"].values()):
                if job.state is JobState.RUNNING:
                    end = commands.EndJob(job.name, job.lease, JobState.DONE)
                    self.execute(end, Role.PLANNER, fence=self.fence)

    def unmaintained(self):
        return [
            vm.name
            for vm in self.state.by_kind["vm"].values()
            if not vm.maintained_version or vm.life is not VmLifecycle.LIVE
        ]
