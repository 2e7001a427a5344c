"""Metrics of a process and of a leader.

Guards against counters that a scraper cuts off: one kept only the first 4 KB of
each process's metrics, and a leader's began with the buckets of a histogram, so
that no counter showed why the leases of long-running tasks had expired.
"""

from types import SimpleNamespace

from hingepitch.jobs import command as commands
from hingepitch.jobs.agents.runview import RunView, RunViewStatus
from hingepitch.jobs.crashes.health import MinionHealth
from hingepitch.jobs.gauge import DispatchGauge
from hingepitch.jobs.spec import Step
from hingepitch.metric import Metrics
from tests.test_job_rules import Log, make_config, make_minion, task

BEGINNING_BYTES = 4000


def agent(statuses=(), is_unresponsive=False, may_start=True):
    views = {index: RunView(None, status) for index, status in enumerate(statuses)}
    return SimpleNamespace(
        is_unresponsive=is_unresponsive,
        health=MinionHealth(),
        may_start=lambda now: may_start,
        view_by_task=views,
    )


def render_text(metrics):
    return metrics.render()[0].decode()


def test_counters_are_rendered_before_histogram_buckets():
    metrics = Metrics("test")
    for number in range(20):
        metrics.observe("a_seconds", "Times.", 0.1, command=f"command{number}")
    metrics.count("z_ends", "Ends.", result="lapsed")
    beginning = render_text(metrics)[:BEGINNING_BYTES]
    assert 'hingepitch_z_ends{program="test",result="lapsed"} 1' in beginning
    assert "hingepitch_a_seconds_bucket" in render_text(metrics)


def test_a_leader_exports_its_minions_and_runs_by_state():
    metrics = Metrics("test")
    agents = [
        agent([RunViewStatus.RUNNING, RunViewStatus.UNSURE]),
        agent([RunViewStatus.RUNNING], is_unresponsive=True),
        agent(may_start=False),
    ]
    DispatchGauge(metrics, None).note_minions(agents, 0.0)
    text = render_text(metrics)
    for state in ("silent", "unused", "usable"):
        assert f'hingepitch_minions{{program="test",state="{state}"}} 1' in text
    assert 'hingepitch_runs{program="test",status="running"} 2' in text
    assert 'hingepitch_runs{program="test",status="unsure"} 1' in text


def test_a_leader_exports_the_number_of_waiting_long_running_tasks():
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.send(commands.RegisterMinion(make_minion(1), 0))
    log.submit(Step(count=3, cpu_millicores=100, lasts=True))
    log.start(task(index=0))
    metrics = Metrics("test")
    DispatchGauge(metrics, None).note_waiting(log.table)
    text = render_text(metrics)
    assert 'hingepitch_tasks_waiting{lasting="true",program="test"} 2' in text
    assert 'hingepitch_tasks_waiting{lasting="false",program="test"} 0' in text


def test_a_former_leader_exports_no_minions():
    metrics = Metrics("test")
    gauge = DispatchGauge(metrics, None)
    gauge.note_minions([agent(is_unresponsive=True)], 0.0)
    gauge.reset_gauges()
    assert 'hingepitch_minions{program="test",state="silent"} 0' in render_text(metrics)
