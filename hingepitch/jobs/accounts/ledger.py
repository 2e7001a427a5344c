"""
hingepitch.jobs.accounts.ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the runs of each client account use, against its quota. Like the rest of the
state machine it is deterministic: it reads neither the clock nor random numbers.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import sys
from dataclasses import dataclass

from hingepitch.jobs.accounts.account import Quota

__all__ = ["AccountLedger", "AccountUsage", "exceeds_quota"]

#: Accounts without a place in the configuration whose quota is kept; the ones that
#: left first are dropped.
MAX_DEPARTED_ACCOUNTS = 4096

NO_QUOTA = Quota()


@dataclass(slots=True)
class AccountUsage:
    """What the runs of one account use.

    `runs`
        Number of the runs.
    `cpu_millicores`
        Also of tasks that only use what others leave.
    """

    runs: int = 0
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, need, sign=1):
        """Add what a run or a task of a step needs, or subtract it with `sign` -1."""
        self.runs += sign
        self.cpu_millicores += sign * need.cpu_millicores
        self.memory_mb += sign * need.memory_mb
        self.accelerators += sign * need.accelerators

    def admits(self, quota, step):
        """Whether a quota has room for one more task of `step`."""
        return self.room(quota, step, 1) > 0

    def room(self, quota, step, wanted):
        """Return for how many of `wanted` tasks of `step` a quota has room.

        A task that is larger than the whole quota runs by itself: it would wait for
        good otherwise.
        """
        count = min(
            wanted,
            count_within(
                quota.cpu_millicores, self.cpu_millicores, step.cpu_millicores
            ),
            count_within(quota.memory_mb, self.memory_mb, step.memory_mb),
            count_within(quota.accelerators, self.accelerators, step.accelerators),
        )
        return min(1, wanted) if count < 1 and not self.runs else max(0, count)


def count_within(limit, used, need):
    """Return how many tasks that each need `need` fit between `used` and a limit.

    A limit of 0 is none.
    """
    if not limit or not need:
        return sys.maxsize
    return (limit - used) // need


def exceeds_quota(quota, step):
    """Whether all tasks of `step` together need more than a quota allows."""
    nothing = AccountUsage(runs=1)
    return nothing.room(quota, step, step.count) < step.count


class AccountLedger:
    """The usage and the quota of each account.

    A run counts from its record until its end is confirmed: also while it is being
    stopped, while its start is uncertain, and on a minion that is silent.

    `usage_by_account`
        `AccountUsage` of the accounts with runs, by name.
    `quota_by_account`
        `Quota` of the accounts of the configuration, by name.
    `departed_quotas`
        Last `Quota` of accounts that the configuration no longer names, by name.
        Jobs that were accepted for them go on.
    """

    def __init__(self):
        self.usage_by_account = {}
        self.quota_by_account = {}
        self.departed_quotas = {}

    def put_accounts(self, accounts):
        """Take over the quotas of a configuration."""
        before = self.quota_by_account
        self.quota_by_account = {account.name: account.quota for account in accounts}
        for name, quota in before.items():
            self.departed_quotas[name] = quota
        for name in self.quota_by_account:
            self.departed_quotas.pop(name, None)
        while len(self.departed_quotas) > MAX_DEPARTED_ACCOUNTS:
            del self.departed_quotas[next(iter(self.departed_quotas))]

    def quota(self, account):
        """Return the quota of an account, as last configured."""
        quota = self.quota_by_account.get(account)
        return quota or self.departed_quotas.get(account, NO_QUOTA)

    def usage(self, account):
        """Return the `AccountUsage` of an account, which must not be changed."""
        return self.usage_by_account.get(account) or AccountUsage()

    def add(self, run):
        """Count a run."""
        if run.account:
            usage = self.usage_by_account.setdefault(run.account, AccountUsage())
            usage.add(run)

    def remove(self, run):
        """Stop counting a run that is confirmed ended."""
        if not run.account:
            return
        usage = self.usage_by_account[run.account]
        usage.add(run, -1)
        if not usage.runs:
            del self.usage_by_account[run.account]

    def admits(self, account, step):
        """Whether an account may start one more task of `step`."""
        return self.room(account, step, 1) > 0

    def room(self, account, step, wanted):
        """Return how many of `wanted` tasks of `step` an account may start."""
        if not account:
            return wanted
        return self.usage(account).room(self.quota(account), step, wanted)
