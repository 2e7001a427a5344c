"""Metrics of a process, and of a leader.

A reader kept the first 4 KB of each process's figures. A leader's began with
the buckets of one histogram, so that no counter of its own was left to tell
why lasting tasks had lapsed.
"""

from types import SimpleNamespace

from hingepitch.jobs import command as commands
from hingepitch.jobs.gauge import DispatchGauge
from hingepitch.jobs.health import MinionHealth
from hingepitch.jobs.runview import RunView, RunViewStatus
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


def rendered(metrics):
    return metrics.render()[0].decode()


def test_counters_stand_before_the_buckets_of_histograms():
    metrics = Metrics("test")
    for number in range(20):
        metrics.observe("a_seconds", "Times.", 0.1, command=f"command{number}")
    metrics.count("z_ends", "Ends.", result="lapsed")
    beginning = rendered(metrics)[:BEGINNING_BYTES]
    assert 'hingepitch_z_ends{program="test",result="lapsed"} 1' in beginning
    assert "hingepitch_a_seconds_bucket" in rendered(metrics)


def test_a_leader_shows_its_minions_and_runs_by_state():
    metrics = Metrics("test")
    agents = [
        agent([RunViewStatus.RUNNING, RunViewStatus.UNSURE]),
        agent([RunViewStatus.RUNNING], is_unresponsive=True),
        agent(may_start=False),
    ]
    DispatchGauge(metrics, None).note_minions(agents, 0.0)
    text = rendered(metrics)
    for state in ("silent", "unused", "usable"):
        assert f'hingepitch_minions{{program="test",state="{state}"}} 1' in text
    assert 'hingepitch_runs{program="test",status="running"} 2' in text
    assert 'hingepitch_runs{program="test",status="unsure"} 1' in text


def test_a_leader_shows_how_many_lasting_tasks_wait():
    log = Log()
    log.send(commands.PutQueues(make_config()))
    log.send(commands.RegisterMinion(make_minion(1), 0))
    log.submit(Step(count=3, cpu_millicores=100, lasts=True))
    log.start(task(index=0))
    metrics = Metrics("test")
    DispatchGauge(metrics, None).note_waiting(log.table)
    text = rendered(metrics)
    assert 'hingepitch_tasks_waiting{lasting="true",program="test"} 2' in text
    assert 'hingepitch_tasks_waiting{lasting="false",program="test"} 0' in text


def test_a_process_that_no_longer_leads_shows_no_minions():
    metrics = Metrics("test")
    gauge = DispatchGauge(metrics, None)
    gauge.note_minions([agent(is_unresponsive=True)], 0.0)
    gauge.show_nothing()
    assert 'hingepitch_minions{program="test",state="silent"} 0' in rendered(metrics)
