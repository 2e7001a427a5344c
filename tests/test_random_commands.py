"""Random commands with unusual sizes, times and names, applied and planned.

A command for which a rule raises an error would stop every replica that applies it,
and a job for which planning raises would stop every leader in turn. A separate test
covers an incarnation that is registered again with another VM, as another writer may
do: after its end it was still recorded as the incarnation of the first VM, and the
moves of every leader's session failed with KeyError.

Numbers go up to what the log can carry (64 bits); texts are empty, long, or contain
unusual characters.
"""

import random
from dataclasses import replace

import pytest

from hingepitch.error import HingepitchError
from hingepitch.jobs import command as commands
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.load import measure_pools
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.queue import Queue, QueueConfig, QueuePool
from hingepitch.jobs.record import Minion, RunResult, UpkeepStage
from hingepitch.jobs.spec import JobSpec, Step
from hingepitch.model.apply import apply
from hingepitch.model.codec import decode_envelope, encode_envelope
from hingepitch.model.command import Envelope, Role
from hingepitch.model.state import State

ROUNDS = 40

#: Commands for each incarnation, so that some incarnations register repeatedly.
LIFE_COMMANDS = 10
WALL_MS = 1_700_000_000_000

#: Fraction of unusual values: with a larger one, hardly any run starts.
UNUSUAL_FRACTION = 0.12
UNUSUAL_NUMBERS = (-(2**63), -1, 2, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1)
UNUSUAL_FLOATS = (-1e308, -1.0, 0.0, 1e-308, 1e308)
UNUSUAL_TEXTS = ("\0", "/", "pool", "x" * 300, "\N{SNOWMAN}")


class CommandFuzzer:
    """Generates random commands and applies them to `state`."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = State()
        self.index = 1

    def pick(self, unusual, plain):
        return self.rng.choice(
            unusual if self.rng.random() < UNUSUAL_FRACTION else plain
        )

    def number(self):
        return self.pick(UNUSUAL_NUMBERS, (0, 0, 1, 100))

    def text(self):
        return self.pick(UNUSUAL_TEXTS, ("",))

    def flag(self):
        return self.rng.random() < 0.3

    def send(self, role, command):
        """Apply a command after a round trip through its encoding, if it has one."""
        self.index += 1
        envelope = Envelope(role, "", "x", command, at_seconds=1)
        try:
            data = encode_envelope(envelope)
        except OverflowError:
            return  # The caller gets an error, and the log no entry.
        try:
            decoded = decode_envelope(data)
        except HingepitchError:
            return
        apply(self.state, decoded, self.index)

    def config(self):
        queue = Queue(
            self.text(),
            "h",
            "/",
            "pool",
            self.number(),
            self.number(),
            self.pick(UNUSUAL_FLOATS, (1.0, 2.5)),
            self.number(),
            max(1, self.number()),
        )
        return QueueConfig(self.index, (queue,), (QueuePool("pool", self.flag()),))

    def step(self):
        return Step(
            count=self.pick(UNUSUAL_NUMBERS, (1, 2, 3)),
            cpu_millicores=self.number(),
            memory_mb=self.number(),
            accelerators=self.number(),
            estimate_ms=self.number(),
            gang=self.flag(),
            same_rack=self.flag(),
            data_rack=self.text(),
            required_label=self.text(),
            max_per_minion=self.number(),
            allows_copies=self.flag(),
            lasts=self.flag(),
            fills_spare_cpu=self.flag(),
            max_away=self.pick(UNUSUAL_NUMBERS, (None, 1)),
            target_ms=self.number(),
        )

    def spec(self):
        steps = tuple(self.step() for _ in range(self.rng.randrange(1, 4)))
        times = self.pick(UNUSUAL_NUMBERS, (0, 0, 2))
        return JobSpec(self.text(), steps, times, self.number(), self.number())

    def minion(self):
        return Minion(
            id=f"life-{self.rng.randrange(1 + self.index // LIFE_COMMANDS)}",
            vm=f"vm-{self.rng.randrange(4)}",
            pool="pool",
            address="10.0.0.1:1",
            hall="h",
            rack=self.text(),
            labels=("kind", self.text()),
            cpu_millicores=10_000 + abs(self.number()),
            memory_mb=10_000 + abs(self.number()),
            accelerators=abs(self.number()),
            is_draining=self.flag(),
        )

    def run_round(self):
        """Apply one command of each kind, plan, and end some runs."""
        table = self.state.jobs
        self.send(Role.OPERATOR, commands.PutQueues(self.config()))
        job = commands.AcceptJob(
            f"{self.index:016x}", "h", "/", self.spec(), self.number()
        )
        self.send(Role.ENTRY, job)
        register = commands.RegisterMinion(self.minion(), self.number())
        self.send(Role.DISPATCHER, register)
        wave = commands.PutWave(
            self.number(), ("vm-0", self.text()), self.number(), self.number()
        )
        self.send(Role.OPERATOR, wave)
        for number in list(table.wave_by_number)[:3]:
            begin = commands.BeginUpkeep(number, "vm-0", self.number())
            self.send(Role.DISPATCHER, begin)
            stage = self.rng.choice(list(UpkeepStage))
            settle = commands.SettleUpkeep(number, "vm-0", stage)
            self.send(Role.DISPATCHER, settle)
        self.send(Role.DISPATCHER, commands.BeginMove("vm-2", self.text()))
        self.send(Role.DISPATCHER, commands.EndMove("vm-2"))
        repeated = tuple(table.repeated_jobs)
        self.send(Role.DISPATCHER, commands.OpenRounds(repeated))
        starts, gangs = plan_starts(table, self.plan_context())
        start = commands.StartRuns(starts, gangs, self.number())
        self.send(Role.DISPATCHER, start)
        measure_pools(table, WALL_MS, Durations())
        ends = tuple(
            commands.RunEnd(
                run.task,
                run.number,
                run.minion,
                self.rng.choice(list(RunResult)),
                self.text(),
            )
            for run in list(table.run_by_task.values())[:3]
        )
        self.send(Role.DISPATCHER, commands.EndRuns(ends, self.number()))
        return len(starts)

    def plan_context(self):
        lives = set(self.state.jobs.minion_by_id)
        avoidance = dict.fromkeys(lives, 0)
        return PlanContext(WALL_MS, lives, avoidance, {}, Durations(), 2.0, {})


@pytest.mark.parametrize("seed", range(20))
def test_no_command_makes_rules_planning_or_snapshots_fail(seed):
    fuzzer = CommandFuzzer(seed)
    started = sum(fuzzer.run_round() for _ in range(ROUNDS))
    table = fuzzer.state.jobs
    restored = State.from_snapshot(fuzzer.state.to_snapshot()).jobs
    assert restored.run_by_task.keys() == table.run_by_task.keys()
    assert restored.life_by_vm == table.life_by_vm
    assert started


def test_an_incarnation_that_changes_its_vm_leaves_the_first_one():
    """A stale incarnation of the first VM made the moves of the leader fail."""
    state = CommandFuzzer(0).state
    minion = CommandFuzzer(0).minion()
    state.jobs.put_minion(replace(minion, vm="vm-1"), 0)
    state.jobs.put_minion(replace(minion, vm="vm-2"), 0)
    assert state.jobs.life_by_vm == {"vm-2": minion.id}
    state.jobs.remove_minion(minion.id, 0)
    assert state.jobs.life_by_vm == {}
