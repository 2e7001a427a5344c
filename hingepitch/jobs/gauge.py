"""
hingepitch.jobs.gauge
~~~~~~~~~~~~~~~~~~~~~

What the leader counts and times, for its metrics.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter

from hingepitch.clock import wall_ms
from hingepitch.jobs.contact import ReplyKind
from hingepitch.jobs.crash import CrashBook
from hingepitch.jobs.record import TaskStatus
from hingepitch.jobs.runview import RunViewStatus

__all__ = ["DispatchGauge"]

#: What a leader makes of a minion, the worst that fits: does not answer, fails
#: what it runs, or may not be used for another reason.
MINION_STATES = ("silent", "sick", "unused", "usable")


class DispatchGauge:
    """Counters and latency histograms of one leadership.

    `metrics`
        The `Metrics` of the process; it outlives the leadership.
    `session`
        The leadership, for its table.
    """

    def __init__(self, metrics, session):
        self.metrics = metrics
        self.session = session

    def note_commit(self, command, seconds):
        """Time a command from the leader's proposal to its commit."""
        self.metrics.observe(
            "commit_seconds",
            "From proposal to commit.",
            seconds,
            command=type(command).__name__,
        )

    def note_order(self, order, run, reply):
        """Count an order by its reply, and time the first start of a job."""
        self.metrics.count(
            "orders", "Orders to minions.", order=order, reply=reply.kind.value
        )
        is_first = run.number == 1 and run.task[1:] == (0, 0, 0)
        if order == "start" and reply.kind is ReplyKind.DONE and is_first:
            job = self.session.table.job_by_id.get(run.task.job)
            if job is not None and not job.spec.times:
                self.observe_since("first_start_seconds", job, wall_ms())

    def note_ends(self, ends, cause, at_ms):
        """Count ends by their result and cause, and time the jobs that they end."""
        for end in ends:
            self.metrics.count("runs_ended", "Runs by end.", result=end.result.value)
        self.metrics.count(
            "end_causes", "Runs by what shows their end.", len(ends), cause=cause.value
        )
        for job_id in {end.task.job for end in ends}:
            job = self.session.table.job_by_id.get(job_id)
            if job is not None and not job.is_open and job.ended_ms == at_ms:
                self.observe_since("job_seconds", job, at_ms, status=job.status.value)

    def note_failure(self, name):
        """Count a failure of a part of the leader's work that ended nothing else."""
        self.metrics.count(
            "session_failures", "Failures of parts of the leader's work.", part=name
        )

    def note_crash(self, blame):
        """Count a life of a minion that ended unplanned, and the runs lost with it."""
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

    def note_unread(self, look):
        """Count the rows of a look that could not be read."""
        for kind, count in (
            ("running", look.unread_running),
            ("ended", look.unread_ended),
        ):
            if count:
                self.metrics.count("rows_unread", "Unread rows.", count, kind=kind)

    def note_minions(self, agents, now):
        """Show how many minions are in which state, and runs in which status.

        `now`
            On `lease_seconds`.
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
        """Show how many tasks wait whose turn has come, by whether they last."""
        waiting = Counter()
        for job_id, round_number, number in table.ready_steps:
            job = table.job_by_id[job_id]
            tasks = job.round_by_number[round_number].tasks_by_step[number]
            count = sum(task.status is TaskStatus.WAITING for task in tasks)
            waiting[job.spec.steps[number].lasts] += count
        self.show_waiting(waiting)

    def note_suspects(self, crashes):
        """Show how many tasks are under suspicion, and how many lives are silent."""
        suspects = sum(1 for job in crashes.jobs() for _ in crashes.suspects(job))
        self.metrics.set("suspects", "Tasks that start apart.", suspects)
        self.metrics.set(
            "silent_lives",
            "Silent minions whose leases are over.",
            len(crashes.blame_by_life),
        )

    def show_waiting(self, waiting):
        """Show the tasks that wait; `waiting`: count by whether they last."""
        for lasts in (False, True):
            self.metrics.set(
                "tasks_waiting",
                "Tasks whose turn has come.",
                waiting[lasts],
                lasting=str(lasts).lower(),
            )

    def show_nothing(self):
        """Show that this process does not lead: others make the decisions now."""
        self.note_minions((), 0.0)
        self.show_waiting(Counter())
        self.note_suspects(CrashBook())

    def observe_since(self, name, job, at_ms, **labels):
        """Time a job from its acceptance until `at_ms` since the epoch."""
        seconds = (at_ms - job.accepted_ms) / 1000
        self.metrics.observe(name, "From acceptance.", seconds, **labels)


def minion_state(agent, now):
    """Return which of `MINION_STATES` the minion of `agent` is in."""
    if agent.is_silent:
        return "silent"
    if agent.health.is_sick(now):
        return "sick"
    return "usable" if agent.may_start(now) else "unused"
