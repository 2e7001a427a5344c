"""A minion in memory that holds tasks that last, under leases."""

import time

import gevent
from gevent.event import Event

from hingepitch.jobs.contact import PollResult, Reply, ReplyKind, RunningRow
from hingepitch.jobs.record import RunResult
from tests.memory_minion import MemoryMinion


class LeasedMinion(MemoryMinion):
    """Ends all that runs once its lease is over, whoever asks.

    `looks_to_lose`
        So many of the next looks never arrive: no renewal, no answer.
    `renewals_to_lose`
        The same for looks that would renew the lease.
    `stops_may_go`
        A stop waits for this event on its way.
    `lapsed`, `stopped`
        What ended because its lease was over, and what was stopped.
    """

    def __init__(self):
        super().__init__(task_seconds=600)
        self.until_ms = 0
        self.looks_to_lose = 0
        self.renewals_to_lose = 0
        self.renewals = 0
        self.lapsed = []
        self.stopped = []
        self.stops_may_go = Event()
        self.stops_may_go.set()
        self.keeper = None

    def close(self):
        if self.keeper is not None:
            self.keeper.kill()
            self.keeper = None

    def start(self, order, seconds):
        self.renew(order.lease_until_ms)
        return super().start(order, seconds)

    def stop(self, order, seconds):
        if not self.stops_may_go.wait(seconds):
            return Reply(ReplyKind.UNSURE)
        if order.task in self.running:
            self.stopped.append(order.task)
        return super().stop(order, seconds)

    def look(self, order, seconds):
        is_renewal = order.lease_until_ms is not None
        if self.looks_to_lose or (is_renewal and self.renewals_to_lose):
            self.looks_to_lose = max(0, self.looks_to_lose - 1)
            self.renewals_to_lose = max(0, self.renewals_to_lose - is_renewal)
            gevent.sleep(seconds)
            return PollResult(Reply(ReplyKind.UNSURE))
        if is_renewal:
            self.renewals += 1
            self.renew(order.lease_until_ms)
        self.ended = [end for end in self.ended if end.sequence > order.ends_recorded]
        if not self.ended and order.wait_ms:
            self.news.wait(order.wait_ms / 1000)
        rows = tuple(
            RunningRow(task, number, "", 100) for task, number in self.running.items()
        )
        return PollResult(self.reply(), rows, tuple(self.ended))

    def renew(self, until_ms):
        """Take a lease; it is never shortened."""
        self.until_ms = max(self.until_ms, until_ms)
        if self.keeper is None:
            self.keeper = gevent.spawn(self.keep_lease)

    def keep_lease(self):
        """End what runs when the lease is over."""
        while True:
            left = self.until_ms / 1000 - time.monotonic()
            if left > 0:
                gevent.sleep(left)
                continue
            for task, number in list(self.running.items()):
                self.lapsed.append((task, number))
                self.end(task, number, RunResult.LAPSED)
            gevent.sleep(0.02)
