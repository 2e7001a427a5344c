"""
hingepitch.entry.limit
~~~~~~~~~~~~~~~~~~~~~~

Bounded waiting for a slot, by priority and deadline; and retry
budgets.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import heapq
import itertools
import random
from collections import deque

import gevent
from gevent.event import AsyncResult

from hingepitch.clock import lease_seconds
from hingepitch.request import Execution, Failure

__all__ = ["RetryBudget", "SlotQueue"]

#: Waiting requests, as a multiple of the slots of the service.
QUEUE_PER_SLOT = 2
MIN_QUEUE = 16

#: Completions by which the drain rate is measured.
RATE_SAMPLES = 64
RATE_WINDOW_SECONDS = 2.0

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 10_000


class RetryBudget:
    """Retries as a share of the requests, so that they never multiply.

    `share`
        Retries allowed for each request. Default: 0.1.
    `burst`
        Retries that may be saved up. Default: 10.
    """

    def __init__(self, share=0.1, burst=10.0):
        self.share = share
        self.burst = burst
        self.tokens = burst

    def note_request(self):
        """Count a first try."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def take(self):
        """Whether a retry may be made now."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Waiter:
    """A request that waits for a slot."""

    def __init__(self, request):
        self.request = request
        self.result = AsyncResult()
        self.is_gone = False


class SlotQueue:
    """The requests of one service that wait for a minion with room.

    `choose`
        Function: returns a minion with room, or None.
    `max_waiting`
        Function: how many requests may wait.
    `seed`
        Seed of the jitter.
    """

    def __init__(self, choose, max_waiting, seed=0):
        self.choose = choose
        self.max_waiting = max_waiting
        self.random = random.Random(seed)
        self.heap = []
        self.waiting = 0
        self.order = itertools.count()
        self.completions = deque(maxlen=RATE_SAMPLES)

    def acquire(self, request, avoid=()):
        """Return a minion for `request`, or a `Failure` at once when shed."""
        chosen = self.choose(avoid) if not self.waiting else None
        if chosen is not None:
            chosen[1].in_flight += 1
            return chosen
        refusal = self.refuse_if_hopeless(request)
        if refusal is not None:
            return refusal
        return self.wait(request)

    def refuse_if_hopeless(self, request):
        """Return a `Failure` if the request cannot be served in time.

        A queue that is full sheds its least urgent request instead, if
        that is less urgent than `request`.
        """
        seconds = request.deadline - lease_seconds()
        ahead = sum(
            1
            for priority, _, _, waiter in self.heap
            if not waiter.is_gone and priority <= request.priority
        )
        rate = self.drain_rate()
        if rate and ahead / rate > seconds:
            return self.overloaded("the queue is longer than the deadline")
        if self.waiting < self.max_waiting():
            return None
        last = max((item for item in self.heap if not item[3].is_gone), default=None)
        if last is None or last[0] <= request.priority:
            return self.overloaded("the queue is full")
        self.leave(last[3])
        last[3].result.set(self.overloaded("shed for more urgent work"))
        return None

    def wait(self, request):
        """Wait in the queue; return a minion or a `Failure`."""
        waiter = Waiter(request)
        item = (request.priority, request.deadline, next(self.order), waiter)
        heapq.heappush(self.heap, item)
        self.waiting += 1
        seconds = max(0.0, request.deadline - lease_seconds())
        try:
            return waiter.result.get(timeout=seconds)
        except gevent.Timeout:
            return self.overloaded("no slot in time")
        finally:
            if not waiter.is_gone:
                self.leave(waiter)

    def leave(self, waiter):
        """Take a waiter out; its place in the heap goes later."""
        waiter.is_gone = True
        self.waiting -= 1

    def release(self, health):
        """Give a slot back, and serve who waits."""
        health.in_flight -= 1
        self.completions.append(lease_seconds())
        self.serve()

    def serve(self):
        """Give free slots to the first waiters."""
        while self.heap:
            if self.heap[0][3].is_gone:
                heapq.heappop(self.heap)
                continue
            chosen = self.choose(())
            if chosen is None:
                return
            waiter = heapq.heappop(self.heap)[3]
            chosen[1].in_flight += 1
            self.leave(waiter)
            waiter.result.set(chosen)

    def drain_rate(self):
        """Return completions a second lately, or 0 if not known."""
        if len(self.completions) < 2:
            return 0.0
        now = lease_seconds()
        recent = [at for at in self.completions if now - at < RATE_WINDOW_SECONDS]
        if len(recent) < 2:
            return 0.0
        return len(recent) / max(0.001, now - recent[0])

    def overloaded(self, detail):
        """Return the `Failure` of a request that is refused."""
        return Failure("overloaded", Execution.NOT_RUN, detail, self.retry_after_ms())

    def retry_after_ms(self):
        """Return when to come back, spread so that a wave does not return."""
        rate = self.drain_rate()
        expected_ms = 1000 * (self.waiting + 1) / rate if rate else 1000
        bounded = min(max(expected_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return int(bounded * self.random.uniform(1.0, 2.0))
