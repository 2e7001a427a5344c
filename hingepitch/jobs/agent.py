"""
hingepitch.jobs.agent
~~~~~~~~~~~~~~~~~~~~~

The leader's side of one minion: its connection, its lease, its truth.

What the log records as running there is what should run; the agent
starts, stops and looks until the minion agrees.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from hingepitch.clock import lease_seconds
from hingepitch.jobs.answer import AnswerTime
from hingepitch.jobs.blame import is_proven, is_starting
from hingepitch.jobs.cause import EndCause
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.contact import (
    REFUSALS,
    PaceOrder,
    Reply,
    ReplyKind,
    StopOrder,
)
from hingepitch.jobs.health import MinionHealth
from hingepitch.jobs.look import UNCONFIRMED_SECONDS, LookDesk
from hingepitch.jobs.offset import ClockOffset
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.renewal import RenewalBook
from hingepitch.jobs.runview import RunView, RunViewStatus
from hingepitch.log import log_event

__all__ = ["Agent"]

#: Orders on their way to one minion at once; each takes a connection.
ORDERS_AT_ONCE = 2

#: Time after which an order without an answer is given up, in seconds. One that
#: is given up too soon is only looked for.
ANSWER_SECONDS = 0.4

#: Replies after which it is known what became of a start that was ordered
#: twice: any other refusal speaks for one of the two orders only.
SETTLING_KINDS = frozenset((ReplyKind.DONE, ReplyKind.OTHER_LIFE, ReplyKind.FENCED))

#: Pause after a stop that got no answer, and before views that are not settled
#: are gone over again, in seconds.
RETRY_SECONDS = 0.25

#: A minion that refused for want of room or health is left alone for so long.
ASIDE_SECONDS = 0.5


class Agent:
    """Brings one life of a minion to what the log records.

    `minion`
        The life, as registered.
    `client`
        Has `start`, `stop`, `pace` and `look`, each with a time-out.
    `met_at`, `heard_at`, `beat_at`
        When this leadership first knew the life, last had a message from it,
        and last had a beat; on `lease_seconds`.
    `silent_since`
        When it last fell silent; 0: never.
    `session`
        The leadership that the agent works for: gives orders their fence and
        takes the ends.
    """

    def __init__(self, minion, client, session):
        self.minion = minion
        self.client = client
        self.session = session
        self.view_by_task = {}
        self.wake = Event()
        self.orders = BoundedSemaphore(ORDERS_AT_ONCE)
        self.clock_offset = ClockOffset(session.terms.drift)
        self.lease_over_at = session.started_at + session.lease_until_over_seconds
        self.renewals = RenewalBook()
        self.answer_time = AnswerTime()
        self.met_at = lease_seconds()
        self.heard_at = 0.0
        self.beat_at = 0.0
        self.silent_since = 0.0
        self.aside_until = 0.0
        self.filler_percent = 100
        self.health = MinionHealth()
        self.looks = LookDesk(self)
        self.is_gone = False
        self.is_silent = False
        self.greenlets = set()

    # Life cycle.

    def start(self):
        """Start the greenlets of this agent.

        The session watches over them: a failure ends it, so that no minion
        stays without looks and orders unseen, and they end with it.
        """
        for loop in (self.give_orders, self.looks.run):
            self.spawn(loop)

    def spawn(self, function, *arguments):
        """Run a function for as long as this agent is in service."""
        self.greenlets = {one for one in self.greenlets if not one.dead}
        self.greenlets.add(self.session.spawn(function, *arguments))

    def stop(self):
        """Kill the greenlets and close the connections."""
        gevent.killall(list(self.greenlets), block=False)
        self.client.close()

    # What the others ask.

    def note_beat(self, clock_ms):
        """Note that the minion spoke by itself."""
        self.heard_at = self.beat_at = lease_seconds()
        if clock_ms is not None:
            self.note_clock(clock_ms)

    def note_clock(self, clock_ms, asked_at=None):
        """Learn the offset between the minion's clock and ours."""
        now = lease_seconds()
        self.clock_offset.note(clock_ms, now, asked_at)
        self.renewals.note_clock(clock_ms, now)

    @property
    def clock_offset_ms(self):
        """How far the minion's clock is ahead of ours at least, or None."""
        return self.clock_offset.at(lease_seconds())

    def may_start(self, now):
        """Whether new runs may be placed here."""
        return (
            not self.is_gone
            and not self.is_silent
            and now >= self.aside_until
            and not self.health.is_sick(now)
            and now - self.heard_at < self.session.silence_seconds
            and self.clock_offset_ms is not None
            and all(
                view.status is not RunViewStatus.INHERITED
                for view in self.view_by_task.values()
            )
        )

    def has_lapsed(self, now):
        """Whether the minion is silent and nothing runs there any more."""
        return self.is_silent and now >= self.lease_over_at

    def is_starting(self, run):
        """Whether a run recorded here has not been at work for long enough to tell."""
        view = self.view_by_task.get(run.task)
        if view is None or view.run is not run:
            return True
        return is_starting(view, lease_seconds())

    def is_proven(self, run):
        """Whether a run has been at work for so long that it is not suspected."""
        view = self.view_by_task.get(run.task)
        step = self.session.step_of(run)
        if view is None or view.run is not run or step is None:
            return False
        return is_proven(view, step, lease_seconds())

    def set_aside(self, seconds=ASIDE_SECONDS):
        """Place nothing here for a while."""
        self.aside_until = lease_seconds() + seconds

    # Orders.

    def give_orders(self):
        """Bring the minion to what is recorded, whenever that may differ."""
        while not self.is_gone:
            self.adopt_records()
            for view in list(self.view_by_task.values()):
                self.order_if_due(view)
            self.looks.wake.set()
            self.wake.wait(self.next_check_seconds())
            self.wake.clear()

    def next_check_seconds(self):
        """Return when to check again without a wake-up."""
        unsettled = any(
            view.status in (RunViewStatus.UNSURE, RunViewStatus.STOPPED)
            for view in self.view_by_task.values()
        )
        return RETRY_SECONDS if unsettled else None

    def adopt_records(self):
        """Take over the runs recorded for this life, and drop the others."""
        recorded = self.session.runs_of(self.minion.id)
        for task, view in list(self.view_by_task.items()):
            if recorded.get(task) is not view.run:
                del self.view_by_task[task]
        for task, run in recorded.items():
            if task not in self.view_by_task:
                status = self.session.first_status(run)
                self.view_by_task[task] = RunView(run, status)

    def order_if_due(self, view):
        """Give the order that `view` needs now, if any."""
        settled = (RunViewStatus.INHERITED, RunViewStatus.STOPPED)
        if view.is_ordering or view.status in settled:
            return
        if (
            view.status is RunViewStatus.UNSURE
            and self.looks.looked_at <= view.answered_at
        ):
            return
        wanted = self.session.is_wanted(view.run)
        if view.status is RunViewStatus.FRESH:
            order = self.order_start if wanted else self.drop_fresh
        elif view.status is RunViewStatus.UNSURE or not wanted:
            order = self.order_stop
        else:
            return
        view.is_ordering = True
        self.spawn(self.carry_out, order, view)

    def carry_out(self, order, view):
        """Give one order, when its turn has come."""
        try:
            with self.orders:
                if self.session.may_order():
                    order(view)
                else:
                    gevent.sleep(UNCONFIRMED_SECONDS)
        finally:
            view.is_ordering = False
            self.wake.set()

    def drop_fresh(self, view):
        """End a run that was recorded, but is no longer wanted."""
        self.end(view, RunResult.REFUSED, EndCause.NOT_ORDERED)

    def order_start(self, view):
        """Order the start of a run, and learn what became of it."""
        # A start at a silent minion would put the end of its lease off.
        order = None
        if not self.is_silent:
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
        elif reply.kind in (ReplyKind.UNSURE, ReplyKind.RUN_TOO_OLD):
            view.status = RunViewStatus.UNSURE
            view.answered_at = lease_seconds()
            self.looks.settle_soon()
        elif reply.kind is ReplyKind.OTHER_LIFE:
            # Looked for until the removal of the life is recorded.
            view.status = RunViewStatus.UNSURE
            view.answered_at = lease_seconds()
            self.looks.wake.set()
        else:
            self.set_aside()
            self.end(view, RunResult.REFUSED, EndCause.REFUSED)

    def ask_start(self, view, order):
        """Order a start, and once more beside it if its answer takes too long.

        A minion starts a run number once, however often it is ordered, so the
        second order is the first one again. It protects the job from an order
        whose answer gets lost, or that is carried out late.
        """
        first = gevent.spawn(self.timed, self.client.start, order)
        calls = [first]
        try:
            first.join(self.answer_time.limit_seconds)
            if first.ready() and first.get().kind is not ReplyKind.UNSURE:
                return first.get()
            if not self.may_repeat(view):
                return first.get()
            calls.append(gevent.spawn(self.timed, self.client.start, order))
            for call in gevent.iwait(calls):
                if call.get().kind in SETTLING_KINDS:
                    return call.get()
            return Reply(ReplyKind.UNSURE, detail="ordered twice, no answer")
        finally:
            gevent.killall(calls, block=False)

    def may_repeat(self, view):
        """Whether the start of a run may still be ordered."""
        return (
            view.status is RunViewStatus.ORDERED
            and self.session.may_order()
            and self.session.is_wanted(view.run)
            and not self.minion.is_draining
        )

    def timed(self, call, order):
        """Give an order; learn from its answer how long answers take."""
        sent_at = lease_seconds()
        reply = call(order, ANSWER_SECONDS)
        if reply.kind not in (ReplyKind.UNSURE, ReplyKind.NOT_SENT):
            self.answer_time.note(lease_seconds() - sent_at)
        return reply

    def order_stop(self, view):
        """Order the stop of a run, unless too many others went away meanwhile.

        A stop that may have arrived is not taken back, for it may still be
        carried out; but it is not repeated either while others are away.
        """
        if self.session.watch.exceeds_budget(view.run):
            if not view.is_stop_sent:
                self.session.watch.take_back(view.run)
            gevent.sleep(RETRY_SECONDS)
            return
        order = StopOrder(view.run.task, view.run.number, self.session.fence)
        reply = self.timed(self.client.stop, order)
        view.is_stop_sent |= reply.kind not in REFUSALS
        self.note_reply(reply)
        self.session.note_order("stop", view.run, reply)
        if reply.kind in (ReplyKind.DONE, ReplyKind.RUN_TOO_OLD):
            view.status = RunViewStatus.STOPPED
            view.answered_at = lease_seconds()
            self.looks.settle_soon()
        else:
            gevent.sleep(RETRY_SECONDS)

    def order_pace(self, view, percent):
        """Order the pace of a run; a lost order is given again by a later look."""
        order = PaceOrder(view.run.task, view.run.number, percent, self.session.fence)
        reply = self.timed(self.client.pace, order)
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
        """Learn from any answer of the minion.

        `asked_at`
            When the call was sent, where that is known.
        """
        if reply.kind in (ReplyKind.UNSURE, ReplyKind.NOT_SENT):
            self.note_silence(True)
            self.looks.wake.set()
            return
        if reply.kind is ReplyKind.OTHER_LIFE:
            self.note_silence(True)
            # Not gone until that is recorded: nobody else would try again.
            self.is_gone = self.session.life_is_over(
                self.minion.id, "another life answered"
            )
            return
        self.note_silence(False)
        self.heard_at = lease_seconds()
        if reply.clock_ms is not None:
            self.note_clock(reply.clock_ms, asked_at)
        if reply.kind is ReplyKind.FENCED:
            self.session.fenced(self.minion.id)

    def note_silence(self, is_silent):
        """Note whether the minion answers; log a change where something runs."""
        if is_silent != self.is_silent and self.view_by_task:
            log_event(
                "minion_silent" if is_silent else "minion_answers",
                minion=self.minion.id,
                runs=len(self.view_by_task),
                lease_left=round(self.lease_over_at - lease_seconds(), 1),
            )
        if is_silent and not self.is_silent:
            self.silent_since = lease_seconds()
        self.is_silent = is_silent

    def end(self, view, result, cause, checkpoint=""):
        """Record that a run is over, as `cause` shows."""
        run = view.run
        end = RunEnd(run.task, run.number, run.minion, result, checkpoint)
        self.session.end_runs((end,), cause)

    # The lease.

    def lease_until_ms(self):
        """Return until when a lease given now runs, on the minion's clock."""
        now_ms = lease_seconds() * 1000 + self.clock_offset_ms
        return int(now_ms + self.session.lease_seconds * 1000)

    def extend_lease(self):
        """Note that a call on its way may extend the lease."""
        until = lease_seconds() + self.session.lease_until_over_seconds
        self.lease_over_at = max(self.lease_over_at, until)
