"""Test power losses of all control replicas under many configuration changes.

Guards against control programs that end at every start with a decode error, so that
there is no quorum, no leader, no configuration and no answer to jobs. A disk that
loses power keeps all synced writes and an arbitrary part of the later ones. The audit
trail, whose segments are synced only every thousand entries, was decoded at the start
as if it were complete.
"""

import random
import time

from soak.caller import Caller
from soak.checks import check_logs, check_processes, check_tasks
from soak.operator import ConfigReader, ConfigWriter
from soak.record import Record
from standin.cluster import wait_for
from standin.site import Site

#: Configuration changes between two losses. Their audit records exceed two pieces
#: of 8 KB, and one change in seven is tens of kilobytes.
CHANGES_BETWEEN_LOSSES = 200

#: Longest time until calls are served again, in seconds: the users' `recovery_s`.
RECOVERY_SECONDS = 12
FINISH_SECONDS = 40

#: Range of the time from a restart to a power loss during recovery, in seconds.
RECOVERY_LOSS_SECONDS = (0.1, 0.6)


class PowerLossHarness:
    """Site under load whose control replicas lose power."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.record = Record()
        self.site = Site(is_journaled=True)
        controls = self.site.addresses(self.site.control_ips)
        entries = self.site.addresses(self.site.entry_ips)
        self.writer = ConfigWriter(controls, self.record, self.rng)
        self.reader = ConfigReader(controls, self.record, self.writer)
        self.caller = Caller(entries, self.record, random.Random(seed))
        self.clients = [self.writer, self.reader, self.caller]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.stopping.set()
        self.site.close()
        for client in self.clients:
            client.stop()

    def start_clients(self):
        self.site.start()
        wait_for(self.writer.step, what="the first configuration")
        for client in self.clients:
            client.start()

    def wait_for_changes(self, count=CHANGES_BETWEEN_LOSSES):
        first = self.writer.ack_count
        try:
            wait_for(lambda: self.writer.ack_count >= first + count, 30, "the changes")
        except TimeoutError as error:
            statuses = {ip: self.site.status(ip) for ip in self.site.control_ips}
            logs = [self.site.process_by_ip[ip].log()[-2000:] for ip in statuses]
            state = (self.writer.sent, self.writer.acked, self.record.breaches)
            raise AssertionError(f"{error}: {state} {statuses} {logs}") from None

    def lose_all_power(self, excluded=()):
        others = [ip for ip in self.site.control_ips if ip not in excluded]
        self.site.kill(*self.site.control_ips)
        self.site.lose_disk(*excluded)
        self.site.lose_power(self.rng, *others)

    def restart(self):
        for ip in self.site.control_ips:
            self.site.restart(ip)

    def has_ended_process(self):
        self.site.note_ended()
        return bool(self.site.ended)

    def wait_for_service(self):
        """Wait until the reader gets the configuration; it checks the content."""
        wait_for(
            lambda: self.has_ended_process() or self.reader.step(),
            RECOVERY_SECONDS,
            "the configuration",
        )
        check_processes(self.record, self.site)
        assert self.record.breaches == []

    def finish_and_check(self):
        for client in self.clients:
            client.stop()
        self.caller.wait_for_jobs(time.monotonic() + FINISH_SECONDS)
        check_tasks(self.record, self.site, self.caller.jobs)
        check_processes(self.record, self.site)
        check_logs(self.record, self.site)
        assert self.record.breaches == []
        assert self.caller.accepted()


def lose_power_repeatedly(seed):
    with PowerLossHarness(seed) as harness:
        harness.start_clients()
        for recovery_losses in (0, 1, 2):
            harness.wait_for_changes()
            harness.lose_all_power()
            for _ in range(recovery_losses):
                harness.restart()
                time.sleep(harness.rng.uniform(*RECOVERY_LOSS_SECONDS))
                harness.lose_all_power()
            harness.restart()
            harness.wait_for_service()
        harness.finish_and_check()


def lose_two_disks_and_power_of_the_others(seed):
    with PowerLossHarness(seed) as harness:
        harness.start_clients()
        wait_for(harness.site.complete_group, what="the group")
        lost = harness.rng.sample(harness.site.control_ips, 2)
        before = harness.site.complete_group()
        gone = {before[ip] for ip in lost}
        harness.wait_for_changes()
        harness.wait_for_changes(1)
        harness.lose_all_power(excluded=lost)
        harness.restart()
        harness.wait_for_service()
        wait_for(
            lambda: harness.site.complete_group(gone), FINISH_SECONDS, "new replicas"
        )
        harness.finish_and_check()


def test_all_controls_lose_power_repeatedly():
    lose_power_repeatedly(1)


def test_two_controls_lose_disks_while_the_others_lose_power():
    lose_two_disks_and_power_of_the_others(1)
