"""What a job and a decision cost with eight queues and with 1,888.

Seen: after a configuration with 1,880 queues more, a crest of jobs took the
whole processor of the leader; nothing was served long after a restart.
How it came about, as far as shown: finding the queue of a path looked at all
queues, for each job on every replica and for each question about a queue, and
so did each decision on moves. Cause of this part: no index by host and path.
That it made the outage is not shown: it is one of several loads at a crest.
Proof: the queues that are looked at are counted; they are the same few for
both sizes.
"""

from types import SimpleNamespace

import pytest

from hingepitch.clock import lease_seconds
from hingepitch.jobs.mover import MoveController
from hingepitch.jobs.pool import PoolTerms
from hingepitch.jobs.question import AskPending
from hingepitch.jobs.queue import Queue, QueueConfig, QueuePool
from hingepitch.jobs.roster import MinionRoster
from hingepitch.jobs.service import JobService
from hingepitch.jobs.spec import Step
from tests.test_job_rules import HOST, JOB, Log

FEW, MANY = 8, 1888


class WatchedQueue:
    """A queue that notes when it is looked at."""

    def __init__(self, queue, looked_at):
        self.queue = queue
        self.looked_at = looked_at

    def __getattr__(self, name):
        self.looked_at.add(self.queue.name)
        return getattr(self.queue, name)


def put_queues(table, count):
    """Give `table` so many queues; return the set of those looked at from now on."""
    looked_at = set()
    queues = tuple(
        WatchedQueue(
            Queue(f"q{number}", HOST, f"/q{number}/", "pool", timeout_ms=1), looked_at
        )
        for number in range(count)
    )
    table.put_config(QueueConfig(9, queues, (QueuePool("pool"),)))
    looked_at.clear()
    return looked_at


def accept_job(log):
    """Accept a job of the fourth queue."""
    assert not log.submit(Step(1), path="/q3/")
    assert log.table.job_by_id[JOB].queue.name == "q3"


def ask_pending(log):
    """Ask how many jobs of the fourth queue wait."""
    replica = SimpleNamespace(state=log.state, confirm=lambda: None)
    service = JobService(replica, MinionRoster(), None, "test")
    assert service.answer(AskPending(HOST, "/q3/")) == 0


def decide_on_moves(log):
    """Look at the pools as a decision on moves does."""
    session = SimpleNamespace(
        table=log.table,
        measure_pools=dict,
        agent_by_minion={},
        upkeep=SimpleNamespace(leaving_since_by_vm={}),
    )
    desk = MoveController(session, None, PoolTerms(), 1.0)
    desk.demand.wanted = lambda pool, load, now: 7
    views = list(desk.views(log.table.config, lease_seconds()))
    assert [(view.name, view.wanted) for view in views] == [("pool", 7)]


@pytest.mark.parametrize("count", [FEW, MANY])
@pytest.mark.parametrize(
    ("work", "queues"),
    [(accept_job, {"q3"}), (ask_pending, {"q3"}), (decide_on_moves, set())],
)
def test_no_work_looks_at_all_queues(work, queues, count):
    log = Log()
    looked_at = put_queues(log.table, count)
    work(log)
    assert looked_at == queues
