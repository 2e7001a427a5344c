"""
hingepitch.jobs.loadreport
~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports the load of one leadership at intervals: its queues, its pools and itself.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter
from dataclasses import asdict, dataclass

import gevent

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.jobs.agents.contact import ReplyKind
from hingepitch.jobs.halls.hallstatus import measure_halls
from hingepitch.log import log_event
from hingepitch.loopdelay import LoopDelay

__all__ = ["LoadReporter"]

#: Interval between two reports, in seconds.
REPORT_SECONDS = 1.0


@dataclass(slots=True)
class LeaderLoad:
    """What the leader did since the last report.

    `passes`, `planning_seconds`
        Number of planning passes that had work, and the time that they took.
    `polls`, `ends`
        Status polls that were answered, and ends of runs that they listed.
    `orders`, `unsure`
        Orders to minions, and those of them that got no conclusive reply.
    """

    passes: int = 0
    planning_seconds: float = 0.0
    polls: int = 0
    ends: int = 0
    orders: int = 0
    unsure: int = 0


class LoadReporter:
    """Logs the load once a second and updates the gauges.

    `session`
        The `Session` of the leadership.
    `loop_delay`
        The `LoopDelay` of this process.
    `leader`
        The `LeaderLoad` since the last report.
    """

    def __init__(self, session):
        self.session = session
        session.gauge.queues.skip(session.table)
        self.loop_delay = LoopDelay()
        self.leader = LeaderLoad()

    def note_pass(self, seconds):
        """Note a planning pass."""
        self.leader.passes += 1
        self.leader.planning_seconds += seconds

    def note_poll(self, ends):
        """Note an answered status poll that lists so many ends."""
        self.leader.polls += 1
        self.leader.ends += ends

    def note_order(self, reply):
        """Note the reply to an order."""
        self.leader.orders += 1
        self.leader.unsure += reply.kind is ReplyKind.UNSURE

    def run(self):
        """Report at intervals until killed."""
        while True:
            gevent.sleep(REPORT_SECONDS)
            self.session.attempt("loads", self.report)

    def report(self):
        """Report once."""
        now = lease_seconds()
        self.update_gauges(now)
        self.log_leader()
        self.log_queues(now)
        self.log_pools()

    def update_gauges(self, now):
        """Update the gauges of minions, tasks, accounts and halls."""
        session = self.session
        agents = list(session.agent_by_minion.values())
        gauge, table = session.gauge, session.table
        gauge.note_minions(agents, now)
        gauge.note_waiting(table)
        gauge.note_suspects(table.crashes)
        gauge.note_accounts(table.ledger)
        gauge.note_halls(measure_halls(table, wall_ms()), agents, now)

    def log_leader(self):
        """Log what the leader did, and by how much its event loop was late."""
        load, self.leader = self.leader, LeaderLoad()
        largest = self.loop_delay.take_largest()
        self.session.gauge.note_leader(load.planning_seconds, largest)
        log_event(
            "leader_load",
            loop_delay_ms=round(1000 * self.loop_delay.average, 1),
            longest_delay_ms=round(1000 * largest),
            passes=load.passes,
            planning_ms=round(1000 * load.planning_seconds),
            polls=load.polls,
            ends=load.ends,
            orders=load.orders,
            unsure=load.unsure,
        )

    def log_queues(self, now):
        """Log what became of the jobs of each queue that had any."""
        session = self.session
        counts_by_queue = session.gauge.queues.take_counts(
            session.table,
            session.durations,
            session.planner.ready_since_by_step,
            now,
        )
        session.gauge.note_queues(counts_by_queue)
        for name, counts in counts_by_queue.items():
            log_event("queue_load", queue=name, **asdict(counts))

    def log_pools(self):
        """Log the load of each pool, and the VMs that it wants, has and awaits."""
        mover = self.session.mover
        incoming = Counter(mover.pool_by_moving_vm.values())
        for pool, load in self.session.measure_pools().items():
            log_event(
                "pool_load",
                pool=pool,
                minions=load.minions,
                room=load.room,
                running=load.running,
                lasting=load.lasting,
                waiting=load.waiting,
                waiting_late=load.waiting_late,
                waiting_tasks=load.waiting_tasks,
                wanted=mover.wanted_by_pool.get(pool, 0),
                incoming=incoming[pool],
                idle=mover.idle_by_pool.get(pool, 0),
            )
