"""
standin.delay_faults
~~~~~~~~~~~~~~~~~~~~

Planted faults in what is concluded from calls that come late and lists that are
incomplete.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["DELAY_FAULTS"]

DELAY_FAULTS = (
    Fault(
        "jobs",
        "a run is taken for lost while its end waits behind the listed ones",
        (
            (
                "jobs/agents/poller.py",
                "if result.unlisted_evidence is not RunEvidence.ABSENT:",
                "if result.unread_running:",
            ),
        ),
        "wait_behind_the_listed_ones",
    ),
    Fault(
        "jobs",
        "a dropped tombstone is forgotten",
        (
            (
                "jobs/tombstone.py",
                "self.dropped_index = self.tombstone_by_call.pop(call).index",
                "self.tombstone_by_call.pop(call)",
            ),
        ),
        "no_order_brings_a_cancelled_job_about",
    ),
    Fault(
        "jobs",
        "a snapshot is without the tombstones",
        (
            (
                "jobs/content.py",
                "tombstones=list(table.tombstones.tombstone_by_call.items())",
                "tombstones=[]",
            ),
        ),
        "snapshot_has_the_tombstones",
    ),
    Fault(
        "jobs",
        "a tombstone refuses the calls of everybody",
        (
            (
                "jobs/tombstone.py",
                'account.name if account is not None else ""',
                '""',
            ),
        ),
        "cancelling_of_a_stranger",
    ),
)
