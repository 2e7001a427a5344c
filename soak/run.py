"""
soak.run
~~~~~~~~

One run of the soak: a site, its clients, its faults and the checks.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
import time

from soak.caller import Caller
from soak.checks import check_logs, check_processes, check_tasks
from soak.fault import Faults
from soak.operator import ConfigReader, ConfigWriter
from soak.record import Record
from soak.stranger import Stranger
from standin.accounts import ACCOUNTS, lasting_key
from standin.cluster import wait_for
from standin.site import Site

__all__ = ["Run"]

#: Longest time from the last fault until calls are served again, as `recovery_s`
#: of the users' pages requires.
RECOVERY_SECONDS = 12.0

#: Longest time until all lost voters are replaced, and until all jobs have ended.
#: Replicas that lost their disks are replaced one at a time.
COMPLETE_SECONDS = 40.0


class Run:
    """One run of a soak.

    `seed`
        Seed of the faults, the clients and what a power loss leaves on a disk. With
        an odd one, calls need the keys of client accounts.
    `fault_seconds`
        Time during which faults begin.
    """

    def __init__(self, seed, fault_seconds):
        self.seed = seed
        self.fault_seconds = fault_seconds
        self.record = Record()
        has_accounts = bool(seed % 2)
        self.site = Site(
            is_journaled=True, restart_seed=seed, has_accounts=has_accounts
        )
        controls = self.site.addresses(self.site.control_ips)
        entries = self.site.addresses(self.site.entry_ips)
        self.writer = ConfigWriter(
            controls, self.record, self.rng("writer"), has_accounts
        )
        self.reader = ConfigReader(controls, self.record, self.writer)
        self.callers = [
            Caller(
                entries,
                self.record,
                self.rng(f"caller {at}"),
                lasting_key(account) if has_accounts else "",
            )
            for at, account in enumerate(ACCOUNTS)
        ]
        self.strangers = []
        if has_accounts:
            rng = self.rng("stranger")
            self.strangers.append(
                Stranger(entries, self.record, rng, self.writer, self.callers)
            )
        self.faults = Faults(self.site, self.record, self.rng("faults"), self.writer)

    def rng(self, name):
        """Return a random number generator for one part of this run."""
        return random.Random(f"{self.seed}/{name}")

    @property
    def clients(self):
        """All clients of the run."""
        return [self.writer, self.reader, *self.callers, *self.strangers]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.site.close()
        for client in self.clients:
            client.stop()

    def execute(self):
        """Execute the run; return whether every promise was kept."""
        self.site.start()
        wait_for(self.writer.step, what="the first configuration")
        for client in self.clients:
            client.start()
        self.faults.run(self.fault_seconds)
        self.check_recovery()
        for client in self.clients:
            client.stop()
        self.check_end()
        return not self.record.breaches

    def check_recovery(self):
        """Check that calls are served again and that lost replicas are replaced."""
        began = time.monotonic()
        for what, step in (
            ("configuration", self.writer.step),
            ("read", self.reader.step),
            ("job", self.callers[0].submit),
        ):
            is_served = holds_within(step, began + RECOVERY_SECONDS)
            seconds = time.monotonic() - began
            self.record.add_event(
                f"{what} served again after {seconds:.3f} s: {is_served}"
            )
            detail = f"no {what} in {RECOVERY_SECONDS} s"
            self.record.check("served again after the last fault", is_served, detail)
        lost = self.faults.lost
        is_complete = holds_within(
            lambda: self.site.complete_group(lost), began + COMPLETE_SECONDS
        )
        self.record.add_event(
            f"complete after {time.monotonic() - began:.3f} s: {is_complete}"
        )
        detail = f"voters: {self.site.voters()}"
        self.record.check("lost replicas are replaced", is_complete, detail)

    def check_end(self):
        """Check the jobs, tasks, processes and logs at the end of a run."""
        deadline = time.monotonic() + COMPLETE_SECONDS
        for caller in self.callers:
            caller.wait_for_jobs(deadline)
        jobs = [job for caller in self.callers for job in caller.jobs]
        check_tasks(self.record, self.site, jobs)
        check_processes(self.record, self.site)
        check_logs(self.record, self.site)


def holds_within(condition, deadline):
    """Return whether a condition becomes true before a time of the monotonic clock."""
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True
