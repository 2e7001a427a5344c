"""
hingepitch.entry.balance
~~~~~~~~~~~~~~~~~~~~~~~~

Choice of a minion: limits that adapt, ejection of outliers, slow
start, own hall first.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import random
from dataclasses import dataclass, field

from hingepitch.clock import lease_seconds
from hingepitch.model.record import VmLifecycle

__all__ = ["Balancer", "MinionHealth"]

#: Failures in a row after which a minion is left out for a while.
EJECT_AFTER = 3
FIRST_EJECTION_SECONDS = 0.5
LONGEST_EJECTION_SECONDS = 20.0

#: With a larger part of the minions ejected, ejection is ignored.
PANIC_PART = 0.5

#: Another hall is used when the own hall has less than this part free.
LOADED_PART = 0.8

SUCCESS_WEIGHT = 0.1
SLOW_START_LIMIT = 1
SHRINK = 0.7


@dataclass(slots=True)
class MinionHealth:
    """What an entry has seen of one minion of one service.

    `limit`
        Requests in flight that it seems to bear; at most the declared slots.
    `success`
        Share of good answers, weighted to the last ones.
    """

    limit: float
    in_flight: int = 0
    success: float = 1.0
    failures_in_row: int = 0
    ejections_in_row: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now):
        """Whether the minion is left out at `now`."""
        return now < self.ejected_until

    def has_room(self):
        """Whether one more request may be sent."""
        return self.in_flight < max(1, int(self.limit))

    def cost(self):
        """Return a number that is higher for worse choices.

        Dividing by the share of good answers keeps a minion that fails
        everything fast from attracting traffic by its empty queue.
        """
        return (self.in_flight + 1) / max(0.02, self.success)

    def note_success(self, slots):
        """Learn from a good answer."""
        self.failures_in_row = 0
        self.ejections_in_row = 0
        self.success += SUCCESS_WEIGHT * (1 - self.success)
        self.limit = min(slots, self.limit + 1 / max(1.0, self.limit))

    def note_failure(self, now):
        """Learn from a failed request."""
        self.failures_in_row += 1
        self.success -= SUCCESS_WEIGHT * self.success
        self.limit = max(1.0, self.limit * SHRINK)
        if self.failures_in_row >= EJECT_AFTER:
            self.eject(now)

    def eject(self, now):
        """Leave the minion out, longer each time; then start slowly."""
        doubled = FIRST_EJECTION_SECONDS * 2**self.ejections_in_row
        self.ejected_until = now + min(doubled, LONGEST_EJECTION_SECONDS)
        self.ejections_in_row = min(self.ejections_in_row + 1, 16)
        self.failures_in_row = EJECT_AFTER - 1
        self.limit = SLOW_START_LIMIT


@dataclass(slots=True)
class ServiceHealth:
    """The minions of one service."""

    health_by_vm: dict[str, MinionHealth] = field(default_factory=dict)


class Balancer:
    """Chooses minions for requests.

    `state`
        Function: the followed state.
    `hall`
        The hall of this entry.
    `is_live_by_platform`
        Function from a VM's name: False if the platform's list says that
        the VM is leaving. It can only take VMs away.
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
        """Return what is known of one minion."""
        known = self.health_by_service.setdefault(service.name, ServiceHealth())
        health = known.health_by_vm.get(vm_name)
        if health is None:
            health = known.health_by_vm[vm_name] = MinionHealth(float(service.slots))
        return health

    def live_minions(self, service):
        """Return the live VMs of a service, by the state as it is now."""
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
        """Yield `(vm, health)` of the minions that may take a request."""
        for vm, health in self.live_minions(service):
            if vm.name not in avoid and self.is_live_by_platform(vm.name):
                yield vm, health

    def choose(self, service, avoid=()):
        """Return `(vm, health)` of a minion with room, or None.

        The caller must count the request in `health.in_flight`.
        """
        live = list(self.candidates(service, avoid))
        now = lease_seconds()
        good = [pair for pair in live if not pair[1].is_ejected(now)]
        if len(good) < len(live) * PANIC_PART:
            good = live
        free = [pair for pair in good if pair[1].has_room()]
        if not free:
            return None
        return self.better_of_two(self.own_hall_first(free))

    def own_hall_first(self, free):
        """Return the ones in the own hall, unless they are loaded."""
        near = [pair for pair in free if pair[0].hall == self.hall]
        in_flight = sum(health.in_flight for _, health in near)
        limit = sum(health.limit for _, health in near)
        return near if near and in_flight < limit * LOADED_PART else free

    def better_of_two(self, pairs):
        """Return the cheaper of two random ones."""
        first = self.random.choice(pairs)
        second = self.random.choice(pairs)
        return min(first, second, key=lambda pair: pair[1].cost())

    def has_minion(self, service):
        """Whether any minion may take requests of `service`."""
        return any(True for _ in self.candidates(service))

    def in_flight_by_vm(self):
        """Return the requests in flight to VMs that are leaving."""
        counts = {}
        for known in self.health_by_service.values():
            for vm_name, health in known.health_by_vm.items():
                if health.in_flight:
                    counts[vm_name] = counts.get(vm_name, 0) + health.in_flight
        down = self.state().by_kind["permit"]
        return {name: count for name, count in counts.items() if name in down}

    def forget_removed(self):
        """Forget the minions whose VM or service is gone."""
        vms = self.state().by_kind["vm"]
        for known in self.health_by_service.values():
            for vm_name in list(known.health_by_vm):
                health = known.health_by_vm[vm_name]
                if vm_name not in vms and not health.in_flight:
                    del known.health_by_vm[vm_name]
        self.live_by_service.clear()
