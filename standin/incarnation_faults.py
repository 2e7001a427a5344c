"""
standin.incarnation_faults
~~~~~~~~~~~~~~~~~~~~~~~~~~

Planted faults in what the leader keeps for an incarnation of a minion.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["INCARNATION_FAULTS"]

INCARNATION_FAULTS = (
    Fault(
        "leaving",
        "heartbeats of a restarted minion count as late",
        (("jobs/report.py", "if not known.is_same_incarnation(minion):", "if False:"),),
        "restarted_minion_that_drains",
    ),
    Fault(
        "at_most_once",
        "a new incarnation is told to forget the ends up to an earlier one's",
        (
            (
                "jobs/agents/poller.py",
                "return self.ends_recorded if is_due and",
                "return self.ends_recorded if True or",
            ),
        ),
        "not_told_that_its_ends_are_recorded",
    ),
    Fault(
        "at_most_once",
        "a delayed heartbeat of an earlier incarnation passes the probe",
        (
            (
                "jobs/agents/agentregistry.py",
                "return is_same and result",
                "return result",
            ),
        ),
        "late_heartbeat_of_the_incarnation_before",
    ),
    Fault(
        "at_most_once",
        "a delayed delete of an earlier incarnation ends the next one",
        (("jobs/registration.py", "if minion.is_successor:", "if False:"),),
        "late_delete_of_the_incarnation_before",
    ),
    Fault(
        "at_most_once",
        "the runs of an earlier incarnation end without being settled",
        (
            (
                "jobs/table.py",
                "minion = self.succeed(known, minion, at_ms)",
                "self.remove_minion(known.id, at_ms)",
            ),
        ),
        "run_that_the_new_incarnation_started",
    ),
)
