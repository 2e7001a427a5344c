"""
hingepitch.jobs.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~

Runs one dispatch session for each leadership of this process.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.error import HingepitchError
from hingepitch.jobs.crashes.blame import unobserved_blame
from hingepitch.jobs.session import Session
from hingepitch.log import log_event
from hingepitch.metric import Metrics

__all__ = ["Dispatcher"]

#: Time between two checks whether this replica leads, in seconds.
POLL_SECONDS = 0.02

#: Pause after a session that ended with an unexpected exception, in seconds, so
#: that a fault that recurs at once does not keep the replica busy.
FAILURE_PAUSE_SECONDS = 0.2


class Dispatcher:
    """Runs one `Session` after another, one for each leadership.

    `roster`
        The `MinionRoster` that receives the minions' heartbeats.
    `replica`, `connect`, `terms`, `name`, `platform`, `adviser`, `metrics`
        As for `Session`.
    """

    def __init__(
        self,
        replica,
        roster,
        connect,
        terms,
        name,
        platform=None,
        adviser=None,
        metrics=None,
    ):
        self.replica = replica
        self.roster = roster
        self.connect = connect
        self.terms = terms
        self.name = name
        self.platform = platform
        self.adviser = adviser
        self.metrics = metrics or Metrics("dispatch")
        self.session = None
        roster.on_heartbeat = self.note_heartbeat
        roster.on_crash = self.blame_for
        roster.is_present = self.is_present
        roster.has_ended = self.has_ended

    def run(self):
        """Wait for leadership and run a session, repeatedly, until killed."""
        while True:
            pause = POLL_SECONDS
            if self.replica.is_leader and self.is_confirmed():
                has_failed = self.lead()
                pause = FAILURE_PAUSE_SECONDS if has_failed else POLL_SECONDS
            gevent.sleep(pause)

    def is_confirmed(self):
        """Whether this replica leads and has applied all committed entries."""
        try:
            self.replica.confirm_leadership()
            return True
        except HingepitchError:
            return False  # Expected while another replica leads, or none yet.

    def lead(self):
        """Run a session until it ends; return whether a fault ended it."""
        self.session = Session(
            self.replica,
            self.connect,
            self.terms,
            self.name,
            self.platform,
            self.adviser,
            self.metrics,
        )
        log_event(
            "session_started",
            fence=self.session.fence,
            runs=len(self.session.inherited),
            minions=len(self.session.table.minion_by_id),
        )
        try:
            self.session.run()
            return self.session.has_failed
        finally:
            log_event("session_ended", fence=self.session.fence)
            self.session = None
            self.roster.clear()

    def current_admission(self):
        """Return the `AdmissionController` of the current session.

        None without a session, and in a deployment that asks for no refusals: it has
        neither rates of accounts nor limits for overload.
        """
        session = self.session
        if session is None:
            return None
        is_wanted = session.terms.refuses_late_jobs or session.table.has_accounts
        return session.admission if is_wanted else None

    def note_heartbeat(self, minion_id, clock_ms, warm_up_ms=None):
        """Pass a heartbeat on to the current session, if there is one."""
        if self.session is not None:
            self.session.note_heartbeat(minion_id, clock_ms, warm_up_ms)

    def blame_for(self, life):
        """Return the `Blame` for an incarnation that has ended.

        Without a session nothing has been observed of its runs, so the `Blame`
        rests on the job table alone.
        """
        if self.session is None:
            return unobserved_blame(self.replica.state.jobs, life)
        blame = self.session.blame(life)
        self.session.gauge.note_crash(blame)
        return blame

    def is_present(self, minion):
        """Whether an incarnation answers a probe now; False without a session."""
        return self.session is not None and self.session.agents.is_present(minion)

    def has_ended(self, minion):
        """Whether an incarnation has surely ended; False without a session."""
        return self.session is not None and self.session.agents.has_ended(minion)
