"""
hingepitch.jobs.look
~~~~~~~~~~~~~~~~~~~~

Looks at one minion: what runs there, what ended, and the lease that each
look renews.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from hingepitch.clock import lease_seconds
from hingepitch.jobs.cause import EndCause
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.contact import LookOrder, ReplyKind
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.runview import UNSEEN_STATUSES, RunViewStatus
from hingepitch.log import log_event

__all__ = ["UNCONFIRMED_SECONDS", "LookDesk"]

#: How long a look waits while a stop is under way, in milliseconds: about as
#: long as a stop takes.
STOPPING_LOOK_MS = 300

#: Least time for the answer of a look beyond the wait that was asked for, in
#: seconds. One that is given up too soon costs a new connection, and the leader
#: itself is late while it plans a burst.
ANSWER_SECONDS = 0.2

#: Part of a lease that a look may wait at most. A look that never arrives is
#: noticed when its wait is over, and the next one renews nothing: with a quarter,
#: two in a row may be lost before the lease is over, with half not one.
LEASE_PART = 1 / 4

#: Pause after the second of two looks in a row that got no answer, in seconds.
RETRY_SECONDS = 0.25

#: The same where nothing runs: nothing is waited for.
IDLE_RETRY_SECONDS = 2.0

#: Pause while the leader is not confirmed and may give no orders, in seconds, so
#: that orders that wait do not hold the processor.
UNCONFIRMED_SECONDS = 0.05

#: Runs that the end of a lease does not settle: the order of their start does.
UNSETTLED_STARTS = frozenset((RunViewStatus.FRESH, RunViewStatus.ORDERED))


class LookDesk:
    """Looks at one life of a minion for its agent.

    `agent`
        The `Agent`: its views, its client, its lease.
    `wake`
        Set when a look may be needed.
    `ends_taken`, `ends_told`
        Number of the last end that is recorded, and that the minion was told
        to be.
    `looked_at`
        When the look was sent that told last what runs.
    `taking`
        Held while the answer of a look is taken.
    `is_held`
        Whether a look is waiting at the minion.
    `is_settling`
        Whether runs in doubt are looked for beside it.
    `was_refused`
        Whether the last look was answered, but not with what runs.
    """

    def __init__(self, agent):
        self.agent = agent
        self.wake = Event()
        self.ends_taken = 0
        self.ends_told = 0
        self.looked_at = 0.0
        self.taking = BoundedSemaphore(1)
        self.is_held = False
        self.is_settling = False
        self.was_refused = False

    def run(self):
        """Look as long as anything runs, or ended without being recorded."""
        while not self.agent.is_gone:
            if not self.is_needed():
                self.wake.clear()
                self.wake.wait()
                continue
            if not self.agent.session.may_order():
                gevent.sleep(UNCONFIRMED_SECONDS)
                continue
            self.look_and_wait()

    def is_needed(self):
        """Whether something is to be learnt or told by a look."""
        if self.ends_told < self.ends_taken or self.agent.clock_offset_ms is None:
            return True
        if self.agent.is_silent:
            return True
        return any(
            view.status not in UNSETTLED_STARTS
            for view in self.agent.view_by_task.values()
        )

    def wait_ms(self):
        """Return how long the next look may wait at the minion.

        A renewal after one that was lost does not wait: if it is lost as well,
        that is known soon enough for others before the lease is over.
        """
        if not self.agent.view_by_task or self.agent.is_silent or self.is_in_doubt():
            return 0
        if self.was_refused:
            return 0
        statuses = {view.status for view in self.agent.view_by_task.values()}
        if RunViewStatus.INHERITED in statuses:
            return 0
        if RunViewStatus.STOPPED in statuses:
            return STOPPING_LOOK_MS
        longest = LEASE_PART * self.agent.session.lease_seconds
        if self.agent.renewals.is_overdue(lease_seconds(), longest + ANSWER_SECONDS):
            return 0
        wait_ms = self.agent.session.watch.look_wait_ms(self.agent)
        return min(wait_ms, int(longest * 1000))

    def is_in_doubt(self):
        """Whether a run may or may not be there, so that a look settles it.

        A stopped run that was seen lists its end, which a held look tells at
        once; one that was never seen has no end to wait for.
        """
        return any(
            view.status is RunViewStatus.UNSURE
            or (view.status is RunViewStatus.STOPPED and view.row is None)
            for view in self.agent.view_by_task.values()
        )

    def settle_soon(self):
        """Look at once if a run is in doubt, also beside a look that is held.

        Protects a job from the wait of a look that was sent before the doubt
        arose and cannot settle it: up to `BUSY_LOOK_MS` for each of the two
        looks that it takes to be sure that a run is not there.
        """
        self.wake.set()
        if self.is_held and not self.is_settling:
            self.is_settling = True
            self.agent.spawn(self.settle)

    def settle(self):
        """Look without waiting while another look is held and a run in doubt."""
        try:
            while self.is_held and self.is_in_doubt() and not self.agent.is_gone:
                if not self.agent.session.may_order():
                    gevent.sleep(UNCONFIRMED_SECONDS)
                    continue
                self.look(0)
        finally:
            self.is_settling = False

    def look_and_wait(self):
        """Look, as long at the minion as its runs allow."""
        wait_ms = self.wait_ms()
        self.is_held = wait_ms > 0
        try:
            self.look(wait_ms)
        finally:
            self.is_held = False

    def look(self, wait_ms):
        """Look, and take what the minion says."""
        sent_at = lease_seconds()
        taken = self.ends_taken
        until = renewal = None
        # Each renewal may arrive, so each puts off the end of the lease: a
        # minion that fell silent, or refused a look, gets none until it lists
        # its runs again.
        is_listing = not self.agent.is_silent and not self.was_refused
        if self.agent.clock_offset_ms is not None and is_listing:
            until = self.agent.lease_until_ms()
            self.agent.extend_lease()
            renewal = self.agent.renewals.note_sent(until, sent_at)
        order = LookOrder(self.agent.session.fence, taken, until, wait_ms)
        answer_seconds = max(ANSWER_SECONDS, self.agent.answer_time.limit_seconds)
        look = self.agent.client.look(order, wait_ms / 1000 + answer_seconds)
        self.agent.note_reply(look.reply, sent_at)
        is_done = look.reply.kind is ReplyKind.DONE
        self.was_refused = not is_done and not self.agent.is_silent
        if not is_done:
            self.give_up_if_lapsed()
            if not is_listing:
                idle = not self.agent.view_by_task
                gevent.sleep(IDLE_RETRY_SECONDS if idle else RETRY_SECONDS)
            return
        if wait_ms == 0:
            self.agent.answer_time.note(lease_seconds() - sent_at)
        self.agent.session.acquit(self.agent.minion.id)
        self.take_look(look, sent_at, taken)
        self.agent.renewals.note_answered(renewal)
        self.agent.wake.set()
        if wait_ms == 0:
            gevent.sleep(self.agent.session.look_pause_seconds)

    def take_look(self, look, sent_at, taken):
        """Take the answer of a look, one at a time.

        A look that was sent before one that was taken already tells nothing
        new about what runs, but its ends are true.
        """
        with self.taking:
            is_news = sent_at >= self.looked_at
            self.ends_told = max(self.ends_told, taken)
            if is_news:
                self.looked_at = sent_at
                self.take_rows(look.running, sent_at)
            self.take_ends(look.ended)
            self.agent.session.gauge.note_unread(look)
            if is_news and not look.unread_running:
                self.end_missing(look.running, sent_at)

    def take_rows(self, rows, now):
        """Learn what runs; what should not run is stopped."""
        for row in rows:
            view = self.agent.view_by_task.get(row.task)
            if view is None or view.run.number != row.number:
                self.agent.session.note_stranger(self.agent, row)
                continue
            if view.row is None or view.row.percent != row.percent:
                view.row_since = now
            view.row = row
            view.note_begun(now)
            if view.status in UNSEEN_STATUSES:
                view.status = RunViewStatus.RUNNING
                view.answered_at = now
        self.agent.session.watch.note_rows(self.agent)

    def take_ends(self, ended):
        """Record the ends of a look, then remember that they are recorded."""
        if not ended:
            return
        ends = tuple(
            RunEnd(
                one.task, one.number, self.agent.minion.id, one.result, one.checkpoint
            )
            for one in ended
        )
        known = tuple(end for end in ends if self.is_recorded(end))
        self.mark_ended(known)
        self.agent.session.watch.note_ends(self.agent, known)
        self.log_lapse(known)
        if not known or self.agent.session.end_runs(known, EndCause.LISTED):
            self.ends_taken = max(self.ends_taken, *(one.sequence for one in ended))

    def mark_ended(self, ends):
        """Note at the views that their runs ended, before that is recorded."""
        for end in ends:
            view = self.agent.view_by_task.get(end.task)
            if view is not None and view.run.number == end.number:
                view.has_ended = True

    def log_lapse(self, ends):
        """Log what is known of a lease that ended runs, one line for them all."""
        lapsed = sum(end.result is RunResult.LAPSED for end in ends)
        if lapsed:
            log_event(
                "run_lease_lapsed",
                minion=self.agent.minion.id,
                runs=lapsed,
                **self.agent.renewals.fields(lease_seconds()),
            )

    def is_recorded(self, end):
        """Whether the log holds the run of `end` as going on."""
        run = self.agent.session.runs_of(self.agent.minion.id).get(end.task)
        return run is not None and run.number == end.number

    def end_missing(self, rows, sent_at):
        """Settle the runs that a look does not show."""
        shown = {(row.task, row.number) for row in rows}
        for view in list(self.agent.view_by_task.values()):
            if (view.run.task, view.run.number) in shown:
                continue
            if not self.is_recorded(view.run):
                continue
            if view.status is RunViewStatus.STOPPED and sent_at > view.answered_at:
                saved = view.row.checkpoint if view.row else ""
                self.agent.end(view, RunResult.LOST, EndCause.STOPPED, saved)
            elif view.status is RunViewStatus.INHERITED:
                view.status = RunViewStatus.UNSURE
            elif view.status is RunViewStatus.RUNNING and sent_at > view.answered_at:
                view.status = RunViewStatus.UNSURE

    def give_up_if_lapsed(self):
        """End everything here once the lease has surely run out."""
        if lease_seconds() < self.agent.lease_over_at:
            return
        ends = []
        kept = 0
        # A stop extends no lease, answered or not, so it keeps no run: one that
        # gets no answer is ordered again and again. An order of a start settles
        # its run itself.
        for view in self.agent.view_by_task.values():
            if view.status in UNSETTLED_STARTS:
                kept += 1
                continue
            run = view.run
            saved = view.row.checkpoint if view.row else ""
            ends.append(RunEnd(run.task, run.number, run.minion, RunResult.LOST, saved))
        if ends or kept:
            minion = self.agent.minion.id
            log_event("minion_lapsed", minion=minion, runs=len(ends), kept=kept)
        if ends:
            self.agent.session.suspect(self.agent.minion.id)
            self.agent.session.end_runs(tuple(ends), EndCause.LAPSED)
