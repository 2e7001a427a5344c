"""
hingepitch.entry.proxy
~~~~~~~~~~~~~~~~~~~~~~

The way of a request through an entry.

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


class ServiceDesk:
    """What an entry keeps for one service: its queue and retry budget."""

    def __init__(self, proxy, name):
        self.proxy = proxy
        self.name = name
        self.queue = SlotQueue(self.choose, self.max_waiting, name)
        self.retries = RetryBudget()
        self.in_flight = 0

    @property
    def service(self):
        """The service as it is declared now, or None."""
        return self.proxy.follower.state.get("service", self.name)

    def choose(self, avoid):
        """Return a minion with room, or None."""
        service = self.service
        if service is None or not self.proxy.follower.has_lease():
            return None
        return self.proxy.balancer.choose(service, avoid)

    def max_waiting(self):
        """Return how many requests may wait for a slot."""
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
    """Carries callers' requests to minions.

    `follower`, `balancer`, `claimer`
        The parts it uses.
    `metrics`
        Counts what became of the requests.
    """

    def __init__(self, follower, balancer, claimer, metrics):
        self.follower = follower
        self.balancer = balancer
        self.claimer = claimer
        self.metrics = metrics
        self.desk_by_service = {}
        self.connections_by_address = {}
        self.in_flight = 0

    def desk(self, service_name):
        """Return the desk of a service."""
        desk = self.desk_by_service.get(service_name)
        if desk is None:
            desk = self.desk_by_service[service_name] = ServiceDesk(self, service_name)
        return desk

    def handle(self, request):
        """Return the `Answer` to `request`, or a `Failure`."""
        service = self.follower.state.get("service", request.service)
        refusal = self.refusal(service, request)
        if refusal is not None:
            return refusal
        desk = self.desk(service.name)
        desk.in_flight += 1
        self.in_flight += 1
        try:
            if service.repeatable:
                return self.send_repeatable(desk, request)
            if request.key:
                return self.send_claimed(desk, request)
            return self.send_once(desk, request)
        finally:
            desk.in_flight -= 1
            self.in_flight -= 1

    def refusal(self, service, request):
        """Return a `Failure` for a request that is not even begun, or None."""
        if not self.follower.has_lease():
            return Failure("no_lease", Execution.NOT_RUN, "", NO_LEASE_RETRY_MS)
        if service is None:
            return Failure("unknown_service", Execution.NOT_RUN, request.service)
        if len(request.body) > service.max_body_bytes:
            return Failure("body_too_large", Execution.NOT_RUN)
        desk = self.desk(service.name)
        if desk.in_flight >= service.connections:
            return desk.queue.overloaded("all connections are in use")
        if not self.balancer.has_minion(service):
            return Failure("no_minion", Execution.NOT_RUN, "", NO_MINION_RETRY_MS)
        return None

    def send_repeatable(self, desk, request):
        """Send a request, and again elsewhere if it fails and may be."""
        desk.retries.note_request()
        avoid = set()
        result = self.send_avoiding(desk, request, avoid)
        for _ in range(MAX_TRIES - 1):
            if not self.is_worth_retry(result, request) or not desk.retries.take():
                return result
            retried = self.send_avoiding(desk, request, avoid)
            self.metrics.count("retries", "Requests tried again.", service=desk.name)
            result = self.better(result, retried)
        return result

    def is_worth_retry(self, result, request):
        """Whether another minion might do better in time."""
        if lease_seconds() >= request.deadline:
            return False
        if isinstance(result, Answer):
            return result.status >= 500
        return result.code == "minion_failed"

    def better(self, first, second):
        """Return the result to pass on after a retry.

        What ran stays run: a refusal of the retry must not hide that the
        first try reached a minion.
        """
        if isinstance(second, Failure) and isinstance(first, Answer):
            return first
        if isinstance(second, Failure) and first.run is Execution.UNKNOWN:
            return replace(second, run=Execution.UNKNOWN)
        return second

    def send_avoiding(self, desk, request, avoid):
        """Send a request to a minion not in `avoid`, and add it there."""
        chosen = desk.queue.acquire(request, avoid)
        if isinstance(chosen, Failure):
            return chosen
        avoid.add(chosen[0].name)
        return self.send_to(desk, chosen, request)

    def send_once(self, desk, request):
        """Send a request that may not be repeated and has no key."""
        avoid = set()
        result = self.send_avoiding(desk, request, avoid)
        while is_unsent(result) and len(avoid) < MAX_TRIES:
            result = self.send_avoiding(desk, request, avoid)
        return result

    def send_claimed(self, desk, request):
        """Send a request with a key: claimed first, recorded afterwards."""
        claim = self.claimer.open(request)
        if isinstance(claim, (Answer, Failure)):
            return claim
        result = self.send_once(desk, request)
        if isinstance(result, Answer):
            self.claimer.close(claim, result, request.deadline - lease_seconds())
        elif result.run is Execution.NOT_RUN:
            self.claimer.release(claim)
        return result

    def send_to(self, desk, chosen, request):
        """Send a request to the chosen minion; learn from the result."""
        vm, health = chosen
        service = desk.service
        address = (vm.ip, service.port)
        connections = self.connections_by_address.get(address)
        if connections is None:
            connections = MinionConnections(address)
            self.connections_by_address[address] = connections
        try:
            if not self.follower.has_lease():
                return Failure("no_lease", Execution.NOT_RUN, "", NO_LEASE_RETRY_MS)
            result = connections.exchange(request)
            self.learn(health, result, service)
            return result
        finally:
            desk.queue.release(health)

    def learn(self, health, result, service):
        """Learn from the result of one try."""
        if isinstance(result, Answer) and result.status < 500:
            health.note_success(service.slots)
        else:
            health.note_failure(lease_seconds())


def is_unsent(result):
    """Whether a try failed before a byte was handed to a socket."""
    return (
        isinstance(result, Failure)
        and result.run is Execution.NOT_RUN
        and result.code == "minion_failed"
    )
