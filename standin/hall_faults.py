"""
standin.hall_faults
~~~~~~~~~~~~~~~~~~~

Planted faults in what works with the cordon of a hall.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["HALL_FAULTS"]

HALL_FAULTS = (
    Fault(
        "jobs",
        "minions of a cordoned hall count as capacity",
        (
            (
                "jobs/load.py",
                "is_cordoned = minion.hall in table.cordons",
                "is_cordoned = False",
            ),
        ),
        "gets_vms_of_the_other_halls_at_once",
    ),
    Fault(
        "jobs",
        "spare VMs of a cordoned hall are moved into pools",
        (
            (
                "jobs/fleetview.py",
                "is_usable = not self.is_cordoned(self.hall_of(vm))",
                "is_usable = True",
            ),
        ),
        "no_spare_vm_of_a_cordoned_hall",
    ),
    Fault(
        "jobs",
        "the VMs of a cordoned hall are powered off while their pool lacks VMs",
        (
            (
                "jobs/pool.py",
                "min(self.cordoned, self.present + self.cordoned - self.wanted)",
                "self.cordoned",
            ),
        ),
        "bears_work_only_while_it_is_not_cordoned",
    ),
    Fault(
        "jobs",
        "long-running tasks leave a cordoned hall without regard to waiting ones",
        (
            (
                "jobs/halls/cordondrain.py",
                "leaving = self.reserve_owed_room(work)",
                "leaving = set()",
            ),
        ),
        "no_more_tasks_leave_than_there_is_room_for",
    ),
    Fault(
        "budget",
        "long-running tasks leave a cordoned hall without regard to their budget",
        (
            (
                "jobs/halls/cordondrain.py",
                "and self.session.watch.is_within_budget(run, step)",
                "and True",
            ),
        ),
        "stays_while_the_budget_of_its_step_is_spent",
    ),
    Fault(
        "jobs",
        "a stop that was not sent is kept though the hall is uncordoned",
        (
            (
                "jobs/watch.py",
                "if self.session.cordon_drain.is_withdrawn(run):",
                "if False:",
            ),
        ),
        "not_sent_yet_is_withdrawn_with_the_cordon",
    ),
)
