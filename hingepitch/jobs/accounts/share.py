"""
hingepitch.jobs.accounts.share
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares of client accounts: which jobs are within the rate that an account may expect
to be served.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["ShareMeter"]


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: one token for each job that an account may expect to be served.

    `tokens`
        Number of tokens at `at_ms`, in milliseconds since the epoch.
    """

    tokens: float
    at_ms: int

    def refill(self, per_second, now_ms):
        """Add the tokens since the last time; return how many there are.

        The bucket holds the tokens of one second, and at least one.
        """
        elapsed_ms = max(0, now_ms - self.at_ms)
        gained = elapsed_ms * per_second / 1000
        self.tokens = min(max(1.0, per_second), self.tokens + gained)
        self.at_ms = max(self.at_ms, now_ms)
        return self.tokens

    def take(self, per_second, now_ms):
        """Take a token; return whether there was one."""
        if self.refill(per_second, now_ms) < 1:
            return False
        self.tokens -= 1
        return True

    def put_back(self, per_second):
        """Put back a token that was taken for a job that is not accepted."""
        self.tokens = min(max(1.0, per_second), self.tokens + 1)


class ShareMeter:
    """Tells the jobs that an account sends beyond its rate, during one leadership.

    An account may expect as many jobs a second to be served as its weight says.

    `note_excess`
        Function that gets each job beyond the rate of its account, once.
    `bucket_by_account`
        The `TokenBucket` of each account, by name.
    `is_excess_by_job`
        Whether a job is beyond the rate of its account, for the open jobs of accounts
        that have had a ready step.
    `is_excess_by_new_job`
        The same for the jobs that admission has counted and that are not yet known
        to be accepted, by id and account: two accounts may send one id.
    """

    def __init__(self, note_excess=lambda job: None):
        self.note_excess = note_excess
        self.bucket_by_account = {}
        self.is_excess_by_job = {}
        self.is_excess_by_new_job = {}

    def excess_jobs(self, table):
        """Return the ids of the jobs with ready steps that are beyond their rate."""
        # In the order in which they became ready: jobs of one time keep their turn.
        ready = dict.fromkeys(key[0] for key in table.ready_steps)
        new = [
            table.job_by_id[one] for one in ready if one not in self.is_excess_by_job
        ]
        for job in sorted(new, key=lambda job: job.accepted_ms):
            self.is_excess_by_job[job.id] = self.is_counted_excess(table, job)
        self.forget_jobs(table)
        return {job_id for job_id in ready if self.is_excess_by_job[job_id]}

    def is_known_excess(self, job_id):
        """Whether a job was counted as beyond the rate of its account."""
        return self.is_excess_by_job.get(job_id, False)

    def is_counted_excess(self, table, job):
        """Whether a job is beyond the rate; count it unless admission has done so."""
        is_excess = self.is_excess_by_new_job.pop((job.id, job.account), None)
        if is_excess is None:
            return self.is_excess(table, job)
        if is_excess:
            self.note_excess(job)
        return is_excess

    def is_excess(self, table, job):
        """Count a job for the rate of its account; return whether it is beyond it.

        Jobs without an account, and of an account without a weight, never are.
        """
        account = table.accounts.account_by_name.get(job.account)
        if account is None or not account.weight or self.take_token(account, job):
            return False
        self.note_excess(job)
        return True

    def take_token(self, account, job):
        """Count a job for its account; return whether it is within the rate."""
        bucket = self.bucket(account, job.accepted_ms)
        return bucket.take(account.weight, job.accepted_ms)

    def bucket(self, account, now_ms):
        """Return the `TokenBucket` of an account; a new one is full."""
        bucket = self.bucket_by_account.get(account.name)
        if bucket is None:
            bucket = TokenBucket(max(1.0, account.weight), now_ms)
            self.bucket_by_account[account.name] = bucket
        return bucket

    def token_wait_ms(self, account, now_ms):
        """Return in how many milliseconds an account will have a token; 0: now.

        Takes none: a job that is refused does not count.
        """
        tokens = self.bucket(account, now_ms).refill(account.weight, now_ms)
        return max(0.0, 1000 * (1 - tokens) / account.weight)

    def is_new_within_rate(self, account, job_id):
        """Whether admission has counted a new job as within the rate of an account."""
        return self.is_excess_by_new_job.get((job_id, account.name)) is False

    def count_new(self, account, job_id, now_ms):
        """Count a job before it is accepted; return whether this call has counted it.

        A job that was counted already, by an earlier attempt, keeps its place.
        """
        key = job_id, account.name
        if job_id in self.is_excess_by_job or key in self.is_excess_by_new_job:
            return False
        bucket = self.bucket(account, now_ms)
        self.is_excess_by_new_job[key] = not bucket.take(account.weight, now_ms)
        return True

    def uncount(self, account, job_id):
        """Undo `count_new` for a job that was certainly not accepted.

        Only for the call that has counted it: another may still be recording it.
        """
        if self.is_excess_by_new_job.pop((job_id, account.name), None) is False:
            self.bucket(account, 0).put_back(account.weight)

    def confirm(self, table, account, job_id):
        """Keep whether an accepted job is beyond the rate until its record is gone.

        If another account's call with this id was accepted instead, undo the count.
        """
        job = table.job_by_id.get(job_id)
        if job is not None and job.account != account.name:
            self.uncount(account, job_id)
            return
        is_excess = self.is_excess_by_new_job.pop((job_id, account.name), None)
        if is_excess is not None and job is not None:
            self.is_excess_by_job.setdefault(job_id, is_excess)
            if is_excess:
                self.note_excess(job)

    def forget_jobs(self, table):
        """Forget the jobs that the table no longer has, once they are the most."""
        if len(self.is_excess_by_job) > 2 * len(table.job_by_id):
            self.is_excess_by_job = {
                job_id: is_excess
                for job_id, is_excess in self.is_excess_by_job.items()
                if job_id in table.job_by_id
            }
