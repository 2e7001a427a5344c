"""
standin.wave_trial
~~~~~~~~~~~~~~~~~~

Maintenance waves in simulated time: the product's policy against
simpler ones, on the same seeded fleets.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
from dataclasses import dataclass, replace

from hingepitch.model import command as commands
from hingepitch.model.apply import apply
from hingepitch.model.command import Envelope, Role
from hingepitch.model.record import Purpose, VmLifecycle
from hingepitch.model.state import State
from hingepitch.planner.step import Propose
from hingepitch.planner.view import PlatformView, PlatformVm
from hingepitch.planner.wave import plan_wave
from standin.measure import print_table

#: Ticks that a VM is down for its reboot; drawn for each VM.
REBOOT_TICKS = (3, 9)
MAX_TICKS = 5000
LOSS_CHANCE = 0.002
LOST_TICKS = 20
HALLS = 4
VMS_IN_SERVICE = 8
VMS_IN_RACK = 4


@dataclass(slots=True)
class TrialResult:
    """What one trial came to.

    `buffer_cost`
        Part of the VM-ticks that the budgets held back without use.
    `broken`
        Times that a permit was granted above a budget.
    """

    policy: str
    ticks: int
    lower_bound: int
    buffer_cost: float
    moves: int
    refused: int
    broken: int


class Trial:
    """One fleet of services under one policy.

    `services`
        How many services of 8 VMs each. Some VMs carry two services.
    `seed`
        Seed of the fleet and of the losses.
    """

    def __init__(self, policy, services, seed, with_losses=True):
        self.policy = policy
        self.random = random.Random(seed)
        self.losses = random.Random(seed + 1)
        self.with_losses = with_losses
        self.state = State()
        self.index = 0
        self.fence = 0
        self.back_at = {}
        self.lost_until = {}
        self.boots = {}
        self.refused = 0
        self.broken = 0
        self.build(services)

    def send(self, command, role=Role.OPERATOR):
        """Apply a command; return its outcome."""
        self.index += 1
        envelope = Envelope(role, "partner" * (role is Role.OPERATOR), "trial", command)
        if role is Role.PLANNER:
            envelope = replace(envelope, fence=self.fence)
        return apply(self.state, envelope, self.index)

    def build(self, services):
        """Declare pool, VMs and services; some VMs carry two services."""
        self.send(commands.PutPool("pool"))
        for number in range(services * VMS_IN_SERVICE):
            own = number // VMS_IN_SERVICE
            labels = {f"s{own}": "yes"}
            if self.random.random() < 0.25:
                labels[f"s{self.random.randrange(services)}"] = "yes"
            rack = number // VMS_IN_RACK
            self.send(
                commands.PutVm(
                    f"v{number:04}",
                    "pool",
                    f"hall-{rack % HALLS}",
                    f"rack-{rack}",
                    "10.0.0.1",
                    labels,
                )
            )
        for number in range(services):
            budget = self.random.choice((1, 2, 2, 3))
            self.send(
                commands.PutService(
                    f"s{number}", "pool", 80, f"s{number}", max_down=budget
                )
            )
        self.send(commands.PutCampaign("campaign"))
        lease = commands.TakePlannerLease("trial", 10**9)
        self.fence = self.send(lease, Role.PLANNER).fence
        self.reboot_ticks = {
            name: self.random.randint(*REBOOT_TICKS) for name in self.vms()
        }

    def vms(self):
        """Return the VMs by name."""
        return self.state.by_kind["vm"]

    def view(self):
        """Return what the platform shows."""
        return PlatformView(
            {
                name: PlatformVm(
                    name,
                    name not in self.lost_until and name not in self.back_at,
                    f"boot-{self.boots.get(name, 0)}",
                )
                for name in self.vms()
            }
        )

    def run(self):
        """Run to the end; return the `TrialResult`."""
        idle = spare = 0
        for tick in range(1, MAX_TICKS):
            self.lose(tick)
            self.come_back(tick)
            if all(vm.maintained_version for vm in self.vms().values()):
                return self.result(tick, idle / max(1, spare))
            for name in list(self.policy(self)):
                self.grant(name, tick)
            idle += self.unused_budget()
            spare += len(self.vms())
        raise TimeoutError(f"{self.policy.__name__} did not end")

    def grant(self, name, tick):
        """Take a VM out for its reboot, if the state machine lets it."""
        boot = f"boot-{self.boots.get(name, 0)}"
        permit = commands.GrantPermit(name, Purpose.MAINTENANCE, boot)
        if not self.send(permit, Role.PLANNER).accepted:
            self.refused += 1
            return
        for service in self.state.services_of(self.vms()[name]):
            self.broken += self.state.count_down(service) > service.max_down
        self.send(commands.MarkDrained(name), Role.PLANNER)
        self.back_at[name] = tick + self.reboot_ticks[name]

    def come_back(self, tick):
        """Bring rebooted and lost VMs back."""
        for name, due in list(self.back_at.items()):
            if tick >= due:
                del self.back_at[name]
                self.boots[name] = self.boots.get(name, 0) + 1
                fresh = f"boot-{self.boots[name]}"
                self.send(commands.ReturnVm(name, fresh), Role.PLANNER)
        for name, due in list(self.lost_until.items()):
            if tick >= due:
                del self.lost_until[name]
                self.send(commands.ReportHealthy(name, "x"), Role.PLANNER)

    def lose(self, tick):
        """Lose a rack now and then; VMs that are out are spared."""
        if not self.with_losses or self.losses.random() > LOSS_CHANCE * 10:
            return
        rack = f"rack-{self.losses.randrange(len(self.vms()) // VMS_IN_RACK)}"
        for vm in list(self.vms().values()):
            if vm.rack == rack and vm.life is VmLifecycle.LIVE:
                self.send(commands.ReportLost(vm.name), Role.PLANNER)
                self.lost_until[vm.name] = tick + LOST_TICKS

    def unused_budget(self):
        """Return the VMs that budgets hold back and nothing uses."""
        return sum(
            max(0, service.max_down - self.state.count_down(service))
            for service in self.state.by_kind["service"].values()
        )

    def lower_bound(self):
        """Return the ticks below which no policy can end."""
        bounds = []
        for service in self.state.by_kind["service"].values():
            ticks = sum(
                self.reboot_ticks[vm.name] for vm in self.state.minions(service)
            )
            bounds.append(-(-ticks // service.max_down))
        return max(bounds)

    def result(self, tick, buffer_cost):
        """Return the `TrialResult`."""
        return TrialResult(
            self.policy.__name__.replace("_", " "),
            tick,
            self.lower_bound(),
            buffer_cost,
            sum(self.boots.values()),
            self.refused,
            self.broken,
        )


def product(trial):
    """The product's policy."""
    for step in plan_wave(trial.state, trial.view(), 0, ["pool"]):
        if isinstance(step, Propose):
            yield step.command.vm


def waiting(trial):
    """Return the live VMs that were not maintained, in the order of names."""
    return [
        vm
        for name, vm in sorted(trial.vms().items())
        if vm.life is VmLifecycle.LIVE and not vm.maintained_version
    ]


def one_at_a_time(trial):
    """One VM of the whole fleet at a time."""
    if not trial.back_at:
        for vm in waiting(trial)[:1]:
            yield vm.name


def rack_by_rack(trial):
    """The VMs of one rack, as far as the budgets go, then the next rack."""
    left = waiting(trial)
    racks_out = {trial.vms()[name].rack for name in trial.back_at}
    racks = racks_out or {vm.rack for vm in left[:1]}
    for vm in left:
        if vm.rack in racks:
            yield vm.name


def random_order(trial):
    """All VMs in random order, as far as the budgets go."""
    left = waiting(trial)
    trial.random.shuffle(left)
    for vm in left:
        yield vm.name


POLICIES = (product, random_order, rack_by_rack, one_at_a_time)


def compare(services, seeds):
    """Return rows of sums over the same seeds, for every policy."""
    rows = []
    for policy in POLICIES:
        results = [Trial(policy, services, seed).run() for seed in seeds]
        ticks = sum(result.ticks for result in results)
        bound = sum(result.lower_bound for result in results)
        rows.append(
            (
                results[0].policy,
                ticks,
                f"{ticks / bound:.2f}",
                f"{sum(r.buffer_cost for r in results) / len(results):.3f}",
                sum(result.moves for result in results),
                sum(result.refused for result in results),
                sum(result.broken for result in results),
            )
        )
    return rows


def main():
    """Print the comparison for today's size and for ten times that."""
    columns = (
        "policy",
        "ticks",
        "of lower bound",
        "buffer cost",
        "moves",
        "refused",
        "broken",
    )
    for services, seeds in ((5, range(10)), (50, range(3))):
        title = f"Waves: {services} services of {VMS_IN_SERVICE}, racks lost"
        print_table(title, columns, compare(services, seeds))


if __name__ == "__main__":
    main()
