"""
standin.account_demo
~~~~~~~~~~~~~~~~~~~~

The part of the demo that shows two client accounts on a stub of the users' platform.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.accounts import ACCOUNTS, TURN_VERSIONS, lasting_key, turning_key
from standin.cluster import wait_for
from standin.site import Site

__all__ = ["show_accounts"]

JOB_SECONDS = 30.0


def show_accounts():
    """Show what the keys of two accounts admit.

    Returns the rows to print and the names of the violated guarantees.
    """
    with Site(controls=3, entries=1, has_accounts=True) as site:
        site.start()
        site.put_config(1)
        jobs = {account: f"{at:016x}" for at, account in enumerate(ACCOUNTS)}
        for account, job in jobs.items():
            site.submit(job, 3, 2, key=lasting_key(account))
        first, second = ACCOUNTS
        statuses = {
            "job of an account, its key": ask(site, jobs[first], lasting_key(first)),
            "the same job, no key": ask(site, jobs[first], None),
            "the same job, unknown key": ask(site, jobs[first], "nobody"),
            "the same job, another's key": ask(site, jobs[first], lasting_key(second)),
        }
        old = turning_key(first, 0)
        statuses["a key that will be dropped"] = ask(site, jobs[first], old)
        site.put_config(TURN_VERSIONS)
        statuses["the same key, dropped"] = ask(site, jobs[first], old)
        wait_for(lambda: have_succeeded(site, jobs), JOB_SECONDS, "the accounts' jobs")
    rows = [(what, f"HTTP {status}") for what, status in statuses.items()]
    is_kept = list(statuses.values()) == [200, 401, 401, 410, 200, 401]
    return rows, [] if is_kept else ["keys_of_accounts"]


def ask(site, job, key):
    """Query a job with a key; return the HTTP status."""
    return site.call("GET", f"/q/{job}", None, key)[0]


def have_succeeded(site, jobs):
    """Whether the job of each account has succeeded."""
    return all(
        site.state(job, lasting_key(account)) == "succeeded"
        for account, job in jobs.items()
    )
