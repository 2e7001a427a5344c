"""The state machine and the planner: invariants in random fleets, single rules."""

import pytest
from hypothesis import HealthCheck, given, settings, strategies

from hingepitch.model import apply as apply_module, command as commands
from hingepitch.model.apply import apply
from hingepitch.model.command import Envelope, Role
from hingepitch.model.explain import explain
from hingepitch.model.record import JobState, Purpose, VmLifecycle
from hingepitch.model.rules import RULES, claim as claim_rules, job as job_rules
from hingepitch.model.state import State
from hingepitch.planner.placement import VmQuarantine, plan_jobs
from hingepitch.planner.view import PlatformView, PlatformVm, Task, TaskState
from hingepitch.planner.wave import plan_wave
from tests.fleet_driver import FleetDriver, InvariantViolation

STEPS = 250


@settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(seed=strategies.integers(0, 10**6))
def test_invariants_hold_in_random_fleets(seed):
    driver = FleetDriver(seed)
    driver.run(STEPS)
    driver.settle()
    assert driver.unmaintained() == []
    assert driver.copy.by_kind["vm"] == driver.state.by_kind["vm"]


def test_random_fleets_cause_refusals():
    driver = FleetDriver(3)
    driver.run(1000)
    assert {"budget_spent", "stale_fence", "wrong_life"} <= set(driver.refusals)


@pytest.mark.parametrize(
    "check", ["check_budgets", "check_fence", "check_relabelled", "check_capacity"]
)
def test_checker_catches_a_missing_check(check, monkeypatch):
    for module in (apply_module, *RULES):
        if hasattr(module, check):
            monkeypatch.setattr(module, check, lambda *arguments: None)
    with pytest.raises(InvariantViolation):
        for seed in range(40):
            driver = FleetDriver(seed)
            driver.run(STEPS)
            if check == "check_fence":
                raise_if_stale_fence_passed(driver)


def raise_if_stale_fence_passed(driver):
    if "stale_fence" not in driver.refusals:
        raise InvariantViolation("no command with a stale fence was refused")


def test_the_same_log_gives_the_same_state():
    first, second = FleetDriver(5), FleetDriver(5)
    first.run(STEPS)
    second.run(STEPS)
    assert first.state.to_snapshot() == second.state.to_snapshot()


def test_a_snapshot_restores_the_complete_fleet_state():
    driver = FleetDriver(6)
    driver.run(STEPS)
    again = State.from_snapshot(driver.state.to_snapshot())
    assert again.by_kind == driver.state.by_kind
    assert again.to_snapshot() == driver.state.to_snapshot()
    assert again.jobs_by_team == driver.state.jobs_by_team
    assert again.down_vms_by_pool == driver.state.down_vms_by_pool


class Fleet:
    """A small fleet that is built by commands."""

    def __init__(self, vms=4, max_down=1):
        self.state = State()
        self.index = 0
        self.operator(commands.PutPool("pool"))
        self.operator(commands.PutTeam("team", 10))
        for number in range(vms):
            self.operator(
                commands.PutVm(
                    f"v{number}", "pool", "h", "r", "10.0.0.1", cores=4, memory_gb=8
                )
            )
        self.operator(commands.PutService("s", "pool", 80, max_down=max_down))
        self.fence = self.send(Role.PLANNER, commands.TakePlannerLease("p", 60)).fence

    def send(self, role, command, **fields):
        self.index += 1
        fields.setdefault("partner", "left" if role is Role.OPERATOR else "")
        envelope = Envelope(role, actor="a", command=command, **fields)
        return apply(self.state, envelope, self.index)

    def operator(self, command, **fields):
        return self.send(Role.OPERATOR, command, **fields)

    def planner(self, command):
        return self.send(Role.PLANNER, command, fence=self.fence)

    def view(self):
        names = self.state.by_kind["vm"]
        return PlatformView({name: PlatformVm(name, True, "b0") for name in names})


def test_resent_command_gets_its_first_outcome_and_changes_nothing():
    fleet = Fleet()
    first = fleet.operator(commands.PutPool("new"), command_id="x")
    fleet.operator(commands.Delete("pool", "new"))
    again = fleet.operator(commands.PutPool("new"), command_id="x")
    assert again == first
    assert fleet.state.get("pool", "new") is None


def test_same_command_id_of_the_other_partner_is_another_command():
    fleet = Fleet()
    fleet.operator(commands.PutPool("a"), command_id="x")
    fleet.operator(commands.PutPool("b"), command_id="x", partner="right")
    assert fleet.state.get("pool", "b").partner == "right"


def test_stale_version_is_refused_with_the_current_one():
    fleet = Fleet()
    version = fleet.state.get("pool", "pool").version
    assert fleet.operator(commands.PutPool("pool"), base_version=version).accepted
    outcome = fleet.operator(commands.PutPool("pool"), base_version=version)
    assert outcome.code == "stale_version"
    assert str(fleet.state.get("pool", "pool").version) in outcome.detail


@pytest.mark.parametrize(
    "command",
    [
        commands.PutPool("pool"),
        commands.PutVm("v0", "pool", "h", "r", "10.0.0.1"),
        commands.PutService("s", "pool", 80, max_down=9),
        commands.PutService("new", "pool", 80),
        commands.PutVm("new", "pool", "h", "r", "10.0.0.1"),
        commands.PutTeam("team", 999),
        commands.SubmitJob("j", "team", "pool"),
        commands.Delete("vm", "v0"),
    ],
)
def test_a_partner_cannot_change_objects_of_the_other_partner(command):
    fleet = Fleet()
    assert fleet.operator(command, partner="right").code == "forbidden"


def test_operators_cannot_move_a_vm_or_grant_a_permit():
    fleet = Fleet()
    fleet.operator(commands.PutPool("other"))
    move = commands.PutVm("v0", "other", "h", "r", "10.0.0.1")
    assert fleet.operator(move).code == "pool_is_decided"
    grant = commands.GrantPermit("v0", Purpose.MAINTENANCE, "b0")
    assert fleet.operator(grant).code == "forbidden"


def test_a_lost_vm_counts_against_the_budget():
    fleet = Fleet()
    fleet.planner(commands.ReportLost("v1"))
    grant = commands.GrantPermit("v0", Purpose.MAINTENANCE, "b0")
    assert fleet.planner(grant).code == "budget_spent"


def test_a_vm_returns_only_after_a_reboot():
    fleet = Fleet()
    fleet.planner(commands.GrantPermit("v0", Purpose.MAINTENANCE, "b0"))
    fleet.planner(commands.MarkDrained("v0"))
    assert fleet.planner(commands.ReturnVm("v0", "b0")).code == "wrong_boot"
    assert fleet.planner(commands.ReturnVm("v0", "b1")).accepted
    assert fleet.state.get("vm", "v0").life is VmLifecycle.LIVE


def test_owner_deletes_a_vm_that_never_came_back_from_its_reboot():
    fleet = Fleet()
    fleet.planner(commands.GrantPermit("v0", Purpose.MAINTENANCE, "b0"))
    delete = commands.Delete("vm", "v0")
    assert fleet.operator(delete).code == "wrong_life"
    fleet.planner(commands.MarkDrained("v0"))
    assert fleet.operator(delete, partner="right").code == "forbidden"
    assert fleet.operator(delete).accepted
    assert fleet.state.by_kind["permit"] == {}
    grant = commands.GrantPermit("v1", Purpose.MAINTENANCE, "b0")
    assert fleet.planner(grant).accepted


def test_a_planner_with_a_stale_fence_is_refused():
    fleet = Fleet()
    old = fleet.fence
    fleet.send(
        Role.PLANNER, commands.TakePlannerLease("p2", 60), fence=0, at_seconds=999
    )
    grant = commands.GrantPermit("v0", Purpose.MAINTENANCE, "b0")
    outcome = fleet.send(Role.PLANNER, grant, fence=old)
    assert outcome.code == "stale_fence"


def test_lease_is_refused_while_another_holds_it():
    fleet = Fleet()
    outcome = fleet.send(Role.PLANNER, commands.TakePlannerLease("p2", 60))
    assert outcome.code == "lease_held"


def test_wave_uses_the_full_budget():
    fleet = Fleet(vms=8, max_down=3)
    fleet.operator(commands.PutCampaign("c"))
    assert len(list(plan_wave(fleet.state, fleet.view(), 0, ["pool"]))) == 3


def test_wave_stops_on_correlated_losses():
    fleet = Fleet(vms=8, max_down=5)
    fleet.operator(commands.PutCampaign("c"))
    for name in ("v0", "v1"):
        fleet.planner(commands.GrantPermit(name, Purpose.MAINTENANCE, "b0"))
        fleet.planner(commands.ReportLost(name))
    assert list(plan_wave(fleet.state, fleet.view(), 0, ["pool"])) == []


def test_claim_is_opened_once():
    fleet = Fleet()
    claim = commands.OpenClaim("s", "k", "digest", "e1")
    first = fleet.send(Role.ENTRY, claim)
    assert first.claim.version == fleet.index
    assert fleet.send(Role.ENTRY, claim).code == "key_in_progress"
    other = commands.OpenClaim("s", "k", "other", "e2")
    assert fleet.send(Role.ENTRY, other).code == "key_reused"
    late = fleet.send(Role.ENTRY, claim, at_seconds=100)
    assert late.code == "key_unknown"


def test_answered_claim_returns_its_answer_and_expires():
    fleet = Fleet()
    opened = fleet.send(Role.ENTRY, commands.OpenClaim("s", "k", "d", "e1")).claim
    close = commands.CloseClaim("s", "k", opened.version, 200, "text/plain", b"done")
    assert fleet.send(Role.ENTRY, close).accepted
    again = fleet.send(Role.ENTRY, commands.OpenClaim("s", "k", "d", "e2"))
    assert again.claim.body == b"done"
    later = claim_rules.CLAIM_RETENTION_SECONDS + 1
    fleet.send(Role.ENTRY, commands.JoinEntry("e1", "h"), at_seconds=later)
    assert fleet.state.by_kind["claim"] == {}


def test_many_claims_shorten_the_retention_and_are_then_refused(monkeypatch):
    monkeypatch.setattr(claim_rules, "MAX_CLAIMS", 3)
    monkeypatch.setattr(claim_rules, "REFUSE_CLAIMS_ABOVE", 5)
    fleet = Fleet()
    for number in range(5):
        key = f"k{number}"
        opened = fleet.send(Role.ENTRY, commands.OpenClaim("s", key, "d", "e")).claim
        fleet.send(Role.ENTRY, commands.CloseClaim("s", key, opened.version, 200))
    more = commands.OpenClaim("s", "more", "d", "e")
    assert fleet.send(Role.ENTRY, more).code == "queue_full"
    later = claim_rules.MIN_CLAIM_RETENTION_SECONDS + 1
    fleet.send(Role.ENTRY, commands.JoinEntry("e", "h"), at_seconds=later)
    assert len(fleet.state.by_kind["claim"]) == 3
    assert fleet.send(Role.ENTRY, more, at_seconds=later).accepted


def test_the_number_of_ended_jobs_kept_is_bounded(monkeypatch):
    monkeypatch.setattr(job_rules, "MAX_ENDED_JOBS", 2)
    fleet = Fleet()
    for number in range(4):
        submit(fleet, f"j{number}")
        fleet.operator(commands.CancelJobs([f"j{number}"]))
    assert list(fleet.state.by_kind["job"]) == ["j2", "j3"]


def test_open_claim_is_never_dropped():
    fleet = Fleet()
    fleet.send(Role.ENTRY, commands.OpenClaim("s", "k", "d", "e1"))
    later = claim_rules.CLAIM_RETENTION_SECONDS * 3
    fleet.send(Role.ENTRY, commands.JoinEntry("e1", "h"), at_seconds=later)
    assert list(fleet.state.by_kind["claim"]) == ["s/k"]


def test_releasing_an_old_claim_does_not_release_a_new_one():
    fleet = Fleet()
    open_claim = commands.OpenClaim("s", "k", "d", "e1")
    first = fleet.send(Role.ENTRY, open_claim).claim
    release = commands.ReleaseClaim("s", "k", first.version)
    assert fleet.send(Role.ENTRY, release).accepted
    fleet.send(Role.ENTRY, open_claim)
    assert fleet.send(Role.ENTRY, release).code == "unknown_object"


def submit(fleet, name, **fields):
    return fleet.operator(commands.SubmitJob(name, "team", "pool", **fields))


def test_jobs_are_placed_within_quota_and_urgent_ones_first():
    fleet = Fleet()
    for number in range(5):
        submit(fleet, f"j{number}", cores=4)
    submit(fleet, "now", cores=4, urgent=True)
    planned = [
        step.command.job for step in plan_jobs(fleet.state, lambda vm: False, ["pool"])
    ]
    assert planned == ["now", "j0"]


def test_job_that_fits_nowhere_blocks_no_other_job_and_is_explained():
    fleet = Fleet()
    submit(fleet, "huge", cores=9)
    submit(fleet, "small")
    planned = [
        step.command.job for step in plan_jobs(fleet.state, lambda vm: False, ["pool"])
    ]
    assert planned == ["small"]
    obstacles = explain(fleet.state, "job", "huge")["obstacles"]
    assert obstacles == ["cores: larger than the VM (4 of 4 VMs)"]


def test_cancelled_job_keeps_its_resources_until_it_has_stopped():
    fleet = Fleet(vms=1)
    submit(fleet, "j", cores=4)
    fleet.planner(commands.PlaceJob("j", "v0"))
    fleet.operator(commands.CancelJobs(["j"]))
    submit(fleet, "k", cores=4)
    assert fleet.planner(commands.PlaceJob("k", "v0")).code == "no_room"
    lease = fleet.state.get("job", "j").lease
    fleet.planner(commands.EndJob("j", lease, JobState.CANCELLED))
    assert fleet.planner(commands.PlaceJob("k", "v0")).accepted


def test_worker_that_fails_different_jobs_is_quarantined():
    quarantine = VmQuarantine()
    for number in range(3):
        task = Task(f"j{number}/1", "bad", TaskState.FAILED)
        quarantine.count_ended_tasks({task.name: task}, 0.0)
    assert quarantine.is_quarantined("bad", 1.0)
    assert not quarantine.is_quarantined("bad", 1000.0)


def test_one_failing_job_does_not_quarantine_a_worker():
    quarantine = VmQuarantine()
    for attempt in range(5):
        task = Task(f"j/{attempt}", "vm", TaskState.FAILED)
        quarantine.count_ended_tasks({task.name: task}, 0.0)
    assert not quarantine.is_quarantined("vm", 1.0)
