"""
standin.cordon_faults
~~~~~~~~~~~~~~~~~~~~~

Planted faults in the cordons of halls.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["CORDON_FAULTS"]

CORDON_FAULTS = (
    Fault(
        "jobs",
        "a start is sent again after the cordon",
        (
            (
                "jobs/agents/agent.py",
                "            and self.minion.hall not in self.session.table.cordons\n",
                "",
            ),
        ),
        "start_without_an_answer_is_not_sent_again",
    ),
    Fault(
        "jobs",
        "a snapshot is without the cordons",
        (
            (
                "jobs/content.py",
                "cordons=list(table.cordons.cordon_by_hall.values())",
                "cordons=[]",
            ),
        ),
        "snapshot_has_the_cordons",
    ),
    Fault(
        "jobs",
        "an order that changes nothing leaves the revision",
        (
            (
                "jobs/rule.py",
                "    cordons.remove(command.hall, index)",
                "    if command.hall in cordons:\n"
                "        cordons.remove(command.hall, index)",
            ),
        ),
        "changes_nothing_outdates_earlier_ones",
    ),
)
