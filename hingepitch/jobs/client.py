"""
hingepitch.jobs.client
~~~~~~~~~~~~~~~~~~~~~~

Questions from a process to the leader, within a deadline.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
import msgspec

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.jobs.question import encode

__all__ = ["JobClient"]

PAUSE_SECONDS = 0.03

#: Codes after which the question has surely changed nothing.
HARMLESS_CODES = frozenset(
    (
        "not_leader",
        "no_leader",
        "peer_unreachable",
        "queue_full",
        "no_queues",
        "too_many_jobs",
    )
)

#: Codes after which the question may have been taken.
UNSURE_CODES = frozenset(("peer_failed", "lost_leadership", "storage_failed"))

#: Harmless codes that another replica, or the same a little later, may not
#: repeat.
PASSING_CODES = frozenset(("not_leader", "no_leader", "peer_unreachable"))

RETRY_AFTER_MS = 1000


class JobClient:
    """Asks the leader, wherever it is.

    `group`
        Calls to the control group.
    `replica`, `service`
        The replica of this process and its service, where there is one: the
        leader answers itself without a call.

    Every question may be asked again: jobs and configurations carry the id
    or version by which the log knows them.
    """

    def __init__(self, group, replica=None, service=None):
        self.group = group
        self.replica = replica
        self.service = service

    def ask(self, question, seconds, leaderless_seconds):
        """Return the answer to `question`.

        `seconds`
            How long to ask again after calls that were lost.
        `leaderless_seconds`
            How long to ask again while there is no leader and the question
            has surely not been taken.

        Raises `HingepitchError`: `deadline_passed` if the question may have
        been taken, else the code of the last refusal.
        """
        began = lease_seconds()
        may_be_taken = False
        while True:
            try:
                return self.ask_once(question)
            except HingepitchError as error:
                may_be_taken = may_be_taken or error.code in UNSURE_CODES
                limit = seconds if may_be_taken else leaderless_seconds
                passing = error.code in PASSING_CODES or error.code in UNSURE_CODES
                if not passing or lease_seconds() - began > limit:
                    raise self.final(error, may_be_taken) from None
            gevent.sleep(PAUSE_SECONDS)

    def ask_once(self, question):
        """Ask once, here if this replica leads, else over the group."""
        if self.replica is not None and self.replica.is_leader:
            return self.service.answer(question)
        return msgspec.msgpack.decode(self.group.call_once("ask", encode(question)))

    def final(self, error, may_be_taken):
        """Return the error that the caller is told."""
        if may_be_taken and error.code in HARMLESS_CODES | UNSURE_CODES:
            return HingepitchError("deadline_passed", error.detail)
        if error.code in PASSING_CODES:
            return HingepitchError("no_leader", "", RETRY_AFTER_MS)
        return error
