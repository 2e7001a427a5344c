"""
hingepitch.jobs.permission
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which minions may run a step, where a queue needs permission: asked of
an adviser, kept as long as it holds.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.log import log_event

__all__ = ["Permission", "PermissionDesk"]

#: Minions asked about in one call. Source: one call on 30 minions a step is
#: what a job is granted time for.
MINIONS_IN_CALL = 30

#: Longest wait for an answer of the adviser, in seconds.
CALL_SECONDS = 5.0

#: Pause when nothing is to be asked, and after a call that failed, in seconds.
IDLE_SECONDS = 0.02
RETRY_SECONDS = 0.2

#: A permission that ends sooner than this is asked for anew, in seconds: the
#: start has to reach the minion while it holds.
MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Permission:
    """One life of a minion may run one step.

    `ticket`
        What the minion wants to see with a start.
    `until`
        On the clock of `lease_seconds`.
    """

    ticket: str
    until: float


class PermissionDesk:
    """Asks for the steps that are ready, one call after another.

    `session`
        The leadership: its table and its agents.
    `adviser`
        Client with `advise(step_key, lives, seconds)`, which returns the
        tickets by life, or None; None where there is no adviser.
    """

    def __init__(self, session, adviser):
        self.session = session
        self.adviser = adviser
        self.permissions_by_step = {}

    def run(self):
        """Ask until killed."""
        while True:
            asked = False
            for step_key in list(self.session.table.ready_steps):
                if self.needs_call(step_key):
                    asked = self.ask(step_key) or asked
            self.forget()
            if not asked:
                gevent.sleep(IDLE_SECONDS)

    def advice_of(self, step_key):
        """Return the queue's terms of advice for a step, or None."""
        job = self.session.table.job_by_id.get(step_key[0])
        return self.session.table.policy(job).advice if job else None

    def needs_call(self, step_key):
        """Whether a step needs permissions and has none that hold."""
        return self.advice_of(step_key) is not None and not self.permitted(step_key)

    def ask(self, step_key):
        """Ask about one step; keep what is permitted; return whether it was asked."""
        lives = self.candidates(step_key)
        if not lives:
            return False
        sent_at = lease_seconds()
        ticket_by_life = self.adviser.advise(step_key, lives, CALL_SECONDS)
        if ticket_by_life is None:
            gevent.sleep(RETRY_SECONDS)
            return True
        terms = self.advice_of(step_key)
        if terms is None:
            return True
        until = sent_at + terms.valid_ms / 1000
        self.permissions_by_step[step_key] = {
            life: Permission(ticket, until) for life, ticket in ticket_by_life.items()
        }
        log_event(
            "advice_taken", job=step_key[0], asked=len(lives), good=len(ticket_by_life)
        )
        self.session.woken.set()
        return True

    def candidates(self, step_key):
        """Return the lives to ask about, those with the most room first."""
        table = self.session.table
        job = table.job_by_id[step_key[0]]
        pool = table.policy(job).pool
        minions = [one for one in table.minion_by_id.values() if one.pool == pool]
        minions.sort(key=lambda one: table.taken_by_minion[one.id].cpu_millicores)
        return [minion.id for minion in minions[:MINIONS_IN_CALL]]

    def permitted(self, step_key):
        """Return the lives that may run a step, for a while to come."""
        soon = lease_seconds() + MARGIN_SECONDS
        permissions = self.permissions_by_step.get(step_key, {})
        return {life for life, one in permissions.items() if one.until > soon}

    def ticket(self, step_key, life):
        """Return the ticket for a start, or None if there is none."""
        permission = self.permissions_by_step.get(step_key, {}).get(life)
        return permission.ticket if permission else None

    def forget(self):
        """Forget the steps whose jobs have ended."""
        jobs = self.session.table.job_by_id
        for step_key in list(self.permissions_by_step):
            job = jobs.get(step_key[0])
            if job is None or not job.is_open:
                del self.permissions_by_step[step_key]
