"""Random commands with odd sizes, times and names, through rules and planning.

A command that a rule fails at stops every replica that applies it, and a job at
which planning fails stops every leader in turn, so neither may exist. None was
found. What was: a life that names another VM, as another writer may have it,
stayed the life of its first one when it had ended. The leader's moves look up
the lives of VMs, and each session of each leader ended there (KeyError).

Sizes go up to what the log can carry (64 bits), texts are empty, long, or hold
odd characters.
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

#: Commands for each life that there is: some lives are named more than once.
LIFE_COMMANDS = 10
WALL_MS = 1_700_000_000_000

#: Part of the values that are odd: with more, hardly a run ever starts.
ODD_PART = 0.12
ODD_NUMBERS = (-(2**63), -1, 2, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1)
ODD_FLOATS = (-1e308, -1.0, 0.0, 1e-308, 1e308)
ODD_TEXTS = ("\0", "/", "pool", "x" * 300, "\N{SNOWMAN}")


class Oddities:
    """Makes commands; `state` is what they were applied to."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = State()
        self.index = 1

    def pick(self, odd, plain):
        return self.rng.choice(odd if self.rng.random() < ODD_PART else plain)

    def number(self):
        return self.pick(ODD_NUMBERS, (0, 0, 1, 100))

    def text(self):
        return self.pick(ODD_TEXTS, ("",))

    def flag(self):
        return self.rng.random() < 0.3

    def send(self, role, command):
        """Apply a command as the log would carry it, if it can carry it."""
        self.index += 1
        envelope = Envelope(role, "", "x", command, at_seconds=1)
        try:
            data = encode_envelope(envelope)
        except OverflowError:
            return  # Answered to the caller; nothing gets into the log.
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
            self.pick(ODD_FLOATS, (1.0, 2.5)),
            self.number(),
            max(1, self.number()),
        )
        return QueueConfig(self.index, (queue,), (QueuePool("pool", self.flag()),))

    def step(self):
        return Step(
            count=self.pick(ODD_NUMBERS, (1, 2, 3)),
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
            max_away=self.pick(ODD_NUMBERS, (None, 1)),
            target_ms=self.number(),
        )

    def spec(self):
        steps = tuple(self.step() for _ in range(self.rng.randrange(1, 4)))
        times = self.pick(ODD_NUMBERS, (0, 0, 2))
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

    def play_round(self):
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
        doubt = dict.fromkeys(lives, 0)
        return PlanContext(WALL_MS, lives, doubt, {}, Durations(), 2.0, {})


@pytest.mark.parametrize("seed", range(20))
def test_no_command_stops_the_rules_the_planning_or_a_snapshot(seed):
    oddities = Oddities(seed)
    started = sum(oddities.play_round() for _ in range(ROUNDS))
    table = oddities.state.jobs
    restored = State.from_snapshot(oddities.state.to_snapshot()).jobs
    assert restored.run_by_task.keys() == table.run_by_task.keys()
    assert restored.life_by_vm == table.life_by_vm
    assert started


def test_a_life_that_names_another_vm_leaves_the_first_one():
    """Left there, it was looked up after its end: the leader's moves failed."""
    state = Oddities(0).state
    minion = Oddities(0).minion()
    state.jobs.put_minion(replace(minion, vm="vm-1"), 0)
    state.jobs.put_minion(replace(minion, vm="vm-2"), 0)
    assert state.jobs.life_by_vm == {"vm-2": minion.id}
    state.jobs.remove_minion(minion.id, 0)
    assert state.jobs.life_by_vm == {}
