"""
standin.crash_faults
~~~~~~~~~~~~~~~~~~~~

Planted faults in the limits on repeating tasks that crash minions or end at once,
and in the checks of minion capacity.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["CRASH_FAULTS"]

CRASH_FAULTS = (
    Fault(
        "at_most_once",
        "minion crashes under a task are not counted",
        (
            (
                "jobs/crashes/crash.py",
                "        record.crashes += 1\n",
                "        record.crashes += 0\n",
            ),
            ("jobs/crashes/crash.py", "            record.alone += 1\n", ""),
        ),
        "culprits_are_given_up_and_nobody_else",
    ),
    Fault(
        "at_most_once",
        "minion crashes under a task are missing from snapshots",
        (("jobs/content.py", "        crashes=crashes,\n", ""),),
        "two_crashes_that_nothing_else",
    ),
    Fault(
        "at_most_once",
        "a leader that observed no minion suspects no tasks",
        (
            (
                "jobs/crashes/blame.py",
                "    return Blame(tuple(runs), tuple(runs), alone)\n",
                "    return NO_BLAME\n",
            ),
        ),
        "leader_that_watched_nobody",
    ),
    Fault(
        "at_most_once",
        "crashes of several incarnations of one VM are proof",
        (("jobs/crashes/crash.py", " and vm not in record.vms", ""),),
        "again_and_again_is_no_proof",
    ),
    Fault(
        "at_most_once",
        "simultaneous crashes of minions each count as caused by one task",
        (
            (
                "jobs/crashes/blame.py",
                "    if has_common_cause(agent, agents, other_losses):\n"
                "        return Blame(tasks_of(exposed))\n",
                "",
            ),
            (
                "jobs/crashes/blame.py",
                "[] if other_losses else only_suspects(agent, exposed)",
                "only_suspects(agent, exposed)",
            ),
        ),
        "no_job_fails_whatever_falls or by_chance",
    ),
    Fault(
        "at_most_once",
        "suspected tasks start next to others",
        (
            (
                "jobs/crashes/isolation.py",
                "        if self.suspicion(key):\n"
                "            return self.admitted_suspect",
                "        if False:\n            return self.admitted_suspect",
            ),
        ),
        "culprits_are_given_up or no_job_fails",
    ),
    Fault(
        "at_most_once",
        "a suspected task may wait forever",
        (
            (
                "jobs/crashes/isolation.py",
                "            if now - since > LONGEST_WAIT_SECONDS\n",
                "            if now < since\n",
            ),
        ),
        "suspect_that_fits_nowhere",
    ),
    Fault(
        "at_most_once",
        "tasks stay suspected after an unresponsive minion answers again",
        (
            (
                "jobs/crashes/crash.py",
                "        before = self.clear_suspicion(life)\n",
                "        before = self.blame_by_life.get(life, NO_BLAME)\n",
            ),
        ),
        "silent_life_counts_until",
    ),
    Fault(
        "at_most_once",
        "a task starts although unresponsive minions may exceed its crash limit",
        (
            (
                "jobs/crashes/isolation.py",
                "        if self.crashes.suspicion(key) is Suspicion.BARRED:\n"
                "            return []\n",
                "",
            ),
        ),
        "culprits_are_given_up",
    ),
    Fault(
        "budget",
        "a delayed start is sent although the free capacity has shrunk",
        (
            (
                "jobs/session.py",
                "if self.table.usage_by_minion[run.minion].exceeds(minion):",
                "if False:",
            ),
        ),
        "waits_for_its_turn_is_dropped",
    ),
    Fault(
        "budget",
        "a delayed heartbeat overrides a later one under another leader",
        (
            ("jobs/table.py", "minion.sequence < known.sequence:", "False:"),
            ("jobs/report.py", "minion.sequence >= known.sequence:", "True:"),
        ),
        "held_back_does_not_grow_a_room",
    ),
    Fault(
        "at_most_once",
        "a task that ends at once is restarted without backoff",
        (
            (
                "jobs/plan.py",
                "        and TaskKey(*key, index) not in work.plan_context.paused\n",
                "",
            ),
        ),
        "ends_at_once_is_started_ever_more_rarely",
    ),
)
