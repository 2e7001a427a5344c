"""
standin.account_faults
~~~~~~~~~~~~~~~~~~~~~~

Planted faults in the keys of client accounts.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["ACCOUNT_FAULTS"]

ACCOUNT_FAULTS = (
    Fault(
        "jobs",
        "calls are served without a key",
        (
            (
                "jobs/accounts/account.py",
                "if queue is None or queue.is_public:",
                "if True:",
            ),
        ),
        "without_a_known_key",
    ),
    Fault(
        "jobs",
        "an account cancels the job of another",
        (
            (
                "jobs/rule.py",
                "if job is None or not has_access(table, job, caller):",
                "if job is None:",
            ),
        ),
        "of_another_account",
    ),
    Fault(
        "jobs",
        "a ledger forgets the runs of a cancelled job",
        (
            (
                "jobs/table.py",
                "        job.status = status\n",
                "        job.status = status\n"
                "        self.ledger.usage_by_account.pop(job.account, None)\n",
            ),
        ),
        "cancelled_job_count",
    ),
    Fault(
        "jobs",
        "the log does not check the quota",
        (("jobs/rule.py", "if not table.ledger.admits(job.account, step):", "if 0:"),),
        "nothing_over_the_quota",
    ),
    Fault(
        "jobs",
        "the ledger counts no runs of an earlier leader's snapshot",
        (
            (
                "jobs/content.py",
                "        table.add_run(run)\n",
                "        table.add_run(run)\n"
                "        table.ledger.usage_by_account.clear()\n",
            ),
        ),
        "snapshot_keeps_what_accounts_use",
    ),
    Fault(
        "jobs",
        "jobs beyond the rate of their account go by their deadlines",
        (("jobs/plan.py", "job.id in plan_context.excess_jobs", "False"),),
        "goes_before_what_others_send_beyond_it",
    ),
    Fault(
        "config",
        "a configuration is in force before it is checked",
        (
            (
                "jobs/rule.py",
                "    check_config(config)\n    table.put_config(config)",
                "    table.put_config(config)\n    check_config(config)",
            ),
        ),
        "refused_by_the_log",
    ),
    Fault(
        "config",
        "a leader that has not applied the newest configuration refuses a key",
        (
            (
                "jobs/service.py",
                "            return False\n        self.confirm_leadership()\n",
                "            return False\n",
            ),
        ),
        "only_refused_by_the_newest",
    ),
    Fault(
        "config",
        "an entry refuses a key by an old listing",
        (("jobs/accounts/keycheck.py", "        self.wait_for_check(until)\n", ""),),
        "just_added_is_not_refused",
    ),
    Fault(
        "config",
        "a check that is under way confirms the refusal of later calls",
        (
            (
                "jobs/accounts/keycheck.py",
                "        waiting, self.waiting = self.waiting, None\n",
                "",
            ),
            (
                "jobs/accounts/keycheck.py",
                "        error = self.try_update()\n",
                "        error = self.try_update()\n"
                "        waiting, self.waiting = self.waiting, None\n",
            ),
        ),
        "sent_before_a_call",
    ),
    Fault(
        "config",
        "a snapshot with accounts is read by versions that check no keys",
        (("model/state.py", "if self.jobs.has_accounts:", "if False:"),),
        "other_versions_refuse",
    ),
    Fault(
        "config",
        "a version that checks no keys takes the accounts away",
        (("jobs/rule.py", "if state.jobs.has_accounts:", "if False:"),),
        "drops_the_accounts_unread",
    ),
)
