"""
soak.caller
~~~~~~~~~~~

Callers of the entries, which submit, query and cancel jobs.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import json
import time
from dataclasses import dataclass

from soak.operator import QUEUE
from standin.client import Client
from standin.site import HOST, KEY_HEADER

__all__ = ["Caller", "Job"]

CALL_SECONDS = 4.0

#: Start of all job ids; the stub minions let jobs with certain others fail.
ID_PREFIX = "a"

ENDED_STATES = ("succeeded", "failed", "cancelled")

#: Fractions of the calls that submit and cancel; the others query a job.
SUBMIT_SHARE = 0.5
CANCEL_SHARE = 0.1


@dataclass
class Job:
    """A job as known to its caller.

    `widths`
        Number of tasks of each step.
    `cancelled_at`
        When the cancellation was acknowledged, in seconds of the monotonic clock.
    `state`
        The state in the latest reply.
    """

    id: str
    widths: tuple[int, ...]
    is_accepted: bool = False
    is_cancel_sent: bool = False
    cancelled_at: float | None = None
    state: str = ""

    @property
    def has_ended(self):
        """Whether the latest state is a final one."""
        return self.state in ENDED_STATES


class Caller(Client):
    """Submits jobs and follows them until they end.

    `jobs`
        All jobs that were sent, in order.
    `unsure`
        The job whose submission has an unknown outcome, or None.
    `key`
        Key of its client account; empty: it sends none.
    """

    def __init__(self, addresses, record, rng, key="", pause_seconds=0.03):
        super().__init__(addresses, record, CALL_SECONDS, pause_seconds)
        self.rng = rng
        self.key = key
        self.jobs = []
        self.unsure = None

    def step(self):
        """Make one random call."""
        share = self.rng.random()
        open_jobs = [job for job in self.accepted() if not job.has_ended]
        if self.unsure or share < SUBMIT_SHARE or not open_jobs:
            return self.submit()
        if share < SUBMIT_SHARE + CANCEL_SHARE:
            return self.cancel(self.rng.choice(open_jobs))
        return self.ask(self.rng.choice(self.accepted()))

    def accepted(self):
        """Return the jobs whose acceptance was acknowledged."""
        return [job for job in self.jobs if job.is_accepted]

    def call(self, method, job, body=None):
        """Call an entry with the path of a job; return `(status, body)`."""
        headers = {"Host": HOST} | ({KEY_HEADER: self.key} if self.key else {})
        return self.link.call(method, QUEUE + job.id, body, headers)

    def submit(self):
        """Submit a new job, or resend one without a reply; return whether accepted."""
        job = self.unsure
        if job is None:
            widths = tuple(self.rng.randrange(1, 4) for _ in range(2))
            job = Job(f"{ID_PREFIX}{self.rng.getrandbits(60):015x}", widths)
            self.jobs.append(job)
        steps = [
            {"count": width, "cpu": 500, "after": [at - 1] if at else []}
            for at, width in enumerate(job.widths)
        ]
        body = json.dumps({"spec": "text", "steps": steps})
        status, data = self.call("POST", job, body)
        self.unsure = None
        if status == 200:
            job.is_accepted = True
            return True
        if status == 0 or status >= 500:
            self.unsure = job
        else:
            self.record.check("valid jobs are not refused", False, f"{status} {data}")
        return False

    def ask(self, job):
        """Query the state of an accepted job; return whether a reply gave it."""
        status, data = self.call("GET", job)
        self.record.check(
            "accepted jobs are known",
            status in (0, 200) or status >= 500 or job.is_cancel_sent,
            f"{job.id} was answered with {status}",
        )
        if status != 200:
            return False
        state = json.loads(data)["state"]
        self.record.check(
            "ended jobs stay ended",
            not job.has_ended or state == job.state,
            f"{job.id} was {job.state}, then {state}",
        )
        job.state = state
        self.record.check(
            "jobs do not fail or end cancelled without cause",
            state != "failed" and (state != "cancelled" or job.is_cancel_sent),
            f"{job.id} is {state}",
        )
        return True

    def cancel(self, job):
        """Cancel a job; return whether the cancellation was acknowledged."""
        job.is_cancel_sent = True
        is_acked = self.call("DELETE", job)[0] == 200
        if is_acked and job.cancelled_at is None:
            job.cancelled_at = time.monotonic()
        return is_acked

    def wait_for_jobs(self, deadline):
        """Query the accepted jobs until all have ended; check that they did.

        `deadline`
            Time of the monotonic clock, in seconds.
        """
        waiting = [job for job in self.accepted() if not job.has_ended]
        while waiting and time.monotonic() < deadline:
            for job in waiting:
                self.ask(job)
            waiting = [job for job in waiting if not job.has_ended]
            time.sleep(0.05)
        for job in self.accepted():
            detail = f"{job.id} is {job.state or 'unknown'}"
            self.record.check("accepted jobs end", job.has_ended, detail)
