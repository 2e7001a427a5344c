"""
standin.wave_trial
~~~~~~~~~~~~~~~~~~

Simulates maintenance waves and compares the product's policy with simpler
ones on the same seeded fleets.

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

#: Range of the ticks that a reboot takes; drawn at random for each VM.
REBOOT_TICKS = (3, 9)
MAX_TICKS = 5000
LOSS_CHANCE = 0.002
LOST_TICKS = 20
HALLS = 4
VMS_IN_SERVICE = 8
VMS_IN_RACK = 4


@dataclass(slots=True)
class TrialResult:
    """The result of one trial.

    `ticks`
        Duration of the wave.
    `lower_bound`
        Ticks that every policy needs.
    `buffer_cost`
        Unused disruption budget, summed over ticks, as a share of all VM-ticks.
    `moves`
        Number of reboots.
    `refused`
        Number of permits that the state machine refused.
    `broken`
        Number of times that a permit exceeded a disruption budget.
    """

    policy: str
    ticks: int
    lower_bound: int
    buffer_cost: float
    moves: int
    refused: int
    broken: int


class Trial:
    """The simulation of one wave over one fleet under one policy.

    `policy`
        Function of the trial; yields the names of the VMs to reboot.
    `services`
        Number of services of 8 VMs each; some VMs carry two services.
    `seed`
        Seed of the fleet and of the rack losses.
    `with_losses`
        Whether racks are lost at random. Default: True.
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
        """Declare the pool, VMs, services and campaign, and take the planner lease."""
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
        """Return the platform's view of the VMs."""
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
        """Run until all VMs are maintained; return the `TrialResult`.

        Raises `TimeoutError` after `MAX_TICKS`.
        """
        unused_ticks = vm_ticks = 0
        for tick in range(1, MAX_TICKS):
            self.lose_rack(tick)
            self.return_vms(tick)
            if all(vm.maintained_version for vm in self.vms().values()):
                return self.result(tick, unused_ticks / max(1, vm_ticks))
            for name in list(self.policy(self)):
                self.grant(name, tick)
            unused_ticks += self.unused_budget()
            vm_ticks += len(self.vms())
        raise TimeoutError(
            f"{self.policy.__name__}: unmaintained VMs at the tick limit"
        )

    def grant(self, name, tick):
        """Request a permit for a VM and start its reboot if it is granted."""
        boot = f"boot-{self.boots.get(name, 0)}"
        permit = commands.GrantPermit(name, Purpose.MAINTENANCE, boot)
        if not self.send(permit, Role.PLANNER).accepted:
            self.refused += 1
            return
        for service in self.state.services_of(self.vms()[name]):
            self.broken += self.state.count_down(service) > service.max_down
        self.send(commands.MarkDrained(name), Role.PLANNER)
        self.back_at[name] = tick + self.reboot_ticks[name]

    def return_vms(self, tick):
        """Bring back the VMs whose reboot or loss ends by this tick."""
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

    def lose_rack(self, tick):
        """Lose the live VMs of a rack at random; VMs in maintenance are not lost."""
        if not self.with_losses or self.losses.random() > LOSS_CHANCE * 10:
            return
        rack = f"rack-{self.losses.randrange(len(self.vms()) // VMS_IN_RACK)}"
        for vm in list(self.vms().values()):
            if vm.rack == rack and vm.life is VmLifecycle.LIVE:
                self.send(commands.ReportLost(vm.name), Role.PLANNER)
                self.lost_until[vm.name] = tick + LOST_TICKS

    def unused_budget(self):
        """Return the unused disruption budget, summed over the services."""
        return sum(
            max(0, service.max_down - self.state.count_down(service))
            for service in self.state.by_kind["service"].values()
        )

    def lower_bound(self):
        """Return the ticks that every policy needs at least.

        Each service needs the sum of its VMs' reboots divided by its budget.
        """
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
    """Yield the VMs that the product's planner chooses."""
    for step in plan_wave(trial.state, trial.view(), 0, ["pool"]):
        if isinstance(step, Propose):
            yield step.command.vm


def waiting(trial):
    """Return the live VMs that are not yet maintained, ordered by name."""
    return [
        vm
        for name, vm in sorted(trial.vms().items())
        if vm.life is VmLifecycle.LIVE and not vm.maintained_version
    ]


def one_at_a_time(trial):
    """Yield one VM when no other in the fleet is in maintenance."""
    if not trial.back_at:
        for vm in waiting(trial)[:1]:
            yield vm.name


def rack_by_rack(trial):
    """Yield the VMs of one rack at a time; the budgets may refuse some."""
    left = waiting(trial)
    racks_out = {trial.vms()[name].rack for name in trial.back_at}
    racks = racks_out or {vm.rack for vm in left[:1]}
    for vm in left:
        if vm.rack in racks:
            yield vm.name


def random_order(trial):
    """Yield all unmaintained VMs in random order; the budgets may refuse some."""
    left = waiting(trial)
    trial.random.shuffle(left)
    for vm in left:
        yield vm.name


POLICIES = (product, random_order, rack_by_rack, one_at_a_time)


def compare(services, seeds):
    """Return a row for each policy with sums over the same seeds.

    The buffer cost is averaged.
    """
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
    """Print the comparison for today's fleet size and for ten times that size."""
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
