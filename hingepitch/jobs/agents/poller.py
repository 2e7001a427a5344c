"""
hingepitch.jobs.agents.poller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Status polls of one minion: each lists the runs that go on and those that ended,
and renews the minion's lease.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import replace

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from hingepitch.clock import lease_seconds
from hingepitch.jobs.agents.contact import (
    PollOrder,
    PollResult,
    Reply,
    ReplyKind,
    RunEvidence,
)
from hingepitch.jobs.agents.runview import UNLISTED_STATUSES, RunViewStatus
from hingepitch.jobs.cause import EndCause
from hingepitch.jobs.command import RunEnd
from hingepitch.jobs.record import RunResult
from hingepitch.log import log_event

__all__ = ["UNCONFIRMED_SECONDS", "StatusPoller"]

#: Long-poll wait while a stop is in progress, in milliseconds: about the time that
#: a stop takes.
STOPPING_POLL_MS = 300

#: Minimum timeout of a status poll beyond its long-poll wait, in seconds. A poll
#: that times out too early costs a new connection, and the leader itself reads
#: replies late while it plans a burst.
POLL_TIMEOUT_MARGIN_SECONDS = 0.2

#: Maximum long-poll wait, as a fraction of the lease. A lost poll is noticed only
#: when its wait is over, and the next one renews nothing. With a quarter, two
#: polls in a row may be lost before the lease expires; with half, not even one.
MAX_WAIT_LEASE_FRACTION = 1 / 4

#: Pause after the second and later status polls in a row that failed, in seconds.
RETRY_SECONDS = 0.25

#: Pause after the second and later failed polls in a row of a minion without runs,
#: where no result is pending, in seconds.
IDLE_RETRY_SECONDS = 2.0

#: How long ends that cannot be decoded hold back the acknowledgement of the others, in
#: seconds. An end that was garbled on its way is readable in a later reply; one that
#: stays unreadable must not keep the minion from listing further ends.
UNREAD_ENDS_SECONDS = 5.0

#: Pause while the leadership is not confirmed and no orders may be given, in
#: seconds; it keeps waiting orders from busy-looping.
UNCONFIRMED_SECONDS = 0.05

#: Statuses of runs whose outcome is settled by the reply to their start order, not
#: by the expiry of the lease.
UNSETTLED_STARTS = frozenset(
    (RunViewStatus.FRESH, RunViewStatus.ORDERED, RunViewStatus.REFUSED)
)


class StatusPoller:
    """Polls the status of one incarnation of a minion for its agent.

    `agent`
        The `Agent`, with its views, client and lease.
    `wake`
        Set when a status poll may be needed.
    `ends_recorded`, `ends_acknowledged`
        Sequence number of the last end that is recorded, and of the last end
        that the minion was told is recorded.
    `polled_at`
        When the poll was sent whose list of runs is the latest.
    `listed_at`
        When a list of runs was last received.
    `result_lock`
        Lock held while the result of a poll is processed.
    `is_long_polling`
        Whether a long poll is in progress.
    `is_settling`
        Whether polls for runs of unknown outcome are sent beside the long poll.
    `was_refused`
        Whether the last poll was answered without a list of runs.
    `unread_since`
        Since when the replies have had ends that could not be decoded; 0 if the last
        one had none.
    """

    def __init__(self, agent):
        self.agent = agent
        self.wake = Event()
        self.ends_recorded = 0
        self.ends_acknowledged = 0
        self.polled_at = 0.0
        self.listed_at = 0.0
        self.result_lock = BoundedSemaphore(1)
        self.is_long_polling = False
        self.is_settling = False
        self.was_refused = False
        self.unread_since = 0.0

    def run(self):
        """Poll the minion while `is_needed`, until the agent is gone."""
        while not self.agent.is_gone:
            if not self.is_needed():
                self.wake.clear()
                self.wake.wait()
                continue
            if not self.agent.session.may_order():
                gevent.sleep(UNCONFIRMED_SECONDS)
                continue
            self.long_poll()

    def is_needed(self):
        """Whether a poll is needed, for a status or to acknowledge recorded ends."""
        if (
            self.ends_acknowledged < self.ends_recorded
            or self.agent.clock_offset_ms is None
        ):
            return True
        if self.agent.is_unresponsive:
            return True
        return any(
            view.status not in UNSETTLED_STARTS
            for view in self.agent.view_by_task.values()
        )

    def wait_ms(self):
        """Return the long-poll wait of the next poll in milliseconds.

        A renewal after a lost one does not wait: if it is lost as well, that is
        known early enough for further renewals before the lease expires.
        """
        if (
            not self.agent.view_by_task
            or self.agent.is_unresponsive
            or self.has_unknown_outcome()
        ):
            return 0
        if self.was_refused:
            return 0
        statuses = {view.status for view in self.agent.view_by_task.values()}
        if RunViewStatus.INHERITED in statuses:
            return 0
        if RunViewStatus.STOPPED in statuses:
            return STOPPING_POLL_MS
        longest = MAX_WAIT_LEASE_FRACTION * self.agent.session.lease_seconds
        if self.agent.renewals.is_overdue(
            lease_seconds(), longest + POLL_TIMEOUT_MARGIN_SECONDS
        ):
            return 0
        wait_ms = self.agent.session.watch.poll_wait_ms(self.agent)
        return min(wait_ms, int(longest * 1000))

    def has_unknown_outcome(self):
        """Whether the outcome of a run is unknown, so that a poll must settle it.

        The end of a stopped run that was seen running is listed, and a long poll
        returns it at once. A stopped run that was never seen has no end to list.
        """
        return any(
            view.status is RunViewStatus.UNSURE
            or (view.status is RunViewStatus.STOPPED and view.row is None)
            for view in self.agent.view_by_task.values()
        )

    def settle_at_once(self):
        """Poll at once for a run of unknown outcome, even during a long poll.

        A long poll that was sent before the outcome became unknown cannot settle
        it. Waiting for it would delay the job by up to `BUSY_POLL_MS` for each of
        the two polls needed to confirm that a run is absent.
        """
        self.wake.set()
        if self.is_long_polling and not self.is_settling:
            self.is_settling = True
            self.agent.spawn(self.settle)

    def settle(self):
        """Poll without wait while a long poll and an unknown outcome persist."""
        try:
            while (
                self.is_long_polling
                and self.has_unknown_outcome()
                and not self.agent.is_gone
            ):
                if not self.agent.session.may_order():
                    gevent.sleep(UNCONFIRMED_SECONDS)
                    continue
                self.poll(0)
        finally:
            self.is_settling = False

    def long_poll(self):
        """Send a poll with the longest wait that the runs allow."""
        wait_ms = self.wait_ms()
        self.is_long_polling = wait_ms > 0
        try:
            self.poll(wait_ms)
        finally:
            self.is_long_polling = False
        if wait_ms and not self.has_unknown_outcome():
            # The next poll then lists what ends meanwhile, too.
            gevent.sleep(self.agent.session.batch_seconds)

    def poll(self, wait_ms):
        """Send a poll that waits `wait_ms` at most, and process its result."""
        sent_at = lease_seconds()
        acknowledged = self.ends_to_acknowledge()
        until = renewal = None
        # A renewal without an answer may still arrive and extend the lease, so a
        # minion that is unresponsive or refused a poll gets no renewals until it
        # lists its runs again.
        is_listing = not self.agent.is_unresponsive and not self.was_refused
        if self.agent.clock_offset_ms is not None and is_listing:
            until = self.agent.lease_until_ms()
            self.agent.extend_lease()
            renewal = self.agent.renewals.note_sent(until, sent_at)
        order = PollOrder(self.agent.session.fence, acknowledged, until, wait_ms)
        answer_seconds = max(
            POLL_TIMEOUT_MARGIN_SECONDS, self.agent.reply_time.timeout_seconds
        )
        result = self.agent.client.look(order, wait_ms / 1000 + answer_seconds)
        if not self.agent.is_own_birth(result.born_ms):
            result = PollResult(Reply(ReplyKind.RESTARTED))
        self.agent.note_reply(result.reply, sent_at)
        is_done = result.reply.kind is ReplyKind.DONE
        self.was_refused = not is_done and not self.agent.is_unresponsive
        if not is_done:
            self.end_runs_if_expired()
            if not is_listing:
                idle = not self.agent.view_by_task
                gevent.sleep(IDLE_RETRY_SECONDS if idle else RETRY_SECONDS)
            return
        self.listed_at = lease_seconds()
        self.agent.session.load_reporter.note_poll(len(result.ended))
        if wait_ms == 0:
            self.agent.reply_time.note(self.listed_at - sent_at)
        self.agent.session.withdraw_suspicion(self.agent.minion.id)
        self.process_result(result, sent_at, acknowledged)
        self.agent.renewals.note_answered(renewal)
        self.agent.wake.set()
        is_immediate = wait_ms == 0 or result.unread_ended
        if is_immediate and not result.may_have_more_ends:
            gevent.sleep(self.agent.session.poll_pause_seconds)

    def ends_to_acknowledge(self):
        """Return the sequence number of the last end to acknowledge, or 0 for none.

        Another incarnation of the minion would take the number for its own and forget
        ends that nobody has recorded. So it is sent only until a poll with it is
        answered, and not to a minion that may have started again meanwhile.
        """
        is_due = self.ends_acknowledged < self.ends_recorded
        return self.ends_recorded if is_due and not self.agent.is_unresponsive else 0

    def process_result(self, result, sent_at, acknowledged):
        """Process the result of a poll, one result at a time.

        If the result of a poll that was sent later has been processed, the list of
        runs is outdated and skipped; the ends are still valid.

        `acknowledged`
            Sequence number of the last end that the poll acknowledged.
        """
        with self.result_lock:
            is_news = sent_at >= self.polled_at
            self.ends_acknowledged = max(self.ends_acknowledged, acknowledged)
            if is_news:
                self.polled_at = sent_at
                self.update_running(result.running, sent_at)
            self.agent.session.gauge.note_unread(result)
            result = self.give_up_unread_ends(result)
            self.record_ends(result.ended, may_acknowledge=not result.unread_ended)
            if is_news:
                self.end_missing(result, sent_at)

    def update_running(self, rows, now):
        """Update the views from the runs that a poll lists; log unrecorded runs."""
        for row in rows:
            view = self.agent.view_by_task.get(row.task)
            if view is None or view.run.number != row.number:
                self.agent.session.log_unknown_run(self.agent, row)
                continue
            if view.row is None or not view.row.percent:
                self.agent.session.beginnings.note_run(view.run, row.percent)
            if view.row is None or view.row.percent != row.percent:
                view.row_since = now
            view.row = row
            view.note_begun(now)
            if view.status in UNLISTED_STATUSES:
                view.status = RunViewStatus.RUNNING
                view.answered_at = now
        self.agent.session.watch.note_rows(self.agent)

    def give_up_unread_ends(self, result):
        """Return a result without its unreadable ends if these last for too long.

        Until then they hold back the acknowledgement of the other ends, with which
        the minion would forget them, and what is concluded from a missing run.
        """
        now = lease_seconds()
        if not result.unread_ended:
            self.unread_since = 0.0
            return result
        self.unread_since = self.unread_since or now
        if now - self.unread_since < UNREAD_ENDS_SECONDS:
            return result
        log_event(
            "unread_ends_given_up",
            minion=self.agent.minion.id,
            ends=result.unread_ended,
        )
        return replace(result, unread_ended=0)

    def record_ends(self, ended, may_acknowledge):
        """Record the ends that a poll lists, then advance `ends_recorded`.

        `may_acknowledge`
            Whether to advance it: whether the minion may be told that all ends up to
            the last one are recorded.
        """
        if not ended:
            return
        ends = tuple(
            RunEnd(
                one.task, one.number, self.agent.minion.id, one.result, one.checkpoint
            )
            for one in ended
        )
        known = tuple(end for end in ends if self.is_recorded(end))
        self.agent.session.beginnings.note_ends(known)
        self.mark_ended(known)
        self.agent.session.watch.note_ends(self.agent, known)
        self.log_lease_expiry(known)
        is_recorded = not known or self.agent.session.end_runs(known, EndCause.LISTED)
        if is_recorded and may_acknowledge:
            self.ends_recorded = max(
                self.ends_recorded, *(one.sequence for one in ended)
            )

    def mark_ended(self, ends):
        """Mark the views of runs that ended, before the ends are recorded."""
        for end in ends:
            view = self.agent.view_by_task.get(end.task)
            if view is not None and view.run.number == end.number:
                view.has_ended = True

    def log_lease_expiry(self, ends):
        """Log one line on the lease if its expiry ended any of the runs."""
        expired_runs = sum(end.result is RunResult.LAPSED for end in ends)
        if expired_runs:
            log_event(
                "run_lease_lapsed",
                minion=self.agent.minion.id,
                runs=expired_runs,
                **self.agent.renewals.fields(lease_seconds()),
            )

    def is_recorded(self, end):
        """Whether the run of `end` is recorded as running on this incarnation."""
        run = self.agent.session.runs_of(self.agent.minion.id).get(end.task)
        return run is not None and run.number == end.number

    def end_missing(self, result, sent_at):
        """Update the status of recorded runs that the minion no longer has.

        A run that was stopped has then ended; the outcome of one that was inherited
        or running becomes unknown. Both need proof that the minion has no end of the
        run either: an end `done` may wait behind the listed ones, and the task must
        not be started again.
        """
        if result.unlisted_evidence is not RunEvidence.ABSENT:
            return
        evidence_by_run = result.evidence_by_run()
        for view in list(self.agent.view_by_task.values()):
            if (view.run.task, view.run.number) in evidence_by_run:
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

    def end_runs_if_expired(self):
        """End the runs of the minion once its lease is confirmed to have expired."""
        if lease_seconds() < self.agent.lease_expired_at:
            return
        ends = []
        kept = 0
        # A pending stop does not keep a run: stops extend no lease, and one without
        # an answer is repeated until the run ends. A start order settles its run
        # itself.
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
