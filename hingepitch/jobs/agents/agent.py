"""
hingepitch.jobs.agents.agent
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's agent for one minion: its connection, its lease and its runs.

The log records which runs should be on the minion. The agent starts runs, stops
runs and polls until the minion matches the log.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from hingepitch.clock import lease_seconds
from hingepitch.jobs.agents.contact import (
    REFUSALS,
    PaceOrder,
    Reply,
    ReplyKind,
    StopOrder,
)
from hingepitch.jobs.agents.offset import ClockOffset
from hingepitch.jobs.agents.poller import UNCONFIRMED_SECONDS, StatusPoller
from hingepitch.jobs.agents.renewal import RenewalHistory
from hingepitch.jobs.agents.replytime import ReplyTime
from hingepitch.jobs.agents.runview import RunView, RunViewStatus
from hingepitch.jobs.cause import EndCause
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.crashes.blame import is_stable, is_starting
from hingepitch.jobs.crashes.health import MinionHealth
from hingepitch.jobs.record import RunResult, is_same_birth
from hingepitch.jobs.warmth import WARM
from hingepitch.log import log_event

__all__ = ["Agent"]

#: Maximum number of concurrent orders to one minion; each takes a connection.
MAX_CONCURRENT_ORDERS = 2

#: Timeout of an order, in seconds. After a timeout that was too short, a status
#: poll settles the outcome.
ORDER_TIMEOUT_SECONDS = 0.4

#: Replies that settle the outcome of a start that was ordered twice. Any other
#: refusal applies to only one of the two orders.
SETTLING_KINDS = frozenset((ReplyKind.DONE, ReplyKind.OTHER_LIFE, ReplyKind.FENCED))

#: Statuses of runs that are checked again after `RETRY_SECONDS`. A tuple, since
#: hashing an enum member takes longer than comparing it with three others.
UNSETTLED_STATUSES = (
    RunViewStatus.UNSURE,
    RunViewStatus.STOPPED,
    RunViewStatus.REFUSED,
)

#: Pause after a stop that got no answer, and interval at which runs whose outcome
#: is unknown are checked again, in seconds.
RETRY_SECONDS = 0.25

#: Number of runs of a minion from which on its agent pauses after a pass over them, and
#: that pause for each run, in seconds. Each reply to an order asks for a pass; with
#: thousands of runs the passes alone would take all of the leader's processor time.
MANY_RUNS = 200
PAUSE_SECONDS_PER_RUN = 0.000_01

#: How long a minion that refused a start gets no new runs, in seconds.
PLACEMENT_PAUSE_SECONDS = 0.5


class Agent:
    """Reconciles one incarnation of a minion with the runs recorded in the log.

    `minion`
        The `Minion` record of the incarnation.
    `born_ms`
        When the incarnation began, from its record or its first list of runs; 0 if
        it has not told. Another value is another incarnation's.
    `client`
        Has `start`, `stop`, `pace` and `look`, each with a timeout.
    `first_seen_at`, `last_message_at`, `last_heartbeat_at`
        When this leadership first knew the incarnation, last received a message
        from it, and last received a heartbeat; on `lease_seconds`.
    `unresponsive_since`
        When it last became unresponsive; 0 if never.
    `lease_expired_at`
        When the lease is confirmed to have expired; on `lease_seconds`.
    `extended_at`
        When a call was last sent that extends the lease.
    `is_succeeded`
        Whether another incarnation of the minion has answered. The agent then
        gives no orders; it is replaced once the other one reports.
    `warmth`
        The `Warmth` of the incarnation, from its newest heartbeat.
    `session`
        The `Session` of the leadership: supplies the fencing token of orders and
        records the ends of runs.
    """

    def __init__(self, minion, client, session):
        self.minion = minion
        self.born_ms = minion.born_ms
        self.client = client
        self.session = session
        self.view_by_task = {}
        self.wake = Event()
        self.orders = BoundedSemaphore(MAX_CONCURRENT_ORDERS)
        self.clock_offset = ClockOffset(session.terms.drift)
        self.lease_expired_at = session.started_at + session.confirmed_expiry_seconds
        self.extended_at = 0.0
        self.renewals = RenewalHistory()
        self.reply_time = ReplyTime()
        self.first_seen_at = lease_seconds()
        self.last_message_at = 0.0
        self.last_heartbeat_at = 0.0
        self.unresponsive_since = 0.0
        self.placement_paused_until = 0.0
        self.filler_percent = 100
        self.health = MinionHealth()
        self.warmth = WARM
        self.status_poller = StatusPoller(self)
        self.is_gone = False
        self.is_succeeded = False
        self.is_unresponsive = False
        self.greenlets = set()

    def start(self):
        """Start the greenlets of this agent.

        They belong to the session: they end with it, and an exception in one ends
        the session, so that no minion goes without status polls and orders
        unnoticed.
        """
        for loop in (self.keep_reconciling, self.status_poller.run):
            self.spawn(loop)

    def spawn(self, function, *arguments):
        """Run a function in a greenlet that ends with this agent."""
        greenlet = self.session.spawn(function, *arguments)
        self.greenlets.add(greenlet)
        greenlet.link(self.greenlets.discard)

    def stop(self):
        """Kill the greenlets and close the connections."""
        gevent.killall(list(self.greenlets), block=False)
        self.client.close()

    def inherit(self, before):
        """Take over the recorded runs from the agent of the incarnation before.

        This incarnation may have carried out an order for one of them, or may still
        do so.
        """
        for task, view in before.view_by_task.items():
            is_unsent = view.status is RunViewStatus.FRESH and not view.is_ordering
            status = RunViewStatus.FRESH if is_unsent else RunViewStatus.INHERITED
            self.view_by_task[task] = RunView(
                view.run, status, is_carried_over=not is_unsent
            )
        self.unresponsive_since = before.unresponsive_since
        self.lease_expired_at = max(self.lease_expired_at, before.lease_expired_at)
        if before.has_unanswered_lease():
            self.allow_longest_lease()

    def is_own_birth(self, born_ms):
        """Whether a list of runs is of this incarnation, by its time of birth.

        Without a known one, the first that is told counts as this incarnation's.
        """
        self.born_ms = self.born_ms or born_ms
        return is_same_birth(self.born_ms, born_ms)

    def note_heartbeat(self, clock_ms):
        """Note a heartbeat; `clock_ms` is the minion's clock, or None."""
        self.last_message_at = self.last_heartbeat_at = lease_seconds()
        if clock_ms is not None:
            self.note_clock(clock_ms)

    def note_clock(self, clock_ms, asked_at=None):
        """Update the clock offset from a reading of the minion's clock.

        `asked_at`
            When the call was sent that the reading answers, if any.
        """
        now = lease_seconds()
        self.clock_offset.note(clock_ms, now, asked_at)
        self.renewals.note_clock(clock_ms, now)

    @property
    def clock_offset_ms(self):
        """Lower bound of the minion's clock minus the leader's, or None if unknown."""
        return self.clock_offset.at(lease_seconds())

    def may_start(self, now):
        """Whether new runs may be placed on this minion."""
        return (
            not self.is_gone
            and not self.is_succeeded
            and not self.is_unresponsive
            and now >= self.placement_paused_until
            and not self.health.is_unhealthy(now)
            and now - self.last_message_at < self.session.silence_timeout_seconds
            and self.clock_offset_ms is not None
            and all(
                view.status is not RunViewStatus.INHERITED
                for view in self.view_by_task.values()
            )
        )

    def is_lease_expired(self, now):
        """Whether the minion is unresponsive and its lease is confirmed expired."""
        return self.is_unresponsive and now >= self.lease_expired_at

    def is_starting(self, run):
        """Whether a run has just started, or is not known to this agent."""
        view = self.view_by_task.get(run.task)
        if view is None or view.run is not run:
            return True
        return is_starting(view, lease_seconds())

    def is_stable(self, run):
        """Whether a run has been active long enough not to be suspected of a crash."""
        view = self.view_by_task.get(run.task)
        step = self.session.step_of(run)
        if view is None or view.run is not run or step is None:
            return False
        return is_stable(view, step, lease_seconds())

    def pause_placement(self, seconds=PLACEMENT_PAUSE_SECONDS):
        """Place no new runs on this minion for the given time."""
        self.placement_paused_until = lease_seconds() + seconds

    def keep_reconciling(self):
        """Reconcile the minion with the recorded runs until it is gone."""
        while not self.is_gone:
            self.reconcile()
            self.status_poller.wake.set()
            runs = len(self.view_by_task)
            if runs >= MANY_RUNS:
                gevent.sleep(runs * PAUSE_SECONDS_PER_RUN)
            self.wake.wait(self.next_check_seconds())
            self.wake.clear()

    def reconcile(self):
        """Adopt the recorded runs, and spawn the orders that they need now."""
        self.adopt_records()
        for view in list(self.view_by_task.values()):
            self.order_if_due(view)

    def next_check_seconds(self):
        """Return the timeout of the wait for a wake-up in seconds, or None."""
        unsettled = any(
            view.status in UNSETTLED_STATUSES for view in self.view_by_task.values()
        )
        return RETRY_SECONDS if unsettled else None

    def adopt_records(self):
        """Add and remove views to match the runs recorded for this incarnation."""
        recorded = self.session.runs_of(self.minion.id)
        for task, view in list(self.view_by_task.items()):
            if recorded.get(task) is not view.run:
                del self.view_by_task[task]
        if len(self.view_by_task) == len(recorded):
            return
        for task, run in recorded.items():
            if task not in self.view_by_task:
                status = self.session.initial_status(run)
                self.view_by_task[task] = RunView(run, status)

    def order_if_due(self, view):
        """Spawn the order that the run of `view` needs now, if any."""
        settled = (RunViewStatus.INHERITED, RunViewStatus.STOPPED)
        if self.is_succeeded or view.is_ordering or view.status in settled:
            return
        if view.status is RunViewStatus.RUNNING and self.session.is_wanted(view.run):
            return
        if (
            view.status is RunViewStatus.UNSURE
            and self.status_poller.polled_at <= view.answered_at
        ):
            return
        wanted = self.session.is_wanted(view.run)
        if view.status is RunViewStatus.FRESH:
            order = self.order_start if wanted else self.end_unordered
        elif view.status is RunViewStatus.REFUSED:
            order = self.end_refused
        elif view.status is RunViewStatus.UNSURE or not wanted:
            order = self.order_stop
        else:
            return
        view.is_ordering = True
        self.spawn(self.carry_out, order, view)

    def carry_out(self, order, view):
        """Give one order once fewer than `MAX_CONCURRENT_ORDERS` are in progress."""
        try:
            with self.orders:
                if self.session.may_order() and not self.is_succeeded:
                    order(view)
                else:
                    gevent.sleep(UNCONFIRMED_SECONDS)
        finally:
            view.is_ordering = False
            self.wake.set()

    def end_unordered(self, view):
        """End a run that was recorded but not ordered and is no longer wanted."""
        self.end(view, RunResult.REFUSED, EndCause.NOT_ORDERED)

    def end_refused(self, view):
        """End a run whose start was refused; pause if that is not recorded."""
        if not self.end(view, RunResult.REFUSED, EndCause.REFUSED):
            gevent.sleep(RETRY_SECONDS)

    def order_start(self, view):
        """Order the start of a run and set its status from the reply."""
        # A start would extend the lease of an unresponsive minion.
        order = None
        if not self.is_unresponsive and self.clock_offset_ms is not None:
            order = self.session.start_order(view.run, self.lease_until_ms())
        if order is None:
            self.end(view, RunResult.REFUSED, EndCause.NOT_ORDERED)
            return
        view.status = RunViewStatus.ORDERED
        self.extend_lease()
        reply = self.ask_start(view, order)
        self.note_reply(reply)
        self.session.note_order("start", view.run, reply)
        if view.status is not RunViewStatus.ORDERED:
            return
        if reply.kind is ReplyKind.DONE:
            view.status = RunViewStatus.RUNNING
            view.answered_at = lease_seconds()
            view.note_begun(view.answered_at)
            self.session.beginnings.note_run(view.run)
        elif reply.kind in (ReplyKind.UNSURE, ReplyKind.RUN_TOO_OLD):
            view.status = RunViewStatus.UNSURE
            view.answered_at = lease_seconds()
            self.status_poller.settle_at_once()
        elif reply.kind is ReplyKind.OTHER_LIFE:
            # Polled until the removal of the incarnation is recorded.
            view.status = RunViewStatus.UNSURE
            view.answered_at = lease_seconds()
            self.status_poller.wake.set()
        else:
            if reply.kind is ReplyKind.BAD_TICKET:
                step_key = view.run.task[:3]
                self.session.permissions.forget_ticket(step_key, self.minion.id)
            self.pause_placement()
            view.status = RunViewStatus.REFUSED
            self.end_refused(view)

    def ask_start(self, view, order):
        """Order a start, and repeat the order concurrently if the reply is late.

        Starts are idempotent: a minion starts a run number once, however often it
        is ordered. The repetition covers an order whose reply is lost, or that is
        carried out late. In a cordoned hall an order is not repeated: its run counts
        until a status poll or the end of the lease settles it.
        """
        first = gevent.spawn(self.timed_call, self.client.start, order)
        calls = [first]
        try:
            first.join(self.reply_time.timeout_seconds)
            if first.ready() and first.get().kind is not ReplyKind.UNSURE:
                return first.get()
            if not self.may_repeat(view):
                return first.get()
            calls.append(gevent.spawn(self.repeat_start, view, order))
            for call in gevent.iwait(calls):
                if call.get().kind in SETTLING_KINDS:
                    return call.get()
            return Reply(ReplyKind.UNSURE, detail="no reply to the start or its repeat")
        finally:
            gevent.killall([call for call in calls if not call.ready()], block=False)

    def repeat_start(self, view, order):
        """Order a start again unless that has become impermissible meanwhile."""
        if not self.may_repeat(view):
            return Reply(ReplyKind.NOT_SENT)
        return self.timed_call(self.client.start, order)

    def may_repeat(self, view):
        """Whether the start of a run may still be ordered."""
        return (
            view.status is RunViewStatus.ORDERED
            and self.session.may_order()
            and self.session.is_wanted(view.run)
            and not self.minion.is_draining
            and self.minion.hall not in self.session.table.cordons
        )

    def timed_call(self, call, order):
        """Give an order and record how long its reply took."""
        sent_at = lease_seconds()
        reply = call(order, ORDER_TIMEOUT_SECONDS)
        if reply.kind not in (ReplyKind.UNSURE, ReplyKind.NOT_SENT):
            self.reply_time.note(lease_seconds() - sent_at)
        return reply

    def order_stop(self, view):
        """Order the stop of a run unless it would exceed its disruption budget.

        Over budget, the evacuation is withdrawn only if no stop was sent that may
        have arrived, for such a stop may still be carried out. It is not repeated
        either until the budget permits it again.
        """
        if self.session.watch.exceeds_budget(view.run):
            if not view.is_stop_sent:
                self.session.watch.withdraw_evacuation(view.run)
            gevent.sleep(RETRY_SECONDS)
            return
        order = StopOrder(view.run.task, view.run.number, self.session.fence)
        reply = self.timed_call(self.client.stop, order)
        view.is_stop_sent |= reply.kind not in REFUSALS
        self.note_reply(reply)
        self.session.note_order("stop", view.run, reply)
        if reply.kind in (ReplyKind.DONE, ReplyKind.RUN_TOO_OLD):
            view.status = RunViewStatus.STOPPED
            view.answered_at = lease_seconds()
            self.status_poller.settle_at_once()
        else:
            gevent.sleep(RETRY_SECONDS)

    def order_pace(self, view, percent):
        """Order the pace of a run; a later status poll repeats a lost order."""
        order = PaceOrder(view.run.task, view.run.number, percent, self.session.fence)
        reply = self.timed_call(self.client.pace, order)
        self.note_reply(reply)
        if reply.kind is ReplyKind.DONE:
            view.percent = percent
        log_event(
            "pace_set",
            job=view.run.task.job,
            minion=self.minion.id,
            percent=percent,
            reply=reply.kind.value,
        )

    def note_reply(self, reply, asked_at=None):
        """Update the minion's reachability, incarnation, clock and fence from a reply.

        `asked_at`
            When the call was sent, if known.
        """
        if reply.kind is ReplyKind.RESTARTED:
            self.note_successor()
        if self.is_succeeded:
            return
        if reply.kind in (ReplyKind.UNSURE, ReplyKind.NOT_SENT):
            self.set_unresponsive(True)
            self.status_poller.wake.set()
            return
        if reply.kind is ReplyKind.OTHER_LIFE:
            self.set_unresponsive(True)
            # The agent stays until the end is recorded: nothing else would retry.
            self.is_gone = self.session.end_incarnation(
                self.minion.id, "another incarnation answered"
            )
            return
        self.set_unresponsive(False)
        self.last_message_at = lease_seconds()
        if reply.clock_ms is not None:
            self.note_clock(reply.clock_ms, asked_at)
        if reply.kind is ReplyKind.FENCED:
            self.session.fenced(self.minion.id)

    def note_successor(self):
        """Note that another incarnation of the minion has answered."""
        if self.is_succeeded:
            return
        log_event(
            "successor_answers",
            minion=self.minion.id,
            born=self.born_ms,
            runs=len(self.view_by_task),
        )
        self.set_unresponsive(True)
        self.is_succeeded = True
        if self.has_unanswered_lease():
            self.allow_longest_lease()

    def has_unanswered_lease(self):
        """Whether another incarnation may have taken a call that extends the lease."""
        return self.extended_at > self.status_poller.listed_at

    def allow_longest_lease(self):
        """Put off the confirmed expiry for an incarnation that took such a call.

        The lease was granted on the clock of the incarnation before, so it lasts for
        as long as a minion keeps one.
        """
        longest = self.session.terms.longest_expiry_seconds
        self.lease_expired_at = max(self.lease_expired_at, lease_seconds() + longest)

    def set_unresponsive(self, is_unresponsive):
        """Set whether the minion is unresponsive; log a change if it has runs."""
        if is_unresponsive != self.is_unresponsive and self.view_by_task:
            log_event(
                "minion_silent" if is_unresponsive else "minion_answers",
                minion=self.minion.id,
                runs=len(self.view_by_task),
                lease_left=round(self.lease_expired_at - lease_seconds(), 1),
            )
        if is_unresponsive and not self.is_unresponsive:
            self.unresponsive_since = lease_seconds()
        self.is_unresponsive = is_unresponsive

    def end(self, view, result, cause, checkpoint=""):
        """Record that a run has ended, with the `EndCause`; return whether it is."""
        run = view.run
        end = RunEnd(run.task, run.number, run.minion, result, checkpoint)
        return self.session.end_runs((end,), cause)

    def lease_until_ms(self):
        """Return the expiry of a lease granted now, on the minion's clock."""
        now_ms = lease_seconds() * 1000 + self.clock_offset_ms
        return int(now_ms + self.session.lease_seconds * 1000)

    def extend_lease(self):
        """Put off the confirmed expiry, as a call in flight may extend the lease."""
        self.extended_at = lease_seconds()
        until = self.extended_at + self.session.confirmed_expiry_seconds
        self.lease_expired_at = max(self.lease_expired_at, until)
