"""
standin.replacement_faults
~~~~~~~~~~~~~~~~~~~~~~~~~~

Planted faults in the replacement of voters, and in what counts as begun.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["REPLACEMENT_FAULTS"]

REPLACEMENT_FAULTS = (
    Fault(
        "config",
        "a silent voter is replaced after the next losses may come",
        (
            (
                "control/healing.py",
                "return max(left, MIN_SILENCE_SECONDS)",
                "return 8.0",
            ),
        ),
        "any_two_disks_may_be_lost_after_a_replacement",
    ),
    Fault(
        "config",
        "a learner has to be level with the leader at one moment",
        (
            (
                "control/reconfiguration.py",
                "progress.match_index >= self.catch_up_index",
                "progress.match_index >= self.commit_index",
            ),
        ),
        "learner_that_keeps_up_with_constant_commits",
    ),
    Fault(
        "jobs",
        "a job has begun once a run of it is recorded",
        (
            (
                "jobs/table.py",
                "        task.run = number\n",
                "        task.run = number\n        self.mark_running(job)\n",
            ),
        ),
        "recorded_start_does_not_begin_a_job",
    ),
    Fault(
        "jobs",
        "a gang has begun while its members wait for each other",
        (
            (
                "jobs/beginning.py",
                "if percent or not job.spec.steps[run.task.step].gang:",
                "if True:",
            ),
        ),
        "gang_begins_with_its_first_progress",
    ),
)
