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
from hingepitch.jobs.rule import place_fault
from hingepitch.jobs.spec import TaskKey
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

#: A minion that may not run a step is asked about again after so long, in
#: seconds. Source: the answer for a step does not change, but a life that has
#: just come may not be known to the adviser yet.
DENIED_SECONDS = 5.0

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
    `permissions_by_step`
        What was permitted, by life.
    `denied_until_by_step`
        Until when lives are not asked about again.
    """

    def __init__(self, session, adviser):
        self.session = session
        self.adviser = adviser
        self.permissions_by_step = {}
        self.denied_until_by_step = {}

    def run(self):
        """Ask until killed."""
        while True:
            began = lease_seconds()
            asked = self.session.attempt("permissions", self.ask_all)
            if not asked:
                gevent.sleep(max(IDLE_SECONDS, lease_seconds() - began))

    def ask_all(self):
        """Ask for each step that needs it; return whether one did."""
        asked = False
        for step_key in list(self.session.table.ready_steps):
            # Each step is tried against many minions: 900 of them took 154 ms,
            # in which nothing else of the leader went on.
            gevent.sleep(0)
            if self.needs_call(step_key):
                asked = self.ask(step_key) or asked
        self.forget()
        return asked

    def advice_of(self, step_key):
        """Return the queue's terms of advice for a step, or None."""
        job = self.session.table.job_by_id.get(step_key[0])
        return self.session.table.policy(job).advice if job else None

    def needs_call(self, step_key):
        """Whether a step needs permissions and has none that it can use.

        A permitted minion that is full or gone is of no use to the tasks that
        wait: the others are asked about beside it.
        """
        if step_key not in self.session.table.ready_steps:
            return False
        if self.advice_of(step_key) is None:
            return False
        return not any(self.takes(step_key, life) for life in self.permitted(step_key))

    def takes(self, step_key, life):
        """Whether a minion has a place for one more task of a step."""
        table = self.session.table
        minion = table.minion_by_id.get(life)
        if minion is None or table.is_leaving(minion):
            return False
        job = table.job_by_id[step_key[0]]
        return not place_fault(table, job, TaskKey(*step_key, 0), minion)

    def ask(self, step_key):
        """Ask about one step, keep what is permitted; return whether it asked."""
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
        self.permissions_by_step.setdefault(step_key, {}).update(
            (life, Permission(ticket, until)) for life, ticket in ticket_by_life.items()
        )
        self.denied_until_by_step.setdefault(step_key, {}).update(
            (life, sent_at + DENIED_SECONDS)
            for life in lives
            if life not in ticket_by_life
        )
        log_event(
            "advice_taken", job=step_key[0], asked=len(lives), good=len(ticket_by_life)
        )
        self.session.woken.set()
        return True

    def candidates(self, step_key):
        """Return the lives to ask about, those with the most room first.

        Beside permissions that hold, only those that have a place now.
        """
        table = self.session.table
        pool = table.policy(table.job_by_id[step_key[0]]).pool
        known = self.permitted(step_key)
        now = lease_seconds()
        denied_until = self.denied_until_by_step.get(step_key, {})
        minions = [
            one
            for one in table.minion_by_id.values()
            if one.pool == pool
            and one.id not in known
            and now >= denied_until.get(one.id, 0.0)
            and (not known or self.takes(step_key, one.id))
        ]
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
                self.denied_until_by_step.pop(step_key, None)
