"""Estimates of the wait for the work ahead of a new job."""

from dataclasses import replace

from hingepitch.jobs import backlog as backlogs
from hingepitch.jobs.estimate import Supply


# Guards against a wait that leaves out VMs on their way, or work that still arrives.
def test_work_is_done_by_the_vms_that_are_there_and_those_that_come():
    supply = Supply(1000, ((1500, 3000),))
    assert supply.drain_ms(1000) == 1000
    assert supply.drain_ms(1500) == 1500
    assert supply.drain_ms(5500) == 2500
    assert replace(supply, arriving=1000).drain_ms(3000) == 2500
    assert replace(supply, arriving=5000).drain_ms(1) == float("inf")


# Guards against jobs behind the new one that count as ahead of it, and against equal
# ones, which keep their turn, that do not.
def test_only_what_is_more_urgent_is_ahead():
    backlog = backlogs.PoolBacklog()
    ranks = [
        backlogs.Rank(1, is_excess, is_late, due)
        for is_excess in (False, True)
        for is_late in (False, True)
        for due in (5, 9)
    ]
    backlog.waiting = [backlogs.WaitingJob(rank, 1.0) for rank in reversed(ranks)]
    backlog.seal()
    assert [backlog.work_ahead(rank) for rank in ranks] == list(range(1, 9))
    backlog.add_recent(backlogs.WaitingJob(ranks[2], 10.0))
    assert backlog.work_ahead(ranks[1]) == 2
    assert backlog.work_ahead(ranks[2]) == 13
