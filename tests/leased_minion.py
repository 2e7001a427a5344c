"""In-memory stub of a minion that runs long-running tasks under a lease."""

import time

import gevent
from gevent.event import Event

from hingepitch.jobs.agents.contact import PollResult, Reply, ReplyKind, RunningRow
from hingepitch.jobs.record import RunResult
from tests.memory_minion import MemoryMinion


class LeasedMinion(MemoryMinion):
    """Ends all its runs once the lease has expired.

    `polls_to_lose`
        Number of the next polls that are lost: no renewal, no reply.
    `renewals_to_lose`
        The same for polls that would renew the lease.
    `stops_may_arrive`
        Event; a stop arrives once it is set.
    `lapsed`, `stopped`
        Runs that ended because the lease expired, and tasks that were stopped.
    """

    def __init__(self):
        super().__init__(task_seconds=600)
        self.until_ms = 0
        self.polls_to_lose = 0
        self.renewals_to_lose = 0
        self.renewals = 0
        self.lapsed = []
        self.stopped = []
        self.stops_may_arrive = Event()
        self.stops_may_arrive.set()
        self.lease_greenlet = None

    def close(self):
        if self.lease_greenlet is not None:
            self.lease_greenlet.kill()
            self.lease_greenlet = None

    def start(self, order, seconds):
        self.renew(order.lease_until_ms)
        return super().start(order, seconds)

    def stop(self, order, seconds):
        if not self.stops_may_arrive.wait(seconds):
            return Reply(ReplyKind.UNSURE)
        if order.task in self.running:
            self.stopped.append(order.task)
        return super().stop(order, seconds)

    def look(self, order, seconds):
        is_renewal = order.lease_until_ms is not None
        if self.polls_to_lose or (is_renewal and self.renewals_to_lose):
            self.polls_to_lose = max(0, self.polls_to_lose - 1)
            self.renewals_to_lose = max(0, self.renewals_to_lose - is_renewal)
            gevent.sleep(seconds)
            return PollResult(Reply(ReplyKind.UNSURE))
        if is_renewal:
            self.renewals += 1
            self.renew(order.lease_until_ms)
        self.ended = [end for end in self.ended if end.sequence > order.ends_recorded]
        if not self.ended and order.wait_ms:
            self.end_listed.wait(order.wait_ms / 1000)
        rows = tuple(
            RunningRow(task, number, "", 100) for task, number in self.running.items()
        )
        return PollResult(self.reply(), rows, tuple(self.ended))

    def renew(self, until_ms):
        """Extend the lease; an earlier `until_ms` does not shorten it."""
        self.until_ms = max(self.until_ms, until_ms)
        if self.lease_greenlet is None:
            self.lease_greenlet = gevent.spawn(self.enforce_lease)

    def enforce_lease(self):
        """End all runs whenever the lease has expired."""
        while True:
            left = self.until_ms / 1000 - time.monotonic()
            if left > 0:
                gevent.sleep(left)
                continue
            for task, number in list(self.running.items()):
                self.lapsed.append((task, number))
                self.end(task, number, RunResult.LAPSED)
            gevent.sleep(0.02)
