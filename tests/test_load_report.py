"""The figures of load that a leader reports once a second."""

from types import SimpleNamespace

import gevent
import pytest

from hingepitch.jobs import command as commands, loadreport as loadreport_module
from hingepitch.jobs.agents.contact import Reply, ReplyKind
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.gauge import MAX_SHOWN_QUEUES, DispatchGauge
from hingepitch.jobs.loadreport import LoadReporter
from hingepitch.jobs.queuemeter import QueueCounts, QueueMeter
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import Step
from hingepitch.loopdelay import LoopDelay
from hingepitch.metric import Metrics
from tests.test_job_rules import JOB, Log, make_config, make_minion, task

OTHER_JOB = "00000000000000bb"

#: The objective of the tests' queue, in milliseconds.
OBJECTIVE_MS = make_config().queues[0].objective_ms


@pytest.fixture
def log():
    made = Log()
    made.send(commands.PutQueues(make_config()))
    made.send(commands.RegisterMinion(make_minion(1), 0))
    return made


def take_counts(meter, log, ready_since_by_step=None, now=0.0):
    return meter.take_counts(log.table, Durations(), ready_since_by_step or {}, now)


def end_job(log, job, at_ms, result=RunResult.DONE):
    key = task(job=job)
    log.start(key)
    run = log.table.run_by_task[key]
    end = commands.RunEnd(key, run.number, run.minion, result)
    log.send(commands.EndRuns((end,), at_ms))


# Guards against a job that is counted in two reports, or in none.
def test_each_job_is_counted_once(log):
    meter = QueueMeter()
    log.submit(Step(1), job=JOB)
    assert take_counts(meter, log) == {"q": QueueCounts(accepted=1)}
    log.submit(Step(1), job=OTHER_JOB)
    end_job(log, JOB, OBJECTIVE_MS)
    assert take_counts(meter, log) == {"q": QueueCounts(accepted=1, in_time=1)}
    assert take_counts(meter, log) == {}


# Guards against a late job that is reported like one in time.
def test_jobs_are_counted_by_how_they_ended(log):
    meter = QueueMeter()
    log.submit(Step(1), job=JOB)
    end_job(log, JOB, OBJECTIVE_MS + 1)
    log.submit(Step(1), job=OTHER_JOB)
    log.send(commands.CancelJob(OTHER_JOB, 0))
    counts = take_counts(meter, log)["q"]
    assert (counts.late, counts.cancelled, counts.in_time) == (1, 1, 0)


# Guards against a new leader that reports the jobs of earlier leaders as its own.
def test_jobs_of_earlier_leaders_are_not_counted(log):
    log.submit(Step(1), job=JOB)
    meter = QueueMeter()
    meter.skip(log.table)
    log.submit(Step(1), job=OTHER_JOB)
    assert take_counts(meter, log) == {"q": QueueCounts(accepted=1)}


# Guards against a step that waits unseen, and against one that is reported for good.
def test_the_longest_wait_is_that_of_a_step_that_still_waits(log):
    meter = QueueMeter()
    log.submit(Step(1), job=JOB)
    log.submit(Step(1), job=OTHER_JOB)
    since = {(JOB, 0, 0): 1.0, (OTHER_JOB, 0, 0): 3.0}
    assert take_counts(meter, log, since, 5.0)["q"].oldest_wait_ms == 4000
    log.start(task(job=JOB))
    assert take_counts(meter, log, since, 5.0)["q"].oldest_wait_ms == 2000


# Guards against metrics that grow with each queue that is configured for a while.
def test_only_so_many_queues_have_metrics():
    metrics = Metrics("test")
    gauge = DispatchGauge(metrics, None)
    names = [f"q{number}" for number in range(MAX_SHOWN_QUEUES + 1)]
    gauge.note_queues({name: QueueCounts(accepted=1) for name in names})
    text = metrics.render()[0].decode()
    assert f'queue="{names[-2]}"' in text
    assert f'queue="{names[-1]}"' not in text


# Guards against a busy event loop that no figure shows.
def test_the_delay_of_the_event_loop_is_measured():
    delay = LoopDelay()
    greenlet = gevent.spawn(delay.run)
    gevent.sleep(0)
    try:
        end = loadreport_module.lease_seconds() + 0.1
        while loadreport_module.lease_seconds() < end:
            pass
        gevent.sleep(0.001)
    finally:
        greenlet.kill()
    assert 0.05 < delay.take_largest() < 1
    assert delay.take_largest() == 0


# Guards against figures of the leader that add up over all seconds.
def test_the_figures_of_the_leader_are_those_of_one_report(log, monkeypatch):
    lines = []
    monkeypatch.setattr(
        loadreport_module, "log_event", lambda event, **pairs: lines.append(pairs)
    )
    session = SimpleNamespace(
        table=log.table, gauge=DispatchGauge(Metrics("test"), None)
    )
    reporter = LoadReporter(session)
    reporter.note_pass(0.25)
    reporter.note_poll(3)
    reporter.note_order(Reply(ReplyKind.UNSURE))
    reporter.note_order(Reply(ReplyKind.DONE))
    reporter.log_leader()
    reporter.log_leader()
    figures = ("passes", "planning_ms", "polls", "ends", "orders", "unsure")
    assert [lines[0][name] for name in figures] == [1, 250, 1, 3, 2, 1]
    assert [lines[1][name] for name in figures] == [0] * 6
