"""
hingepitch.entry.limit
~~~~~~~~~~~~~~~~~~~~~~

Bounded queue for minion slots, ordered by priority and deadline, and
retry budgets.

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

#: Limit of waiting requests for each slot of the service.
QUEUE_PER_SLOT = 2
MIN_QUEUE = 16

#: Latest completions from which the drain rate is computed.
RATE_SAMPLES = 64
RATE_WINDOW_SECONDS = 2.0

MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 10_000


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Without it, retries would multiply the load of overloaded minions.

    `share`
        Tokens that each request adds. Default: 0.1.
    `burst`
        Largest number of tokens. Default: 10.
    """

    def __init__(self, share=0.1, burst=10.0):
        self.share = share
        self.burst = burst
        self.tokens = burst

    def deposit(self):
        """Add the tokens for the first attempt of a request."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_withdraw(self):
        """Consume the token for a retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Waiter:
    """A request that waits for a slot.

    `result`
        Gets the `(vm, health)` of a minion, or a `Failure`.
    """

    def __init__(self, request):
        self.request = request
        self.result = AsyncResult()
        self.is_removed = False


class SlotQueue:
    """Priority queue of one service's requests that wait for a free slot.

    `choose`
        Function of the names of VMs to avoid: returns `(vm, health)` of a
        minion with a free slot, or None.
    `max_waiting`
        Function: the largest number of waiting requests.
    `seed`
        Seed of the jitter of `retry_after_ms`.
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
        """Return `(vm, health)` for `request`, or a `Failure`.

        Waits for a slot at most until the deadline of the request.
        """
        chosen = self.choose(avoid) if not self.waiting else None
        if chosen is not None:
            chosen[1].in_flight += 1
            return chosen
        refusal = self.refuse_if_unservable(request)
        if refusal is not None:
            return refusal
        return self.wait(request)

    def refuse_if_unservable(self, request):
        """Return a `Failure` if the request cannot be served in time.

        If the queue is full and its least urgent request is less urgent than
        `request`, that one is shed instead.
        """
        seconds = request.deadline - lease_seconds()
        ahead = sum(
            1
            for priority, _, _, waiter in self.heap
            if not waiter.is_removed and priority <= request.priority
        )
        rate = self.drain_rate()
        if rate and ahead / rate > seconds:
            return self.overloaded("the expected wait exceeds the deadline")
        if self.waiting < self.max_waiting():
            return None
        least_urgent = max(
            (item for item in self.heap if not item[3].is_removed), default=None
        )
        if least_urgent is None or least_urgent[0] <= request.priority:
            return self.overloaded("the queue is full")
        self.remove_waiter(least_urgent[3])
        least_urgent[3].result.set(self.overloaded("shed for a more urgent request"))
        return None

    def wait(self, request):
        """Wait in the queue; return `(vm, health)` or a `Failure`."""
        waiter = Waiter(request)
        item = (request.priority, request.deadline, next(self.order), waiter)
        heapq.heappush(self.heap, item)
        self.waiting += 1
        seconds = max(0.0, request.deadline - lease_seconds())
        try:
            return waiter.result.get(timeout=seconds)
        except gevent.Timeout:
            return self.overloaded("no slot became free before the deadline")
        finally:
            if not waiter.is_removed:
                self.remove_waiter(waiter)

    def remove_waiter(self, waiter):
        """Remove a waiter; `serve` drops its heap item later."""
        waiter.is_removed = True
        self.waiting -= 1

    def release(self, health):
        """Release a slot and serve the queue."""
        health.in_flight -= 1
        self.completions.append(lease_seconds())
        self.serve()

    def serve(self):
        """Give free slots to the waiters, most urgent first."""
        while self.heap:
            if self.heap[0][3].is_removed:
                heapq.heappop(self.heap)
                continue
            chosen = self.choose(())
            if chosen is None:
                return
            waiter = heapq.heappop(self.heap)[3]
            chosen[1].in_flight += 1
            self.remove_waiter(waiter)
            waiter.result.set(chosen)

    def drain_rate(self):
        """Return the recent completions per second, or 0 if unknown."""
        if len(self.completions) < 2:
            return 0.0
        now = lease_seconds()
        recent = [at for at in self.completions if now - at < RATE_WINDOW_SECONDS]
        if len(recent) < 2:
            return 0.0
        return len(recent) / max(0.001, now - recent[0])

    def overloaded(self, detail):
        """Return the `Failure` of a request refused for lack of slots."""
        return Failure("overloaded", Execution.NOT_RUN, detail, self.retry_after_ms())

    def retry_after_ms(self):
        """Return the retry delay in ms, with jitter to spread the callers' retries."""
        rate = self.drain_rate()
        expected_ms = 1000 * (self.waiting + 1) / rate if rate else 1000
        bounded = min(max(expected_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return int(bounded * self.random.uniform(1.0, 2.0))
