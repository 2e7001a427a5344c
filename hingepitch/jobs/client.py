"""
hingepitch.jobs.client
~~~~~~~~~~~~~~~~~~~~~~

Client for requests to the leader, with retries within a deadline.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import math

import gevent
import msgspec

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.jobs.question import (
    UNREAD_REQUEST,
    AskConfig,
    AskHalls,
    AskJob,
    AskKeys,
    AskPending,
    AskWave,
    encode,
)

__all__ = [
    "LEADER_WAIT_SECONDS",
    "RETRY_TIMEOUT_SECONDS",
    "JobClient",
    "is_unread",
]

#: How long a request for a caller is retried once it may have been applied, in seconds,
#: if its caller does not say how long it waits: callers wait 3 s, and the last attempt
#: may take one more second.
RETRY_TIMEOUT_SECONDS = 1.8

#: How long such a request waits for a leader before it is refused as not applied, in
#: seconds. A new leader is elected 0.6 to 1.4 s after the loss of the old one; a longer
#: wait would keep callers from trying another entry.
LEADER_WAIT_SECONDS = 0.8

#: Pauses between two attempts of a request, in seconds: the first, which is doubled
#: after each attempt, and the longest. Without a leader all waiting requests ask the
#: replicas that are electing one.
MIN_PAUSE_SECONDS = 0.03
MAX_PAUSE_SECONDS = 0.12

#: Error codes which guarantee that the request changed nothing.
UNAPPLIED_CODES = frozenset(
    (
        "not_leader",
        "no_leader",
        "peer_unreachable",
        "queue_full",
        "no_queues",
        "too_many_jobs",
        "unauthenticated",
        "job_id_taken",
        "over_quota",
        "storage_failed",
        "unknown_hall",
        "over_rate",
        "cannot_finish",
    )
)

#: Error codes after which the request may have been applied.
UNKNOWN_OUTCOME_CODES = frozenset(("peer_failed", "lost_leadership"))

#: Those of `UNAPPLIED_CODES` that are transient: another replica, or the same one a
#: little later, may accept the request.
TRANSIENT_CODES = frozenset(
    ("not_leader", "no_leader", "peer_unreachable", "storage_failed")
)

#: Requests that change nothing at any replica, whether or not they were handled.
READ_REQUESTS = (AskConfig, AskHalls, AskJob, AskKeys, AskPending, AskWave)

#: Retry delay given to the caller if no leader is available, in milliseconds.
RETRY_AFTER_MS = 1000


class JobClient:
    """Sends requests to whichever replica leads.

    `group`
        Client of the control group.
    `replica`, `service`
        The replica of this process and its `JobService`, if any. If this replica
        leads, requests are answered locally.

    `retry_until`
        Time on the clock `lease_seconds` after which nothing is retried: a process
        that is stopping must answer its callers before it ends.

    All requests are safe to retry: jobs and configurations carry the id or version
    by which the log recognizes duplicates.
    """

    def __init__(self, group, replica=None, service=None):
        self.group = group
        self.replica = replica
        self.service = service
        self.retry_until = math.inf

    def ask(self, question, seconds, leaderless_seconds):
        """Return the response to `question`.

        `seconds`
            How long to retry once the request may have been applied.
        `leaderless_seconds`
            How long to retry while no leader is available and the request has
            certainly not been applied. A read changes nothing, so this limits reads as
            well, except that one is tried again after its first lost answer.

        Raises `HingepitchError`: `deadline_passed` if the request may have been
        applied, otherwise the code of the last refusal, with `no_leader` for all
        transient codes. `stale_version` is raised even if an earlier attempt may have
        been applied: the caller reads again what it was based on.
        """
        began = lease_seconds()
        is_read = isinstance(question, READ_REQUESTS)
        is_outcome_unknown = False
        pause = MIN_PAUSE_SECONDS
        while True:
            try:
                return self.ask_once(question)
            except HingepitchError as error:
                is_unanswered = error.code in UNKNOWN_OUTCOME_CODES
                is_first = is_unanswered and not is_outcome_unknown
                is_outcome_unknown |= is_unanswered
                is_long = is_first if is_read else is_outcome_unknown
                limit = seconds if is_long else leaderless_seconds
                is_transient = is_unanswered or error.code in TRANSIENT_CODES
                until = min(began + limit, self.retry_until)
                if not is_transient or lease_seconds() > until:
                    may_be_applied = is_outcome_unknown and not is_read
                    raise self.final_error(error, may_be_applied) from None
            gevent.sleep(pause)
            pause = min(MAX_PAUSE_SECONDS, 2 * pause)

    def ask_once(self, question):
        """Send the request once: locally if this replica leads, else to the group."""
        if self.replica is not None and self.replica.is_leader:
            return self.service.answer(question)
        try:
            return msgspec.msgpack.decode(self.group.call_once("ask", encode(question)))
        except HingepitchError as error:
            if not is_unread(error) and not getattr(error, "is_handshake", False):
                raise
            self.group.skip_replica()
            raise HingepitchError("no_leader", error.detail, RETRY_AFTER_MS) from None

    def final_error(self, error, may_be_applied):
        """Return the error to raise to the caller after the last attempt."""
        if may_be_applied and error.code in UNAPPLIED_CODES | UNKNOWN_OUTCOME_CODES:
            return HingepitchError("deadline_passed", error.detail)
        if error.code in TRANSIENT_CODES | UNKNOWN_OUTCOME_CODES:
            return HingepitchError("no_leader", "", RETRY_AFTER_MS)
        return error


def is_unread(error):
    """Whether a replica could not decode a request: it is of an earlier version."""
    return error.code == "bad_request" and error.detail.startswith(UNREAD_REQUEST)
