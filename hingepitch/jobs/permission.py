"""
hingepitch.jobs.permission
~~~~~~~~~~~~~~~~~~~~~~~~~~

Obtains permissions to run a step on a minion, for queues that need them. An
adviser grants the permissions, which are cached while they are valid.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.jobs.rule import placement_rejection
from hingepitch.jobs.spec import TaskKey
from hingepitch.log import log_event

__all__ = ["Permission", "PermissionController"]

#: Limit of minions in one call. The time granted to a job allows for one call per
#: step, on 30 minions.
MINIONS_IN_CALL = 30

#: Timeout of a call to the adviser, in seconds.
CALL_TIMEOUT_SECONDS = 5.0

#: Pause when no permission is needed, and after a failed call, in seconds.
IDLE_SECONDS = 0.02
RETRY_SECONDS = 0.2

#: The adviser is asked again about a denied minion after this time, in seconds.
#: The answer for a step does not change, but the adviser may not yet know a new
#: minion incarnation.
DENIAL_RETRY_SECONDS = 5.0

#: A permission that expires within this time, in seconds, is requested again: the
#: start has to reach the minion while the permission is valid.
MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Permission:
    """The permission to run one step on one minion incarnation.

    `ticket`
        Ticket that the minion requires with a start.
    `until`
        Expiry time on the clock of `lease_seconds`.
    """

    ticket: str
    until: float


class PermissionController:
    """Requests permissions for the steps that are ready, one call at a time.

    `session`
        The session of the leader, with its table and agents.
    `adviser`
        Client with `advise(step_key, lives, seconds)`, which returns tickets by
        minion incarnation, or None if the call failed; None without an adviser.
    `permissions_by_step`
        `Permission` by minion incarnation, by step.
    `denied_until_by_step`
        Time until which the adviser is not asked again, by minion incarnation,
        by step.
    """

    def __init__(self, session, adviser):
        self.session = session
        self.adviser = adviser
        self.permissions_by_step = {}
        self.denied_until_by_step = {}

    def run(self):
        """Request permissions until killed."""
        while True:
            began = lease_seconds()
            asked = self.session.attempt("permissions", self.request_all)
            if not asked:
                gevent.sleep(max(IDLE_SECONDS, lease_seconds() - began))

    def request_all(self):
        """Request permissions for each step that needs them; return whether any did."""
        asked = False
        for step_key in list(self.session.table.ready_steps):
            # Yields to other greenlets: each step is checked against many minions,
            # and 900 steps blocked the leader for 154 ms.
            gevent.sleep(0)
            if self.needs_call(step_key):
                asked = self.ask(step_key) or asked
        self.forget_ended_jobs()
        return asked

    def advice_terms(self, step_key):
        """Return the `AdviceTerms` of the queue of a step, or None."""
        job = self.session.table.job_by_id.get(step_key[0])
        return self.session.table.current_queue(job).advice if job else None

    def needs_call(self, step_key):
        """Whether a step needs permissions and has no usable one.

        The permission for a minion that is full or gone is not usable by waiting
        tasks: the adviser is asked about other minions in addition.
        """
        if step_key not in self.session.table.ready_steps:
            return False
        if self.advice_terms(step_key) is None:
            return False
        return not any(
            self.has_capacity(step_key, life) for life in self.permitted(step_key)
        )

    def has_capacity(self, step_key, life):
        """Whether a minion can run one more task of a step."""
        table = self.session.table
        minion = table.minion_by_id.get(life)
        if minion is None or table.is_leaving(minion):
            return False
        if minion.hall in table.cordons:
            return False
        job = table.job_by_id[step_key[0]]
        return not placement_rejection(table, job, TaskKey(*step_key, 0), minion)

    def ask(self, step_key):
        """Request and cache permissions for a step; return whether a call was made."""
        lives = self.candidates(step_key)
        if not lives:
            return False
        sent_at = lease_seconds()
        ticket_by_life = self.adviser.advise(step_key, lives, CALL_TIMEOUT_SECONDS)
        if ticket_by_life is None:
            gevent.sleep(RETRY_SECONDS)
            return True
        terms = self.advice_terms(step_key)
        if terms is None:
            return True
        until = sent_at + terms.valid_ms / 1000
        self.permissions_by_step.setdefault(step_key, {}).update(
            (life, Permission(ticket, until)) for life, ticket in ticket_by_life.items()
        )
        self.denied_until_by_step.setdefault(step_key, {}).update(
            (life, sent_at + DENIAL_RETRY_SECONDS)
            for life in lives
            if life not in ticket_by_life
        )
        log_event(
            "advice_taken", job=step_key[0], asked=len(lives), good=len(ticket_by_life)
        )
        self.session.woken.set()
        return True

    def candidates(self, step_key):
        """Return the minion incarnations to ask about, the least used first.

        If the step has valid permissions, only minions with free capacity count.
        Those in cordoned halls never do.
        """
        table = self.session.table
        pool = table.current_queue(table.job_by_id[step_key[0]]).pool
        known = self.permitted(step_key)
        now = lease_seconds()
        denied_until = self.denied_until_by_step.get(step_key, {})
        minions = [
            one
            for one in table.minion_by_id.values()
            if one.pool == pool
            and one.hall not in table.cordons
            and one.id not in known
            and now >= denied_until.get(one.id, 0.0)
            and (not known or self.has_capacity(step_key, one.id))
        ]
        minions.sort(key=lambda one: table.usage_by_minion[one.id].cpu_millicores)
        return [minion.id for minion in minions[:MINIONS_IN_CALL]]

    def permitted(self, step_key):
        """Return the incarnations whose permission is valid for `MARGIN_SECONDS`."""
        soon = lease_seconds() + MARGIN_SECONDS
        permissions = self.permissions_by_step.get(step_key, {})
        return {life for life, one in permissions.items() if one.until > soon}

    def ticket(self, step_key, life):
        """Return the ticket for a start, or None without a permission."""
        permission = self.permissions_by_step.get(step_key, {}).get(life)
        return permission.ticket if permission else None

    def forget_minion(self, life):
        """Delete the permissions for a minion; they hold for one incarnation only."""
        for by_life in self.permissions_by_step.values():
            by_life.pop(life, None)
        for by_life in self.denied_until_by_step.values():
            by_life.pop(life, None)

    def forget_ticket(self, step_key, life):
        """Delete the permission of a step for a minion that has refused its ticket."""
        self.permissions_by_step.get(step_key, {}).pop(life, None)

    def forget_ended_jobs(self):
        """Delete the permissions and denials of steps whose jobs have ended."""
        jobs = self.session.table.job_by_id
        for step_key in list(self.permissions_by_step):
            job = jobs.get(step_key[0])
            if job is None or not job.is_open:
                del self.permissions_by_step[step_key]
                self.denied_until_by_step.pop(step_key, None)
