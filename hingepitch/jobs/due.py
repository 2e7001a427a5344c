"""
hingepitch.jobs.due
~~~~~~~~~~~~~~~~~~~

Pure functions for the deadline of a round and for whether it can be met.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from math import exp

from hingepitch.jobs.spec import critical_path_from_ms, critical_path_ms

__all__ = ["deadline_ms", "decided_wait_ms", "due_ms", "is_late", "longest_wait_ms"]

#: Margin, in standard errors above the expected run times, for classifying a round
#: as late: four out of five rounds classified as late are so. Without a margin,
#: jobs that could be on time would wait 8 s behind others.
LATE_STANDARD_ERRORS = 0.84

#: A response is worth nothing after this many times the objective of its job.
WORTHLESS_OBJECTIVES = 3


def round_begin_ms(job, round_number):
    """Return the time from which the deadline of a round counts.

    This is the due time of a repeated job's round, or else the acceptance of the
    job, in milliseconds since the epoch.
    """
    if job.spec.times:
        return job.spec.first_due_ms + round_number * job.spec.interval_ms
    return job.accepted_ms


def due_ms(current_queue, job, round_number, durations):
    """Return the deadline of a round of `job`, in milliseconds since the epoch.

    `durations`
        The run time estimates, a `Durations`.
    """
    chain = critical_path_ms(
        job.spec.steps, durations.queue_estimator(current_queue.route)
    )
    return deadline_ms(current_queue, round_begin_ms(job, round_number), chain)


def deadline_ms(current_queue, begin_ms, chain_ms):
    """Return the deadline of work on a queue that counts from `begin_ms`.

    `chain_ms`
        Expected time of its critical path, in milliseconds.
    """
    return begin_ms + current_queue.objective_ms + current_queue.stretch * chain_ms


def is_late(current_queue, job, round_number, step_number, now_ms, durations):
    """Whether a round is unlikely to meet its deadline if a step starts now.

    The deadline, and with it the slack of a round, grows with the run times of its
    tasks. The round is late if it has used more than the slack that it would have
    if tasks took `LATE_STANDARD_ERRORS` standard errors longer than expected.
    Long-running tasks have no deadline and are never late.
    """
    steps = job.spec.steps
    if steps[step_number].lasts:
        return False
    expected_ms = durations.queue_estimator(current_queue.route)
    left = critical_path_from_ms(steps, step_number, expected_ms)
    slack_ms = current_queue.stretch * critical_path_ms(steps, expected_ms) - left
    used_slack_ms = (
        now_ms - round_begin_ms(job, round_number) - current_queue.objective_ms
    )
    return used_slack_ms > slack_ms * exp(
        LATE_STANDARD_ERRORS * durations.error(current_queue.route)
    )


def longest_wait_ms(current_queue, chain_ms, durations, objectives=1):
    """Return how long a new job may wait until `is_late` would hold for it.

    `chain_ms`
        Expected time of its critical path, in milliseconds.
    `objectives`
        How many times its objective the job may take, its critical path included.
    """
    slack_ms = objectives * current_queue.stretch * chain_ms - chain_ms
    error = LATE_STANDARD_ERRORS * durations.error(current_queue.route)
    return objectives * current_queue.objective_ms + slack_ms * exp(error)


def decided_wait_ms(current_queue, chain_ms, durations):
    """Return the longest wait for which admission control accepts a new job."""
    return longest_wait_ms(current_queue, chain_ms, durations, WORTHLESS_OBJECTIVES)
