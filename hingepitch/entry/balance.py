"""
hingepitch.entry.balance
~~~~~~~~~~~~~~~~~~~~~~~~

Load balancing over minions: adaptive concurrency limits, outlier
ejection, slow start, preference for the entry's own hall.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
from dataclasses import dataclass, field

from hingepitch.clock import lease_seconds
from hingepitch.model.record import VmLifecycle

__all__ = ["Balancer", "MinionHealth"]

#: Consecutive failures after which a minion is ejected.
EJECT_AFTER = 3
FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 20.0

#: If fewer than this fraction of the minions are not ejected, ejections are
#: ignored.
PANIC_FRACTION = 0.5

#: Minions of other halls are used too when the requests in flight reach this
#: fraction of the own hall's limits.
LOADED_FRACTION = 0.8

#: Weight of a new result in the moving average of the success rate.
SUCCESS_WEIGHT = 0.1

#: Limit of requests in flight when an ejection ends.
SLOW_START_LIMIT = 1
LIMIT_DECREASE_FACTOR = 0.7


@dataclass(slots=True)
class MinionHealth:
    """Health of one minion of one service, as observed by this entry.

    `limit`
        Adaptive limit of requests in flight; at most the declared slots.
    `success`
        Success rate, as an exponentially weighted moving average.
    """

    limit: float
    in_flight: int = 0
    success: float = 1.0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now):
        """Whether the minion is ejected at `now`."""
        return now < self.ejected_until

    def has_free_slot(self):
        """Whether the limit allows another request."""
        return self.in_flight < max(1, int(self.limit))

    def cost(self):
        """Return the cost of choosing this minion; lower is better.

        The division by the success rate keeps a minion that fails every
        request quickly, and so has few in flight, from attracting traffic.
        """
        return (self.in_flight + 1) / max(0.02, self.success)

    def record_success(self, slots):
        """Record a successful request and raise the limit."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.success += SUCCESS_WEIGHT * (1 - self.success)
        self.limit = min(slots, self.limit + 1 / max(1.0, self.limit))

    def record_failure(self, now):
        """Record a failed request and lower the limit; eject after `EJECT_AFTER`."""
        self.consecutive_failures += 1
        self.success -= SUCCESS_WEIGHT * self.success
        self.limit = max(1.0, self.limit * LIMIT_DECREASE_FACTOR)
        if self.consecutive_failures >= EJECT_AFTER:
            self.eject(now)

    def eject(self, now):
        """Eject the minion with exponential backoff; it returns with slow start."""
        doubled = FIRST_EJECTION_SECONDS * 2**self.consecutive_ejections
        self.ejected_until = now + min(doubled, MAX_EJECTION_SECONDS)
        self.consecutive_ejections = min(self.consecutive_ejections + 1, 16)
        self.consecutive_failures = EJECT_AFTER - 1
        self.limit = SLOW_START_LIMIT


@dataclass(slots=True)
class ServiceHealth:
    """Health of the minions of one service."""

    health_by_vm: dict[str, MinionHealth] = field(default_factory=dict)


class Balancer:
    """Chooses minions for requests.

    `state`
        Function: returns the replicated state.
    `hall`
        The hall of this entry.
    `is_live_by_platform`
        Function of a VM's name: False if the platform lists the VM as leaving.
        True does not make a VM live.
    `seed`
        Seed of the random choices.
    """

    def __init__(self, state, hall, is_live_by_platform, seed):
        self.state = state
        self.hall = hall
        self.is_live_by_platform = is_live_by_platform
        self.random = random.Random(seed)
        self.health_by_service = {}
        self.live_by_service = {}

    def health(self, service, vm_name):
        """Return the `MinionHealth` of one minion, created on first use."""
        service_health = self.health_by_service.setdefault(
            service.name, ServiceHealth()
        )
        health = service_health.health_by_vm.get(vm_name)
        if health is None:
            health = service_health.health_by_vm[vm_name] = MinionHealth(
                float(service.slots)
            )
        return health

    def live_minions(self, service):
        """Return `(vm, health)` of the live VMs of a service, cached by version."""
        state = self.state()
        version, live = self.live_by_service.get(service.name, (-1, ()))
        if version != state.version:
            live = tuple(
                (vm, self.health(service, vm.name))
                for vm in state.minions(service)
                if vm.life is VmLifecycle.LIVE
            )
            self.live_by_service[service.name] = (state.version, live)
        return live

    def candidates(self, service, avoid=()):
        """Yield `(vm, health)` of the minions that may get a request."""
        for vm, health in self.live_minions(service):
            if vm.name not in avoid and self.is_live_by_platform(vm.name):
                yield vm, health

    def choose(self, service, avoid=()):
        """Return `(vm, health)` of a minion with a free slot, or None.

        The caller must count the request in `health.in_flight`.
        """
        live = list(self.candidates(service, avoid))
        now = lease_seconds()
        available = [pair for pair in live if not pair[1].is_ejected(now)]
        if len(available) < len(live) * PANIC_FRACTION:
            available = live
        free = [pair for pair in available if pair[1].has_free_slot()]
        if not free:
            return None
        return self.choose_cheaper_of_two(self.prefer_own_hall(free))

    def prefer_own_hall(self, free):
        """Return the pairs of the own hall unless it is loaded, else all pairs."""
        own_hall = [pair for pair in free if pair[0].hall == self.hall]
        in_flight = sum(health.in_flight for _, health in own_hall)
        limit = sum(health.limit for _, health in own_hall)
        return own_hall if own_hall and in_flight < limit * LOADED_FRACTION else free

    def choose_cheaper_of_two(self, pairs):
        """Return the cheaper of two random pairs (power of two choices)."""
        first = self.random.choice(pairs)
        second = self.random.choice(pairs)
        return min(first, second, key=lambda pair: pair[1].cost())

    def has_minion(self, service):
        """Whether any minion may get requests of `service`."""
        return any(True for _ in self.candidates(service))

    def in_flight_by_vm(self):
        """Return the requests in flight by VM, for VMs with a `Permit` to leave."""
        counts = {}
        for service_health in self.health_by_service.values():
            for vm_name, health in service_health.health_by_vm.items():
                if health.in_flight:
                    counts[vm_name] = counts.get(vm_name, 0) + health.in_flight
        permits = self.state().by_kind["permit"]
        return {name: count for name, count in counts.items() if name in permits}

    def drop_removed_vms(self):
        """Drop the health of idle minions whose VM was removed."""
        vms = self.state().by_kind["vm"]
        for service_health in self.health_by_service.values():
            for vm_name in list(service_health.health_by_vm):
                health = service_health.health_by_vm[vm_name]
                if vm_name not in vms and not health.in_flight:
                    del service_health.health_by_vm[vm_name]
        self.live_by_service.clear()
