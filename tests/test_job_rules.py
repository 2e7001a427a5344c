"""Rules of job commands: what each command changes, and when it is refused."""

import pytest

from hingepitch.jobs import command as commands, table as table_module
from hingepitch.jobs.command import RunEnd, Start
from hingepitch.jobs.queue import Queue, QueueConfig, QueueIndex, QueuePool
from hingepitch.jobs.record import JobStatus, Minion, RunResult, UpkeepStage
from hingepitch.jobs.spec import JobSpec, Step, TaskKey
from hingepitch.model.apply import apply
from hingepitch.model.command import Envelope, Role
from hingepitch.model.state import State

HOST = "queue.example"
JOB = "00000000000000aa"

ROLE_BY_COMMAND = {
    commands.PutQueues: Role.OPERATOR,
    commands.PutAccountQueues: Role.OPERATOR,
    commands.PutWave: Role.OPERATOR,
    commands.CordonHall: Role.OPERATOR,
    commands.UncordonHall: Role.OPERATOR,
    commands.AcceptJob: Role.ENTRY,
    commands.CancelJob: Role.ENTRY,
    commands.CancelUnknownJob: Role.ENTRY,
}


def make_config(version=1, **changes):
    queue = Queue(
        "q", HOST, "/q/", "pool", attempts=2, objective_ms=600, timeout_ms=3000
    )
    fields = {"queues": (queue,), "pools": (QueuePool("pool"),), **changes}
    return QueueConfig(version, document=b"v%d" % version, **fields)


def make_minion(number, **changes):
    fields = {
        "id": f"i-{number}",
        "vm": f"vm-{number}",
        "pool": "pool",
        "address": f"127.0.0.1:{9000 + number}",
        "hall": "h",
        "rack": "r1",
        "labels": ("a", "r1"),
        "cpu_millicores": 4000,
        "memory_mb": 4000,
        "accelerators": 0,
    }
    return Minion(**{**fields, **changes})


class Log:
    """Applies commands to a state as the replicated log does.

    `other_states`
        States of further replicas, to which each command is applied as well.
    """

    def __init__(self):
        self.state = State()
        self.other_states = []
        self.index = 0

    @property
    def table(self):
        return self.state.jobs

    def send(self, command):
        role = ROLE_BY_COMMAND.get(type(command), Role.DISPATCHER)
        return self.apply(Envelope(role, "", "test", command)).code

    def apply(self, envelope):
        """Apply a committed entry at each replica; return its outcome."""
        self.index += 1
        for state in self.other_states:
            apply(state, envelope, self.index)
        return apply(self.state, envelope, self.index)

    def submit(self, *steps, job=JOB, path="/q/", at_ms=0, **spec):
        job_spec = JobSpec("payload", steps, **spec)
        return self.send(commands.AcceptJob(job, HOST, path + job, job_spec, at_ms))

    def start(self, *keys, minion="i-1", gang=False):
        starts = tuple(Start(key, minion) for key in keys)
        gangs = (starts,) if gang else ()
        self.send(commands.StartRuns(() if gang else starts, gangs, 0))
        return [key in self.table.run_by_task for key in keys]

    def end(self, key, result=RunResult.DONE, checkpoint="", run=None):
        record = self.table.run_by_task.get(key)
        number = run or record.number
        minion = record.minion if record else "i-1"
        end = RunEnd(key, number, minion, result, checkpoint)
        self.send(commands.EndRuns((end,), 1000))

    @property
    def status(self):
        return self.table.job_by_id[JOB].status


def task(step=0, index=0, round=0, job=JOB):
    return TaskKey(job, round, step, index)


@pytest.fixture
def log():
    made = Log()
    made.send(commands.PutQueues(make_config()))
    for number in (1, 2):
        made.send(commands.RegisterMinion(make_minion(number), 0))
    return made


def test_only_a_newer_configuration_replaces_the_current_one(log):
    other = make_config(1, queues=())
    assert log.send(commands.PutQueues(other)) == ""
    assert log.table.config.document == b"v1"
    assert log.send(commands.PutQueues(make_config(7))) == ""
    assert log.send(commands.PutQueues(make_config(6))) == ""
    assert log.table.config.version == 7


@pytest.mark.parametrize(
    "changes",
    [
        {"pools": ()},
        {"queues": (Queue("q", HOST, "/q/", "pool"),)},
        {"queues": 2 * (Queue("q", HOST, "/q/", "pool", timeout_ms=1),)},
        {"pools": 2 * (QueuePool("pool"),)},
    ],
    ids=["unknown pool", "no time-out", "same place", "pool twice"],
)
def test_an_inconsistent_configuration_is_refused(log, changes):
    assert log.send(commands.PutQueues(make_config(9, **changes))) == "bad_object"
    assert log.table.config.version == 1


def test_the_longest_matching_prefix_selects_the_queue():
    inner = Queue("inner", HOST, "/q/deep/", "pool", timeout_ms=1)
    outer = Queue("outer", HOST, "/q/", "pool", timeout_ms=1)
    index = QueueIndex(make_config(queues=(outer, inner)).queues)
    assert index.find(HOST, "/q/deep/x").name == "inner"
    assert index.find(HOST, "/q/deep/").name == "inner"
    assert index.find(HOST, "/q/deep").name == "outer"
    assert index.find(HOST, "/q/").name == "outer"
    assert index.find(HOST, "/q") is None
    assert index.find(HOST, "") is None
    assert index.find("other.example", "/q/x") is None


def test_a_job_submitted_twice_is_accepted_once(log):
    assert log.submit(Step(1)) == ""
    log.start(task())
    assert log.submit(Step(5)) == ""
    assert len(log.table.job_by_id[JOB].spec.steps[0:]) == 1
    assert log.table.job_by_id[JOB].spec.steps[0].count == 1


def test_a_job_for_an_unknown_queue_is_refused(log):
    assert log.submit(Step(1), path="/other/") == "unknown_queue"
    assert Log().submit(Step(1)) == "no_queues"


@pytest.mark.parametrize(
    "steps",
    [(), (Step(0),), (Step(-1),), (Step(1, after=(0,)),), (Step(1, after=(-1,)),),
     (Step(1), Step(1, after=(1,))), (Step(1, cpu_millicores=-1),), (Step(10**9),)],
)  # fmt: skip
def test_a_job_with_invalid_steps_is_refused(log, steps):
    assert log.submit(*steps) == "bad_job"
    assert JOB not in log.table.job_by_id


def test_a_task_has_one_run_at_a_time(log):
    log.submit(Step(1))
    assert log.start(task()) == [True]
    log.start(task(), minion="i-2")
    assert log.table.run_by_task[task()].minion == "i-1"


def test_a_done_task_is_not_started_again(log):
    log.submit(Step(2))
    log.start(task())
    log.end(task())
    assert log.start(task(), task(index=1)) == [False, True]


def test_run_numbers_increase(log):
    log.submit(Step(1))
    for number in (1, 2):
        log.start(task())
        assert log.table.run_by_task[task()].number == number
        log.end(task(), RunResult.LOST)


def test_a_late_end_of_an_earlier_run_changes_nothing(log):
    log.submit(Step(1))
    log.start(task())
    log.end(task(), RunResult.LOST)
    log.start(task())
    log.end(task(), RunResult.DONE, run=1)
    assert log.status is JobStatus.PENDING
    assert log.table.run_by_task[task()].number == 2


def test_a_step_waits_for_all_tasks_of_the_steps_it_depends_on(log):
    log.submit(Step(2), Step(1, after=(0,)))
    log.start(task(), task(index=1))
    log.end(task())
    assert log.start(task(step=1)) == [False]
    log.end(task(index=1))
    assert log.start(task(step=1)) == [True]
    log.end(task(step=1))
    assert log.status is JobStatus.SUCCEEDED


def test_a_job_that_used_up_its_attempts_fails_and_starts_no_more_tasks(log):
    log.submit(Step(2))
    for _ in range(2):
        assert log.start(task()) == [True]
        log.end(task(), RunResult.FAILED)
    assert log.status is JobStatus.FAILED
    assert log.start(task(), task(index=1)) == [False, False]


@pytest.mark.parametrize(
    "result",
    [one for one in RunResult if one not in (RunResult.DONE, RunResult.FAILED)],
)
def test_only_failed_runs_count_as_attempts(log, result):
    log.submit(Step(1))
    for _ in range(5):
        assert log.start(task()) == [True]
        log.end(task(), result)
    unbegun = (RunResult.ALONE, RunResult.REFUSED, RunResult.LOST)
    is_begun = result not in unbegun
    assert log.status is (JobStatus.RUNNING if is_begun else JobStatus.PENDING)


def test_a_long_running_task_is_restarted_however_it_ends(log):
    log.submit(Step(1, lasts=True))
    for result in (
        RunResult.FAILED,
        RunResult.FAILED,
        RunResult.FAILED,
        RunResult.DONE,
    ):
        assert log.start(task()) == [True]
        log.end(task(), result)
    assert log.status is JobStatus.RUNNING


def test_a_cancelled_job_starts_no_tasks_but_its_runs_keep_their_resources(log):
    log.submit(Step(2, cpu_millicores=3000))
    log.start(task())
    assert log.send(commands.CancelJob(JOB, 0)) == ""
    assert log.start(task(index=1)) == [False]
    assert log.table.usage_by_minion["i-1"].cpu_millicores == 3000
    log.end(task(), RunResult.STOPPED)
    assert log.table.usage_by_minion["i-1"].cpu_millicores == 0
    assert log.status is JobStatus.CANCELLED
    assert log.send(commands.CancelJob("00000000000000ff", 0)) == "unknown_job"


def test_a_gang_starts_completely_or_not_at_all(log):
    log.submit(Step(3, cpu_millicores=2000, gang=True))
    members = [task(index=index) for index in range(3)]
    assert log.start(*members, gang=True) == [False] * 3
    starts = tuple(Start(key, f"i-{1 + at // 2}") for at, key in enumerate(members))
    log.send(commands.StartRuns((), (starts,), 0))
    assert len({log.table.run_by_task[key].number for key in members}) == 1
    log.end(members[1])
    assert log.status is JobStatus.SUCCEEDED


def test_a_failed_gang_counts_as_one_attempt_and_shares_its_checkpoint(log):
    log.submit(Step(2, gang=True))
    members = [task(index=index) for index in range(2)]
    log.start(*members, gang=True)
    log.end(members[0], RunResult.FAILED, checkpoint="half")
    log.end(members[1], RunResult.BROKEN)
    assert log.status is JobStatus.RUNNING
    assert [log.table.task(key).checkpoint for key in members] == ["half", "half"]


def test_a_start_needs_capacity_label_pool_and_a_minion_that_is_not_draining(log):
    log.submit(Step(4, cpu_millicores=2500, required_label="b", max_per_minion=1))
    assert log.start(task()) == [False]
    for number, changes in (
        (3, {"labels": ("b", "r1")}),
        (4, {"labels": ("b", "r1"), "pool": "other"}),
        (5, {"labels": ("b", "r1"), "is_draining": True}),
        (6, {"labels": ("b", "r1"), "cpu_millicores": 2000}),
    ):
        log.send(commands.RegisterMinion(make_minion(number, **changes), 0))
    for number, started in ((3, True), (4, False), (5, False), (6, False)):
        assert log.start(task(index=number - 3), minion=f"i-{number}") == [started]
    big = make_minion(3, labels=("b", "r1"), cpu_millicores=16_000)
    log.send(commands.RegisterMinion(big, 0))
    assert log.start(task(index=1), minion="i-3") == [False]


def test_a_filler_needs_free_memory_but_no_free_cpu(log):
    log.submit(Step(2, cpu_millicores=9000, memory_mb=3000, fills_spare_cpu=True))
    assert log.start(task(), task(index=1)) == [True, False]


def test_a_new_incarnation_on_a_vm_ends_the_runs_of_the_previous_one(log):
    log.submit(Step(1))
    log.start(task())
    log.send(commands.RegisterMinion(make_minion(9, vm="vm-1"), 0))
    assert not log.table.run_by_task
    assert "i-1" not in log.table.minion_by_id
    log.send(commands.RegisterMinion(make_minion(1), 0))
    assert "i-1" not in log.table.minion_by_id
    assert log.start(task(), minion="i-9") == [True]


def test_rounds_of_a_repeated_job_overlap_and_complete_it(log):
    log.submit(Step(1), times=2, interval_ms=100)
    assert log.start(task()) == [False]
    for _ in range(3):
        log.send(commands.OpenRounds((JOB,)))
    assert log.start(task(), task(round=1), task(round=2)) == [True, True, False]
    log.end(task(round=1))
    assert log.status is JobStatus.RUNNING
    log.end(task())
    assert log.status is JobStatus.SUCCEEDED


def test_pending_jobs_are_counted_by_queue(log):
    route = (HOST, "/q/")
    log.submit(Step(1))
    log.submit(Step(1), job="00000000000000bb")
    assert log.table.pending_by_route[route] == 2
    log.start(task())
    assert log.table.pending_by_route[route] == 2
    log.end(task())
    assert log.table.pending_by_route[route] == 1
    log.send(commands.CancelJob("00000000000000bb", 0))
    assert log.table.pending_by_route[route] == 0


def test_ended_jobs_are_kept_for_a_limited_time_and_in_limited_number(log, monkeypatch):
    monkeypatch.setattr(table_module, "MAX_ENDED_JOBS", 3)
    names = [f"{number:016x}" for number in range(6)]
    for name in names:
        log.submit(Step(1), job=name)
        log.send(commands.CancelJob(name, 1000))
    log.submit(Step(1), at_ms=2000)
    assert [name for name in names if name in log.table.job_by_id] == names[3:]
    late = table_module.ENDED_JOB_RETENTION_MS + 1000
    log.submit(Step(1), job="00000000000000bb", at_ms=late)
    assert not any(name in log.table.job_by_id for name in names)


def test_a_wave_never_exceeds_max_down(log):
    log.send(commands.PutWave(1, ("vm-1", "vm-2", "vm-3"), 1, 0))
    begin = [commands.BeginUpkeep(1, f"vm-{number}", 0) for number in (1, 2)]
    assert log.send(begin[0]) == ""
    assert log.send(begin[1]) == "budget_spent"
    log.send(commands.SettleUpkeep(1, "vm-1", UpkeepStage.ORDERED))
    assert log.send(begin[1]) == "budget_spent"
    log.send(commands.SettleUpkeep(1, "vm-1", UpkeepStage.OVER))
    assert log.send(begin[0]) == "wrong_life"
    assert log.send(begin[1]) == ""
    assert not log.table.wave_by_number[1].is_done


def test_a_snapshot_restores_the_complete_state(log):
    log.submit(Step(2), Step(1, after=(0,)))
    log.submit(Step(1), job="00000000000000bb", times=3, interval_ms=5)
    log.start(task())
    log.send(commands.PutWave(1, ("vm-1",), 1, 0))
    log.send(commands.BeginUpkeep(1, "vm-1", 0))
    copy = State.from_snapshot(log.state.to_snapshot())
    assert copy.to_snapshot() == log.state.to_snapshot()
    for index in (
        "ready_steps",
        "repeated_jobs",
        "usage_by_minion",
        "run_counts_by_step",
    ):
        assert getattr(copy.jobs, index) == getattr(log.table, index)
    assert copy.jobs.runs_by_minion == log.table.runs_by_minion
