"""
hingepitch.entry.proxy
~~~~~~~~~~~~~~~~~~~~~~

Admission, retries and forwarding of callers' requests.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import replace

from hingepitch.clock import lease_seconds
from hingepitch.entry.limit import MIN_QUEUE, QUEUE_PER_SLOT, RetryBudget, SlotQueue
from hingepitch.exchange import MinionConnections
from hingepitch.model.record import VmLifecycle
from hingepitch.request import Answer, Execution, Failure

__all__ = ["Proxy"]

MAX_TRIES = 3
NO_LEASE_RETRY_MS = 1000
NO_MINION_RETRY_MS = 1000


class ServiceContext:
    """State of one service at an entry: its queue and retry budget."""

    def __init__(self, proxy, name):
        self.proxy = proxy
        self.name = name
        self.queue = SlotQueue(self.choose, self.max_waiting, name)
        self.retries = RetryBudget()
        self.in_flight = 0

    @property
    def service(self):
        """The current declaration of the service, or None."""
        return self.proxy.follower.state.get("service", self.name)

    def choose(self, avoid):
        """Return `(vm, health)` of a minion with a free slot, or None."""
        service = self.service
        if service is None or not self.proxy.follower.has_lease():
            return None
        return self.proxy.balancer.choose(service, avoid)

    def max_waiting(self):
        """Return the largest number of requests that may wait for a slot."""
        service = self.service
        if service is None:
            return 0
        slots = sum(
            service.slots
            for vm in self.proxy.follower.state.minions(service)
            if vm.life is VmLifecycle.LIVE
        )
        return max(MIN_QUEUE, slots * QUEUE_PER_SLOT)


class Proxy:
    """Forwards callers' requests to minions.

    `follower`
        A `Follower`: the replicated state and the lease.
    `balancer`
        A `Balancer`: chooses minions.
    `claimer`
        A `Claimer`: records requests that are not repeatable.
    `metrics`
        Counts the retries.
    """

    def __init__(self, follower, balancer, claimer, metrics):
        self.follower = follower
        self.balancer = balancer
        self.claimer = claimer
        self.metrics = metrics
        self.context_by_service = {}
        self.connections_by_address = {}
        self.in_flight = 0

    def context(self, service_name):
        """Return the `ServiceContext` of a service, created on first use."""
        context = self.context_by_service.get(service_name)
        if context is None:
            context = self.context_by_service[service_name] = ServiceContext(
                self, service_name
            )
        return context

    def handle(self, request):
        """Return the `Answer` to `request`, or a `Failure`."""
        service = self.follower.state.get("service", request.service)
        refusal = self.check_admission(service, request)
        if refusal is not None:
            return refusal
        context = self.context(service.name)
        context.in_flight += 1
        self.in_flight += 1
        try:
            if service.repeatable:
                return self.send_repeatable(context, request)
            if request.key:
                return self.send_claimed(context, request)
            return self.send_once(context, request)
        finally:
            context.in_flight -= 1
            self.in_flight -= 1

    def check_admission(self, service, request):
        """Return the `Failure` of a request that is not admitted, or None."""
        if not self.follower.has_lease():
            return Failure("no_lease", Execution.NOT_RUN, "", NO_LEASE_RETRY_MS)
        if service is None:
            return Failure("unknown_service", Execution.NOT_RUN, request.service)
        if len(request.body) > service.max_body_bytes:
            return Failure("body_too_large", Execution.NOT_RUN)
        context = self.context(service.name)
        if context.in_flight >= service.connections:
            return context.queue.overloaded("all connections are in use")
        if not self.balancer.has_minion(service):
            return Failure("no_minion", Execution.NOT_RUN, "", NO_MINION_RETRY_MS)
        return None

    def send_repeatable(self, context, request):
        """Send a request; retry it on other minions within the retry budget."""
        context.retries.deposit()
        avoid = set()
        result = self.send_avoiding(context, request, avoid)
        for _ in range(MAX_TRIES - 1):
            if (
                not self.is_worth_retry(result, request)
                or not context.retries.try_withdraw()
            ):
                return result
            retried = self.send_avoiding(context, request, avoid)
            self.metrics.count("retries", "Requests tried again.", service=context.name)
            result = self.choose_result(result, retried)
        return result

    def is_worth_retry(self, result, request):
        """Whether the failure is retryable and the deadline has not passed."""
        if lease_seconds() >= request.deadline:
            return False
        if isinstance(result, Answer):
            return result.status >= 500
        return result.code == "minion_failed"

    def choose_result(self, first, second):
        """Return the result to pass on after a retry.

        A refused retry must not hide that the first attempt may have run.
        """
        if isinstance(second, Failure) and isinstance(first, Answer):
            return first
        if isinstance(second, Failure) and first.run is Execution.UNKNOWN:
            return replace(second, run=Execution.UNKNOWN)
        return second

    def send_avoiding(self, context, request, avoid):
        """Send a request to a minion not in `avoid`; add its VM to `avoid`."""
        chosen = context.queue.acquire(request, avoid)
        if isinstance(chosen, Failure):
            return chosen
        avoid.add(chosen[0].name)
        return self.send_to(context, chosen, request)

    def send_once(self, context, request):
        """Send a request that is not repeatable and has no key.

        Another minion is tried only if no byte was sent.
        """
        avoid = set()
        result = self.send_avoiding(context, request, avoid)
        while is_unsent(result) and len(avoid) < MAX_TRIES:
            result = self.send_avoiding(context, request, avoid)
        return result

    def send_claimed(self, context, request):
        """Claim a request with a key, send it and record its answer."""
        claim = self.claimer.open(request)
        if isinstance(claim, (Answer, Failure)):
            return claim
        result = self.send_once(context, request)
        if isinstance(result, Answer):
            self.claimer.close(claim, result, request.deadline - lease_seconds())
        elif result.run is Execution.NOT_RUN:
            self.claimer.release(claim)
        return result

    def send_to(self, context, chosen, request):
        """Send a request to the chosen minion and record the result."""
        vm, health = chosen
        service = context.service
        address = (vm.ip, service.port)
        connections = self.connections_by_address.get(address)
        if connections is None:
            connections = MinionConnections(address)
            self.connections_by_address[address] = connections
        try:
            if not self.follower.has_lease():
                return Failure("no_lease", Execution.NOT_RUN, "", NO_LEASE_RETRY_MS)
            result = connections.exchange(request)
            self.record_result(health, result, service)
            return result
        finally:
            context.queue.release(health)

    def record_result(self, health, result, service):
        """Update the health of a minion by the result of one attempt."""
        if isinstance(result, Answer) and result.status < 500:
            health.record_success(service.slots)
        else:
            health.record_failure(lease_seconds())


def is_unsent(result):
    """Whether an attempt failed before a byte was handed to a socket."""
    return (
        isinstance(result, Failure)
        and result.run is Execution.NOT_RUN
        and result.code == "minion_failed"
    )
