"""
hingepitch.jobs.queue
~~~~~~~~~~~~~~~~~~~~~

Queues and pools for jobs, as defined by the replicated configuration.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from hingepitch.error import HingepitchError
from hingepitch.jobs.accounts.account import ClientAccount, check_accounts

__all__ = [
    "AdviceTerms",
    "Queue",
    "QueueConfig",
    "QueueIndex",
    "QueuePool",
    "check_config",
]


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """The latency and the validity of the adviser's permissions.

    `decide_ms`, `each_ms`
        Time that the adviser takes per step, and per minion in the request.
    `valid_ms`
        How long a permission is valid.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, chosen by host and longest path prefix.

    `pool`
        The pool whose minions run its tasks.
    `priority`
        Priority of its jobs; 0 is the highest.
    `attempts`
        Number of failed runs of one task that fail its job.
    `stretch`, `objective_ms`
        A round is on time if it takes no longer than `objective_ms` plus
        `stretch` times its critical path.
    `timeout_ms`
        Time limit for the answer to one call.
    `advice`
        Set if a step needs permission for each minion; None: not needed.
    `is_public`
        Whether calls need no key of a client account.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 0
    advice: AdviceTerms | None = None
    is_public: bool = True

    @property
    def route(self):
        """Host and path prefix, which are unique to the queue."""
        return self.host, self.path_prefix


@dataclass(frozen=True, slots=True)
class QueuePool:
    """A pool of minions.

    `guards_room`
        Whether its minions refuse tasks that exceed their capacity.
    `is_spare`
        Whether its VMs are switched off and cost nothing.
    """

    name: str
    guards_room: bool = False
    is_spare: bool = False


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """All queues and pools, with a common version.

    `document`
        The document as the operator sent it, returned to readers. It holds the keys
        of the accounts, so it appears in no text.
    `has_accounts`
        Whether the deployment has client accounts. Otherwise all queues are public.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[QueuePool, ...]
    document: bytes = field(default=b"", repr=False)
    has_accounts: bool = False
    accounts: tuple[ClientAccount, ...] = ()

    def pool(self, name):
        """Return the pool `name`, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


class QueueIndex:
    """An index of the queues of a configuration by host and path prefix.

    Every replica looks up the queue of each accepted job. A scan of 1,888 queues
    took 95 us; a lookup takes one step per distinct prefix length of the host.

    `pools`
        Names of the pools whose minions run tasks of the queues.
    """

    def __init__(self, queues=()):
        self.queue_by_route = {queue.route: queue for queue in queues}
        self.pools = {queue.pool for queue in queues}
        lengths_by_host = defaultdict(set)
        for host, prefix in self.queue_by_route:
            lengths_by_host[host].add(len(prefix))
        self.lengths_by_host = {
            host: sorted(lengths, reverse=True)
            for host, lengths in lengths_by_host.items()
        }

    def find(self, host, path):
        """Return the queue with the longest prefix of `path` at `host`, or None."""
        for length in self.lengths_by_host.get(host, ()):
            # Slicing leaves a shorter path unchanged: it only matches exactly.
            queue = self.queue_by_route.get((host, path[:length]))
            if queue is not None:
                return queue
        return None


def check_config(config):
    """Raise `HingepitchError` (`bad_object`) unless `config` is consistent."""
    pools = {pool.name for pool in config.pools}
    if len(pools) != len(config.pools):
        raise HingepitchError("bad_object", "two pools share a name")
    routes = set()
    for queue in config.queues:
        if queue.pool not in pools:
            raise HingepitchError("bad_object", f"{queue.name}: unknown {queue.pool}")
        if queue.route in routes:
            raise HingepitchError("bad_object", f"{queue.name}: its place is taken")
        if queue.timeout_ms <= 0:
            raise HingepitchError("bad_object", f"{queue.name}: no time-out")
        routes.add(queue.route)
    check_accounts(config.accounts)
