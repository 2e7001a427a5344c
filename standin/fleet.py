"""
standin.fleet
~~~~~~~~~~~~~

Builds fleets of any size from commands, for measurements.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.model import command as commands
from hingepitch.model.apply import apply
from hingepitch.model.command import Envelope, Role
from hingepitch.model.state import State
from hingepitch.planner.view import PlatformView, PlatformVm

#: Size of the fleet that the product is built for.
VMS = 7100
ACCELERATORS = 16_000
POOLS = 261
TEAMS = 380
HALLS = 9
VMS_IN_RACK = 4

PARTNERS = ("prescriptions", "journeys")


class FleetBuilder:
    """Builds a state by applying commands, as replaying a log would."""

    def __init__(self):
        self.state = State()
        self.index = 0
        self.fence = 0

    def send(self, command, role=Role.OPERATOR, partner="", at_seconds=0):
        """Apply a command; return its outcome."""
        self.index += 1
        envelope = Envelope(
            role,
            partner,
            "builder",
            command,
            fence=self.fence,
            at_seconds=at_seconds,
        )
        return apply(self.state, envelope, self.index)

    def take_lease(self):
        """Take the planner lease, whose fencing token later commands carry."""
        command = commands.TakePlannerLease("builder", 10**9)
        self.fence = self.send(command, Role.PLANNER).fence

    def add_pool(self, number):
        """Add a pool with one service; pools alternate between the partners."""
        partner = PARTNERS[number % len(PARTNERS)]
        name = f"pool-{number}"
        self.send(commands.PutPool(name), partner=partner)
        service = commands.PutService(
            f"service-{number}", name, 8000, "tier=small", max_down=2
        )
        self.send(service, partner=partner)

    def add_vm(self, number, pools):
        """Add a VM; VMs are spread over the pools in turn."""
        pool = number % pools
        rack = number // VMS_IN_RACK
        vm = commands.PutVm(
            name=f"vm-{number}",
            pool=f"pool-{pool}",
            hall=f"hall-{rack % HALLS}",
            rack=f"rack-{rack}",
            ip=f"10.{number >> 16}.{(number >> 8) & 255}.{number & 255}",
            labels={"tier": "small", "generation": f"g{number % 3}"},
            cores=16,
            memory_gb=64,
            accelerators=round(ACCELERATORS / VMS),
        )
        self.send(vm, partner=PARTNERS[pool % len(PARTNERS)])

    def add_team(self, number):
        """Add a team; teams alternate between the partners."""
        team = commands.PutTeam(f"team-{number}", 400, 100)
        self.send(team, partner=PARTNERS[number % len(PARTNERS)])

    def add_job(self, number, pools, teams):
        """Add a waiting job; jobs are spread over the pools and teams in turn.

        Raises `ValueError` if the job is refused.
        """
        pool = number % pools
        team = (number * len(PARTNERS) + pool) % (teams - teams % len(PARTNERS))
        team -= (team - pool) % len(PARTNERS)
        job = commands.SubmitJob(
            f"job-{number}", f"team-{team}", f"pool-{pool}", cores=2, memory_gb=4
        )
        outcome = self.send(job, partner=PARTNERS[pool % len(PARTNERS)])
        if not outcome.accepted:
            raise ValueError(outcome.detail)

    def add_claim(self, number, answer_bytes=200):
        """Add a claim of the first service, closed with an answer of this size."""
        claim = commands.OpenClaim("service-0", f"key-{number}", "d" * 64, "entry-1")
        opened = self.send(claim, Role.ENTRY).claim
        self.send(
            commands.CloseClaim(
                "service-0",
                opened.key,
                opened.version,
                200,
                "application/json",
                b"x" * answer_bytes,
            ),
            Role.ENTRY,
        )

    def add_campaigns(self):
        """Add a maintenance campaign over all VMs of each partner."""
        for partner in PARTNERS:
            self.send(commands.PutCampaign(f"campaign-{partner}"), partner=partner)

    def pools(self):
        """Return all pools by name."""
        return self.state.by_kind["pool"]

    def view(self):
        """Return a view of the platform in which every VM is healthy."""
        names = self.state.by_kind["vm"]
        return PlatformView({name: PlatformVm(name, True, "boot-1") for name in names})


def full_size_fleet(part):
    """Return a builder with a `part`, 0 to 1, of the full-size fleet."""
    builder = FleetBuilder()
    pools = max(2, round(POOLS * part))
    teams = max(4, round(TEAMS * part))
    for number in range(pools):
        builder.add_pool(number)
    for number in range(teams):
        builder.add_team(number)
    for number in range(round(VMS * part)):
        builder.add_vm(number, pools)
    builder.take_lease()
    return builder
