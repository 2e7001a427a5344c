"""
hingepitch.jobs.admission
~~~~~~~~~~~~~~~~~~~~~~~~~

Admission control: refuses new jobs that the leader knows it cannot serve.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import defaultdict
from contextlib import contextmanager
from math import isfinite

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.jobs.accounts.account import find_caller
from hingepitch.jobs.arrival import ArrivalRate
from hingepitch.jobs.backlog import (
    QuotaBudget,
    Rank,
    measure_backlogs,
    waiting_job,
    within_quota,
)
from hingepitch.jobs.candidate import Candidate
from hingepitch.jobs.client import UNKNOWN_OUTCOME_CODES
from hingepitch.jobs.due import deadline_ms, decided_wait_ms, longest_wait_ms
from hingepitch.jobs.estimate import BoundEstimator, Supply
from hingepitch.jobs.retry import MIN_RETRY_MS, RetrySchedule
from hingepitch.jobs.spec import critical_path_ms
from hingepitch.log import log_event

__all__ = ["AdmissionController"]

#: Shortest time between two measurements of the backlog, in seconds. Jobs that are
#: accepted in between are added to the last one.
MEASURE_SECONDS = 0.05

#: Shortest time between two measurements, as a multiple of the duration of the last
#: one, so that measurements use at most a tenth of the CPU.
MEASURE_PAUSE_FACTOR = 9

#: Room below which nothing is refused, in VMs: if long-running tasks fill a pool, the
#: estimate divides by the little that they leave, where a task may not even fit.
MIN_ROOM_VMS = 0.5

#: Time until the mover orders a VM that a pool lacks, in seconds.
ORDER_SECONDS = 0.1

#: Part of the work arriving within the rates that counts as ahead of a job beyond its
#: rate which is not late: some of it gets late, and then no longer goes ahead. With all
#: of it, less work is done in time in overload.
ARRIVING_PART = 0.5


class AdmissionController:
    """Decides during one leadership which new jobs are refused.

    A refusal changes nothing: a refused job uses up no token of its account, and may
    be accepted when it is submitted again.

    `session`
        The `Session` of the leadership.
    `clock`
        Function that returns a monotonic time in seconds.
    `make_estimator`
        Function from a `PoolBacklog` and a `Supply` to an estimator of waits.
    `backlog_by_pool`, `supply_by_pool`, `estimator_by_pool`
        The last measurement.
    `quotas`
        The `QuotaBudget` of the last measurement and of what was accepted since.
    `arriving_by_class`
        Millicores that arriving work needed at the last measurement, by pool and
        whether it is beyond the rate of its account.
    `rate_by_class`
        The `ArrivalRate` of the same.
    `next_measurement`
        Time of the next measurement at the earliest, as `clock` tells it.
    `retries`
        The `RetrySchedule` of the refused callers.
    `in_flight`
        The pool and `WaitingJob` of each job that is being recorded in the log, by id
        and caller.
    `refusal_by_call`
        Time and error of the last refusals, by id and key. For as long as callers are
        told to wait at least, another attempt of the same call, which may have been
        delayed on its way, is not accepted after the caller was told otherwise.
    """

    def __init__(self, session, clock=lease_seconds, make_estimator=BoundEstimator):
        self.session = session
        self.clock = clock
        self.make_estimator = make_estimator
        self.backlog_by_pool = {}
        self.quotas = None
        self.supply_by_pool = {}
        self.estimator_by_pool = {}
        self.arriving_by_class = {}
        self.rate_by_class = defaultdict(ArrivalRate)
        self.next_measurement = 0.0
        self.in_flight = {}
        self.refusal_by_call = {}
        self.retries = RetrySchedule()

    @property
    def table(self):
        """The replicated job table."""
        return self.session.table

    @property
    def shares(self):
        """The `ShareMeter`, which the planner uses as well."""
        return self.session.planner.shares

    @contextmanager
    def admitting(self, question, at_ms):
        """Check a new job and count it while the `with` block records it in the log.

        Raises `HingepitchError` (`over_rate`, `cannot_finish`) if it is refused.
        """
        candidate = self.check(question, at_ms)
        try:
            yield
        except HingepitchError as error:
            if error.code not in UNKNOWN_OUTCOME_CODES:
                self.uncount(candidate)
            raise
        else:
            self.note_accepted(candidate, at_ms)
        finally:
            if candidate is not None:
                self.in_flight.pop((candidate.id, candidate.caller), None)

    def check(self, question, at_ms):
        """Return the `Candidate` of a new job, or None if nothing is known of it.

        `at_ms`
            The time of its acceptance, in milliseconds since the epoch.
        """
        queue = self.table.queues.find(question.host, question.path)
        spec = question.spec
        is_exempt = spec.times or any(step.lasts for step in spec.steps)
        if queue is None or is_exempt:
            return None
        self.raise_last_refusal(question)
        caller = self.caller_of(question)
        account = self.account_of(caller)
        token_wait_ms = self.token_wait_ms(account, question.id, at_ms)
        expected_ms = self.durations.queue_estimator(queue.route)
        chain_ms = critical_path_ms(spec.steps, expected_ms)
        candidate = Candidate(
            question.id, caller, account, queue, spec, chain_ms, token_wait_ms
        )
        if self.is_informed(queue):
            self.decide(question, candidate, at_ms)
        self.count(candidate, at_ms)
        return candidate

    def decide(self, question, candidate, at_ms):
        """Measure the work of a new job; refuse the job if it cannot be served."""
        pool = candidate.queue.pool
        may_be_refused = self.may_be_refused(candidate)
        if may_be_refused or not self.has_room(pool):
            self.measure_if_due(at_ms)
        if not self.has_room(pool):
            return
        self.measure_work(candidate, at_ms)
        code = self.judge(candidate) if may_be_refused else None
        if code and self.session.may_order():
            self.refuse(question, candidate, code)

    def may_be_refused(self, candidate):
        """Whether any backlog would be a reason to refuse a job.

        For others the backlog is not measured, which takes time that a busy leader
        lacks; their work is measured by the capacity that was seen last.
        """
        return self.session.terms.refuses_late_jobs or candidate.token_wait_ms > 0

    def caller_of(self, question):
        """Return the name of the account of a new job; empty without accounts."""
        has_accounts = self.table.has_accounts
        return find_caller(self.table, question, None) if has_accounts else ""

    def account_of(self, caller):
        """Return the `ClientAccount` of a caller if it has a rate, else None."""
        account = self.table.accounts.account_by_name.get(caller)
        return account if account is not None and account.weight else None

    def token_wait_ms(self, account, job_id, at_ms):
        """Return the time until an account has a token for a job, in milliseconds.

        A job that is counted already, by an earlier attempt, keeps its place.
        """
        if account is None or self.shares.is_new_within_rate(account, job_id):
            return 0.0
        return self.shares.token_wait_ms(account, at_ms)

    def is_informed(self, queue):
        """Whether this leadership knows the demand and the run times of a queue."""
        is_known = self.session.mover.demand.is_known(self.clock())
        return is_known and self.durations.is_known(queue.route)

    def has_room(self, pool):
        """Whether a measured pool has room enough for an estimate."""
        backlog = self.backlog_by_pool.get(pool)
        if backlog is None or not backlog.load.minions:
            return False
        vm_room = backlog.load.room / backlog.load.minions
        return backlog.room >= MIN_ROOM_VMS * vm_room

    def measure_if_due(self, at_ms):
        """Measure the backlog of all pools unless the last measurement is recent."""
        now = self.clock()
        if now < self.next_measurement:
            return
        self.quotas = QuotaBudget(self.table.ledger)
        self.backlog_by_pool = measure_backlogs(
            self.table,
            at_ms,
            self.session.durations,
            self.shares.is_known_excess,
            self.quotas,
        )
        self.supply_by_pool = {
            pool: self.supply(pool, backlog)
            for pool, backlog in self.backlog_by_pool.items()
        }
        self.estimator_by_pool = {
            pool: self.make_estimator(backlog, self.supply_by_pool[pool])
            for pool, backlog in self.backlog_by_pool.items()
        }
        for (job_id, _), (pool, work) in self.in_flight.items():
            # A job is in the table before its proposal has returned.
            is_measured = job_id in self.table.job_by_id
            if pool in self.backlog_by_pool and not is_measured:
                self.backlog_by_pool[pool].add_recent(work)
        self.arriving_by_class = {
            key: rate.millicores(now) for key, rate in self.rate_by_class.items()
        }
        took = self.clock() - now
        pause = max(MEASURE_SECONDS, MEASURE_PAUSE_FACTOR * took)
        self.next_measurement = now + pause

    def supply(self, pool, backlog):
        """Return the `Supply` of a pool: minions, VMs on their way, spare VMs."""
        load, mover = backlog.load, self.session.mover
        vm_room = load.room / load.minions if load.minions else 0
        move_ms = 1000 * self.session.terms.move_seconds
        coming = (
            # The moves in progress began at different times: half of a move is left.
            (move_ms / 2, mover.incoming(pool) * vm_room),
            (move_ms + 1000 * ORDER_SECONDS, len(mover.spare_pool_by_vm) * vm_room),
        )
        return Supply(backlog.room, tuple(pair for pair in coming if pair[1]))

    def measure_work(self, candidate, at_ms):
        """Set the `WaitingJob` of a candidate."""
        queue = candidate.queue
        backlog = self.backlog_by_pool[queue.pool]
        expected_ms = self.durations.queue_estimator(queue.route)
        due_ms = deadline_ms(queue, at_ms, candidate.chain_ms)
        rank = Rank(queue.priority, candidate.token_wait_ms > 0, False, due_ms)
        candidate.work = waiting_job(rank, candidate.spec, backlog.load, expected_ms)

    def judge(self, candidate):
        """Return the error code with which a job is refused, or None."""
        queue, chain_ms = candidate.queue, candidate.chain_ms
        rank = candidate.work.rank
        # A job that is wide for its pool takes longer than its critical path.
        own_ms = self.supply_by_pool[queue.pool].drain_ms(candidate.work.core_ms)
        longer_ms = max(0.0, own_ms - chain_ms)
        others_ms = self.wait_ms(queue.pool, rank)
        candidate.wait_ms = others_ms + longer_ms
        if candidate.wait_ms <= longest_wait_ms(queue, chain_ms, self.durations):
            return None
        # A job that is late by its own work alone would be so at any rate.
        if rank.is_excess and others_ms > 0:
            return "over_rate"
        late_rank = rank._replace(is_late=True)
        candidate.wait_ms = self.wait_ms(queue.pool, late_rank) + longer_ms
        limit_ms = decided_wait_ms(queue, chain_ms, self.durations)
        if self.session.terms.refuses_late_jobs and candidate.wait_ms > limit_ms:
            return "cannot_finish"
        return None

    @property
    def durations(self):
        """The expected run times."""
        return self.session.durations

    def wait_ms(self, pool, rank):
        """Return the estimated wait of a new job, in milliseconds.

        What arrives within the rates goes ahead of what is late or beyond its rate.
        """
        arriving = 0.0
        if rank.is_late or rank.is_excess:
            arriving += self.arriving_by_class.get((pool, False), 0)
        if rank.is_late and rank.is_excess:
            arriving += self.arriving_by_class.get((pool, True), 0)
        if not rank.is_late:
            arriving *= ARRIVING_PART
        return self.estimator_by_pool[pool].wait_ms(rank, arriving)

    def count(self, candidate, at_ms):
        """Count a job that is going to be recorded: its token and its work."""
        if candidate.account is not None:
            candidate.has_counted = self.shares.count_new(
                candidate.account, candidate.id, at_ms
            )
        if candidate.work is None:
            return
        pool = candidate.queue.pool
        work = candidate.work = within_quota(
            candidate.work,
            candidate.caller,
            candidate.spec,
            self.backlog_by_pool[pool].load,
            self.quotas,
            decided_wait_ms(candidate.queue, candidate.chain_ms, self.durations),
        )
        self.in_flight[candidate.id, candidate.caller] = pool, work
        if self.clock() < self.next_measurement:
            # Otherwise the backlog is measured anew before it is next used.
            self.backlog_by_pool[pool].add_recent(work)

    def note_accepted(self, candidate, at_ms):
        """Note the token, the arrival and the estimated end of a recorded job."""
        if candidate is None:
            return
        if candidate.account is not None:
            self.shares.confirm(self.table, candidate.account, candidate.id)
        if candidate.work is None:
            return
        queue, work = candidate.queue, candidate.work
        rate = self.rate_by_class[queue.pool, work.rank.is_excess]
        rate.note(work.core_ms, self.clock())
        is_estimated = candidate.wait_ms is not None and isfinite(candidate.wait_ms)
        if is_estimated:
            end_ms = at_ms + candidate.wait_ms + candidate.chain_ms
            self.session.gauge.note_estimate(candidate.id, end_ms)

    def uncount(self, candidate):
        """Undo `count` for a job that was certainly not recorded."""
        if candidate is None:
            return
        if candidate.has_counted:
            self.shares.uncount(candidate.account, candidate.id)
        backlog = self.backlog_by_pool.get(candidate.queue.pool)
        if backlog is not None and candidate.work is not None:
            backlog.remove_recent(candidate.work)

    def raise_last_refusal(self, question):
        """Refuse a job again that was refused within `MIN_RETRY_MS`.

        Without a recent confirmation of the leadership the proposal decides: another
        leader may have accepted the job.
        """
        now = self.clock()
        while self.refusal_by_call:
            call, (at, _) = next(iter(self.refusal_by_call.items()))
            if 1000 * (now - at) < MIN_RETRY_MS:
                break
            del self.refusal_by_call[call]
        last = self.refusal_by_call.get((question.id, question.key))
        if last is not None and self.session.may_order():
            error = last[1]
            raise HingepitchError(error.code, error.detail, error.retry_after_ms)

    def refuse(self, question, candidate, code):
        """Refuse a job with the time after which it would be served."""
        now = self.clock()
        queue, work, backlog = (
            candidate.queue,
            candidate.work,
            self.backlog_by_pool[candidate.queue.pool],
        )
        if code == "over_rate":
            place, wait_ms = candidate.account.name, candidate.token_wait_ms
            spacing_ms = 1000 / candidate.account.weight
        else:
            limit_ms = longest_wait_ms(queue, candidate.chain_ms, self.durations)
            place, wait_ms = queue.pool, candidate.wait_ms - limit_ms
            spacing_ms = 1000 * work.core_ms / backlog.room
        self.session.gauge.queues.note_refused(queue)
        retry_ms = self.retries.reserve((code, place), wait_ms, spacing_ms, 1000 * now)
        log_event(
            "job_refused",
            job=question.id,
            code=code,
            queue=queue.name,
            account=candidate.account.name if candidate.account else "",
            wait_ms=format_wait(candidate.wait_ms),
            token_wait_ms=round(candidate.token_wait_ms),
            ahead_core_ms=round(backlog.work_ahead(work.rank)),
            capacity_millicores=backlog.room,
            retry_after_ms=retry_ms,
        )
        detail = f"estimated wait in ms: {format_wait(candidate.wait_ms)}"
        error = HingepitchError(code, detail, retry_ms)
        self.refusal_by_call[question.id, question.key] = now, error
        raise error


def format_wait(wait_ms):
    """Return an estimated wait in whole milliseconds as text, for a log line."""
    return f"{wait_ms:.0f}" if isfinite(wait_ms) else "no capacity"
