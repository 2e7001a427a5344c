"""Placement without the settings for cold minions and halls, as it was before them."""

import random

import pytest

from hingepitch.jobs import command as commands, score
from hingepitch.jobs.duration import Durations
from hingepitch.jobs.plan import PlanContext, plan_starts
from hingepitch.jobs.spec import Step
from tests.test_job_plan import make_log, plan
from tests.test_job_rules import make_minion

MINIONS = 12
JOBS = 14


def earlier_score(work, step, minion, used, is_suspect, avoided, *_):
    """Return the score of the build before these settings."""
    utilization = used.cpu_millicores / max(1, minion.cpu_millicores)
    return (
        minion.vm in avoided,
        bool(step.data_rack) and minion.rack != step.data_rack,
        step.lasts and minion.vm in work.vms_due,
        work.plan_context.penalty_by_minion.get(minion.id, 0.0),
        utilization if is_suspect else -utilization,
    )


def make_random_log(draw):
    """Return a log with minions in three halls, runs on some, and waiting jobs."""
    log = make_log(
        *(
            make_minion(
                number,
                hall=f"h{draw.randrange(3)}",
                rack=f"r{draw.randrange(4)}",
                cpu_millicores=draw.choice((4000, 8000)),
            )
            for number in range(MINIONS)
        )
    )
    due = tuple(f"vm-{number}" for number in draw.sample(range(MINIONS), 3))
    log.send(commands.PutWave(1, due, 1, 60_000))
    for number in range(JOBS):
        if number == JOBS // 2:
            log.send(commands.StartRuns(*plan(log), 0))
        step = Step(
            draw.randint(1, 6),
            draw.choice((500, 1400, 3000)),
            estimate_ms=draw.randint(200, 2000),
            lasts=draw.random() < 0.3,
            gang=draw.random() < 0.2,
            same_rack=draw.random() < 0.2,
            data_rack=draw.choice(("", "r1")),
            max_per_minion=draw.choice((0, 0, 2)),
        )
        log.submit(step, job=f"{number:016x}", at_ms=draw.randint(0, 4000))
    return log


# Guards against other starts at sites whose settings do not ask for them.
@pytest.mark.parametrize("seed", range(40))
def test_without_the_settings_the_same_starts_are_planned(monkeypatch, seed):
    draw = random.Random(seed)
    log = make_random_log(draw)
    usable = {one for one in log.table.minion_by_id if draw.random() < 0.9}
    penalties = {one: draw.choice((0.0, 0.0, 1.0)) for one in usable}
    context = PlanContext(5000, usable, penalties, durations=Durations())
    planned = plan_starts(log.table, context)
    assert planned[0] or planned[1]
    monkeypatch.setattr(score, "score_minion", earlier_score)
    assert planned == plan_starts(log.table, context)
