"""
hingepitch.jobs.gauge
~~~~~~~~~~~~~~~~~~~~~

Records the metrics of the dispatching leader.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter
from dataclasses import asdict

from hingepitch.clock import wall_ms
from hingepitch.jobs.accounts.ledger import AccountLedger
from hingepitch.jobs.agents.runview import RunViewStatus
from hingepitch.jobs.crashes.crash import CrashRegistry
from hingepitch.jobs.halls.hallstatus import HallRow
from hingepitch.jobs.queuemeter import QueueCounts, QueueMeter
from hingepitch.jobs.record import JobStatus, TaskStatus

__all__ = ["DispatchGauge"]

#: States of a minion in the metrics, of which the first that applies counts: it
#: does not respond, its runs fail, it may not be used for another reason, or it
#: is usable.
MINION_STATES = ("silent", "sick", "unused", "usable")

#: Limit of the open jobs whose estimated end is kept.
MAX_ESTIMATES = 10_000

#: Limit of the client accounts that have metrics of their own.
MAX_SHOWN_ACCOUNTS = 64

#: Limit of the halls that have metrics of their own.
MAX_SHOWN_HALLS = 64

#: Limit of the queues that have metrics of their own.
MAX_SHOWN_QUEUES = 64


class DispatchGauge:
    """Records counters, gauges and latency histograms during one leadership.

    `metrics`
        The `Metrics` of the process, which outlive the leadership.
    `session`
        The `Session` of the leadership, whose job table is read.
    `estimated_end_ms_by_job`
        Estimated ends of the latest accepted jobs, in milliseconds since the epoch.
    `shown_accounts`
        Names of the client accounts that have had a metric.
    `shown_halls`
        Names of the halls that have had a metric.
    `shown_queues`
        Names of the queues that have had a metric.
    `queues`
        The `QueueMeter`.
    """

    def __init__(self, metrics, session):
        self.metrics = metrics
        self.session = session
        self.shown_accounts = set()
        self.shown_halls = set()
        self.shown_queues = set()
        self.queues = QueueMeter()
        self.estimated_end_ms_by_job = {}

    def note_commit(self, command, seconds):
        """Record the time of a command from its proposal to its commit."""
        self.metrics.observe(
            "commit_seconds",
            "From proposal to commit.",
            seconds,
            command=type(command).__name__,
        )

    def note_order(self, order, reply):
        """Count an order by its reply."""
        self.metrics.count(
            "orders", "Orders to minions.", order=order, reply=reply.kind.value
        )

    def note_begun(self, job):
        """Count a job that has begun; record the time that it took until then.

        Jobs with due times are left out, as they wait for these.
        """
        if job.spec.times:
            return
        self.observe_since("first_start_seconds", job, wall_ms())
        self.queues.note_started(self.session.table.current_queue(job))
        self.note_account_wait(job)

    def note_ends(self, ends, count_by_cause, at_ms):
        """Count ended runs by result and cause; time the jobs that they end.

        `count_by_cause`
            The number of `ends` by `EndCause`.
        `at_ms`
            When the ends were recorded, in milliseconds since the epoch.
        """
        results = Counter(end.result for end in ends)
        for result, count in results.items():
            self.metrics.count("runs_ended", "Runs by end.", count, result=result.value)
        for cause, count in count_by_cause.items():
            self.metrics.count(
                "end_causes", "Runs by what shows their end.", count, cause=cause.value
            )
        for job_id in {end.task.job for end in ends}:
            job = self.session.table.job_by_id.get(job_id)
            if job is not None and not job.is_open and job.ended_ms == at_ms:
                self.observe_since("job_seconds", job, at_ms, status=job.status.value)
                self.note_estimate_error(job)

    def note_estimate(self, job_id, end_ms):
        """Keep the estimated end of a job that is being accepted."""
        while len(self.estimated_end_ms_by_job) >= MAX_ESTIMATES:
            del self.estimated_end_ms_by_job[next(iter(self.estimated_end_ms_by_job))]
        self.estimated_end_ms_by_job[job_id] = end_ms

    def note_estimate_error(self, job):
        """Record by how much the end of a job differs from its estimate."""
        estimated_ms = self.estimated_end_ms_by_job.pop(job.id, None)
        if estimated_ms is not None and job.status is JobStatus.SUCCEEDED:
            error_ms = job.ended_ms - estimated_ms
            self.metrics.observe(
                "admission_estimate_error_seconds",
                "From the estimated to the actual end of a job.",
                abs(error_ms) / 1000,
                ended="late" if error_ms > 0 else "early",
            )

    def note_queues(self, counts_by_queue):
        """Add what became of the jobs of the first `MAX_SHOWN_QUEUES` queues.

        `counts_by_queue`
            The `QueueCounts` of the queues that had jobs, by name. In others no step
            waits.
        """
        for name in counts_by_queue:
            if len(self.shown_queues) >= MAX_SHOWN_QUEUES:
                break
            self.shown_queues.add(name)
        for name in self.shown_queues:
            self.note_queue(name, counts_by_queue.get(name, QueueCounts()))

    def note_queue(self, name, counts):
        """Add the `QueueCounts` of one queue."""
        outcomes = asdict(counts)
        oldest_wait_ms = outcomes.pop("oldest_wait_ms")
        for outcome, count in outcomes.items():
            if count:
                self.metrics.count(
                    "queue_jobs", "Jobs.", count, queue=name, outcome=outcome
                )
        self.metrics.set(
            "queue_oldest_wait_seconds",
            "How long the oldest ready step of a queue has waited.",
            oldest_wait_ms / 1000,
            queue=name,
        )

    def note_leader(self, planning_seconds, longest_delay_seconds):
        """Add the time of planning passes; set the longest delay of the event loop."""
        self.metrics.count(
            "planning_seconds", "Time of planning passes.", planning_seconds
        )
        self.metrics.set(
            "loop_delay_seconds",
            "Longest delay of the event loop in the last second.",
            longest_delay_seconds,
        )

    def note_failure(self, name):
        """Count a failure that was contained in one part of the leader's work."""
        self.metrics.count(
            "session_failures", "Failures of parts of the leader's work.", part=name
        )

    def note_crash(self, blame):
        """Count an incarnation that crashed under runs, and the exposed runs.

        `blame`
            The `Blame` of the incarnation.
        """
        if not blame.exposed:
            return
        self.metrics.count(
            "minion_crashes",
            "Lives of minions that ended under runs.",
            starting=str(bool(blame.starting)).lower(),
        )
        self.metrics.count(
            "runs_exposed", "Runs under which a minion ended.", len(blame.exposed)
        )

    def note_unread(self, result):
        """Count the rows of a status poll that could not be read."""
        for kind, count in (
            ("running", result.unread_running),
            ("ended", result.unread_ended),
        ):
            if count:
                self.metrics.count("rows_unread", "Unread rows.", count, kind=kind)

    def note_minions(self, agents, now):
        """Set the number of minions by state and of runs by status.

        `now`
            The time as `lease_seconds` returns it.
        """
        states = Counter(minion_state(agent, now) for agent in agents)
        for state in MINION_STATES:
            self.metrics.set("minions", "Minions by state.", states[state], state=state)
        views = (view for agent in agents for view in agent.view_by_task.values())
        statuses = Counter(view.status for view in views)
        for status in RunViewStatus:
            self.metrics.set(
                "runs", "Runs by status.", statuses[status], status=status.value
            )

    def note_waiting(self, table):
        """Set the number of waiting tasks of ready steps, by whether long-running."""
        waiting = Counter()
        for job_id, round_number, number in table.ready_steps:
            job = table.job_by_id[job_id]
            tasks = job.round_by_number[round_number].tasks_by_step[number]
            count = sum(task.status is TaskStatus.WAITING for task in tasks)
            waiting[job.spec.steps[number].lasts] += count
        self.set_waiting(waiting)

    def note_account_wait(self, job):
        """Record the wait of a job of a shown client account for its first start."""
        if job.account in self.shown_accounts:
            self.observe_since(
                "account_first_start_seconds", job, wall_ms(), account=job.account
            )

    def note_excess_job(self, job):
        """Count a job that its client account sent beyond its rate."""
        if job.account in self.shown_accounts:
            self.metrics.count(
                "account_jobs_beyond_rate",
                "Jobs of an account beyond its rate.",
                account=job.account,
            )

    def note_accounts(self, ledger):
        """Set what the first `MAX_SHOWN_ACCOUNTS` client accounts use.

        `ledger`
            An `AccountLedger`. Accounts that it no longer names use nothing.
        """
        for name in ledger.quota_by_account:
            if len(self.shown_accounts) >= MAX_SHOWN_ACCOUNTS:
                break
            self.shown_accounts.add(name)
        for name in self.shown_accounts:
            usage = ledger.usage(name)
            self.metrics.set(
                "account_runs", "Runs of an account.", usage.runs, account=name
            )
            self.metrics.set(
                "account_millicores",
                "Millicores that the runs of an account may use.",
                usage.cpu_millicores,
                account=name,
            )

    def note_halls(self, rows, agents=(), now=0.0):
        """Set the VMs, the runs and the cordon of the first `MAX_SHOWN_HALLS` halls.

        `rows`
            The `HallRow` of each hall. Halls that are missing have no VMs.
        `agents`, `now`
            The agents, whose minions may be cold, and the time as `lease_seconds`
            returns it.
        """
        cold = Counter(one.minion.hall for one in agents if one.warmth.is_cold(now))
        row_by_hall = {row.name: row for row in rows}
        for name in row_by_hall:
            if len(self.shown_halls) >= MAX_SHOWN_HALLS:
                break
            self.shown_halls.add(name)
        for name in self.shown_halls:
            row = row_by_hall.get(name, HallRow(name))
            is_cordoned = row.cordoned_since_ms is not None
            for metric, doc, value in (
                ("hall_vms", "VMs of a hall that have a minion.", row.vms),
                ("hall_cold_vms", "VMs of a hall with a cold minion.", cold[name]),
                ("hall_runs", "Runs in a hall.", row.runs),
                ("hall_cordoned", "Whether a hall is cordoned.", int(is_cordoned)),
            ):
                self.metrics.set(metric, doc, value, hall=name)

    def note_suspects(self, crashes):
        """Set the number of suspected tasks and of unresponsive incarnations."""
        suspects = sum(1 for job in crashes.jobs() for _ in crashes.suspects(job))
        self.metrics.set("suspects", "Tasks that start apart.", suspects)
        self.metrics.set(
            "silent_lives",
            "Silent minions whose leases are over.",
            len(crashes.blame_by_life),
        )

    def set_waiting(self, waiting):
        """Set the number of waiting tasks.

        `waiting`
            Their number by whether they are long-running.
        """
        for lasts in (False, True):
            self.metrics.set(
                "tasks_waiting",
                "Tasks whose turn has come.",
                waiting[lasts],
                lasting=str(lasts).lower(),
            )

    def reset_gauges(self):
        """Set all gauges to 0, since this process no longer leads."""
        self.note_minions((), 0.0)
        self.set_waiting(Counter())
        self.note_suspects(CrashRegistry())
        self.note_accounts(AccountLedger())
        self.note_halls(())
        self.note_queues({})

    def observe_since(self, name, job, at_ms, **labels):
        """Record the time from a job's acceptance until `at_ms` since the epoch."""
        seconds = (at_ms - job.accepted_ms) / 1000
        self.metrics.observe(name, "From acceptance.", seconds, **labels)


def minion_state(agent, now):
    """Return the state of the minion of `agent`, one of `MINION_STATES`."""
    if agent.is_unresponsive:
        return "silent"
    if agent.health.is_unhealthy(now):
        return "sick"
    return "usable" if agent.may_start(now) else "unused"
