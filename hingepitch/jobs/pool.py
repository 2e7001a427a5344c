"""
hingepitch.jobs.pool
~~~~~~~~~~~~~~~~~~~~

Plans which VMs move to another pool: pure functions over the load of the pools.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import itertools
from dataclasses import dataclass, field
from math import ceil

__all__ = ["IdleVm", "Move", "PoolTerms", "PoolView", "plan_moves", "wanted_minions"]


@dataclass(frozen=True, slots=True)
class PoolTerms:
    """Thresholds for moving VMs between pools; times in seconds.

    `target_utilization`
        Target utilization: part of a pool's capacity that may be in use before
        the pool wants more VMs.
    `late_part`
        Part of the waiting tasks of late jobs that counts as demand. Such jobs
        are worth little, so their tasks run one after another in the capacity
        of the others. With all of them counted, pools would grow to three times
        the size that they use after each burst.
    `catch_up_seconds`
        Time within which a pool is to have done what queues up while VMs move to
        it. A job can wait for 1.2 to 3 s and still be in time.
    `floor`
        Smallest number of minions of a pool with queues.
    `idle_seconds`
        A VM that is idle for longer moves to a spare pool. A move there and back
        costs as much as keeping a VM for about 2.3 s, and an idle pool mostly
        stays idle for longer. With 1.5 s, pools would serve 2 % more of the work
        of the worst two seconds but cost 5 % more VM-seconds.
    `lend_seconds`
        A VM that is idle for longer may move to a pool that wants more VMs.
    """

    target_utilization: float = 0.85
    late_part: float = 0.25
    catch_up_seconds: float = 3.0
    floor: int = 2
    idle_seconds: float = 0.5
    lend_seconds: float = 0.05


@dataclass(frozen=True, slots=True)
class IdleVm:
    """A VM without runs, which may move.

    `kind`
        The VM's kind, which a pool may not accept.
    `idle_seconds`
        How long it has been idle.
    `is_cordoned`
        Whether its hall is cordoned; it may move to a spare pool only.
    """

    vm: str
    kind: str
    idle_seconds: float
    is_cordoned: bool = False


@dataclass(slots=True)
class PoolView:
    """State of one pool for a move decision.

    `wanted`
        Number of minions that the pool wants.
    `present`
        Number of minions that it has, moves in progress included. Those in cordoned
        halls do not count.
    `cordoned`
        Number of its idle VMs in cordoned halls.
    `is_spare`
        Whether its VMs are off and cost nothing.
    `kinds`
        Kinds of its VMs; if empty, the pool accepts any kind.
    `idle`
        Its idle VMs.
    """

    name: str
    wanted: int = 0
    present: int = 0
    cordoned: int = 0
    is_spare: bool = False
    kinds: frozenset[str] = frozenset()
    idle: list[IdleVm] = field(default_factory=list)

    @property
    def surplus(self):
        """Number of VMs that the pool can give away."""
        if self.is_spare:
            return len(self.idle)
        return max(0, self.present - self.wanted)

    @property
    def cordoned_surplus(self):
        """Number of VMs in cordoned halls that the pool can give to a spare pool."""
        return max(0, min(self.cordoned, self.present + self.cordoned - self.wanted))

    def may_power_off(self, is_cordoned):
        """Whether a VM, in a cordoned hall or elsewhere, may go to a spare pool."""
        return (self.cordoned_surplus if is_cordoned else self.surplus) > 0


@dataclass(frozen=True, slots=True)
class Move:
    """The move of one VM to another pool."""

    vm: str
    pool: str


def wanted_minions(load, terms, arriving=0, move_seconds=0.0):
    """Return how many minions a pool wants.

    `load`
        The `PoolLoad` of the pool.
    `arriving`
        Millicores needed to keep up with the arriving work.
    `move_seconds`
        Time until a VM that is ordered now is there. What arrives beyond the room
        meanwhile queues up.
    """
    spared = 1 - terms.late_part
    present = load.running + load.waiting - spared * load.waiting_late
    expected = load.lasting + arriving
    backlog = max(0, expected - load.room) * move_seconds
    expected += backlog / terms.catch_up_seconds
    # The mean VM of the pool; a pool may have minions in cordoned halls only.
    minions = load.minions + load.cordoned
    parts = (
        (max(present, expected), load.room + load.cordoned_room),
        (
            load.running_mb + load.waiting_mb - spared * load.waiting_late_mb,
            load.room_mb + load.cordoned_room_mb,
        ),
    )
    needed = [
        used / terms.target_utilization * minions / room for used, room in parts if room
    ]
    return max(terms.floor, load.spread, *(ceil(one) for one in needed))


def plan_moves(pools, terms, impossible=frozenset(), may_give_back=True):
    """Yield the moves to make now, for the pools most short of VMs first.

    `pools`
        The `PoolView` of each pool, updated by the planned moves.
    `impossible`
        Pairs of VM kind and pool that the platform has refused.
    `may_give_back`
        Whether idle VMs may move to a spare pool. Until work has arrived, the
        configured pool sizes are all that is known of the demand.
    """
    for pool in sorted(pools, key=lambda one: one.present - one.wanted):
        yield from moves_into(pool, pools, terms, impossible)
    spare = next((pool for pool in pools if pool.is_spare), None)
    if spare is not None and may_give_back:
        yield from moves_to_spare(spare, pools, terms, impossible)


def moves_into(pool, pools, terms, impossible):
    """Yield moves into a pool that wants more VMs, from spare pools first."""
    if pool.is_spare:
        return
    donors = [one for one in pools if one is not pool]
    donors.sort(key=lambda one: (not one.is_spare, -one.surplus))
    for donor in donors:
        while pool.present < pool.wanted and donor.surplus:
            idle = pick_idle(donor, pool, terms.lend_seconds, impossible)
            if idle is None:
                break
            remove_idle(donor, idle)
            pool.present += 1
            yield Move(idle.vm, pool.name)


def moves_to_spare(spare, pools, terms, impossible):
    """Yield moves of long-idle VMs to the pool `spare`.

    Those in cordoned halls go first. They stay while their pool wants more VMs than it
    has elsewhere, so that they are of use at once when their hall is uncordoned.
    """
    lenders = [pool for pool in pools if not pool.is_spare]
    for pool, is_cordoned in itertools.product(lenders, (True, False)):
        while pool.may_power_off(is_cordoned):
            idle = pick_idle(pool, spare, terms.idle_seconds, impossible, is_cordoned)
            if idle is None:
                break
            remove_idle(pool, idle)
            yield Move(idle.vm, spare.name)


def pick_idle(donor, pool, seconds, impossible, is_cordoned=False):
    """Return the longest idle VM of `donor` that may move to `pool`, or None.

    VMs of a spare pool need not be idle for `seconds`. Either only VMs of cordoned
    halls are considered (`is_cordoned`), or only others.
    """
    fitting = [
        idle
        for idle in donor.idle
        if idle.is_cordoned == is_cordoned
        and (donor.is_spare or idle.idle_seconds >= seconds)
        and (idle.kind, pool.name) not in impossible
        and (pool.is_spare or not pool.kinds or idle.kind in pool.kinds)
    ]
    return max(fitting, key=lambda idle: idle.idle_seconds, default=None)


def remove_idle(donor, idle):
    """Remove a VM from the view of its pool."""
    donor.idle.remove(idle)
    if idle.is_cordoned:
        donor.cordoned -= 1
    else:
        donor.present -= 1
