"""
hingepitch.jobs.queue
~~~~~~~~~~~~~~~~~~~~~

Queues of jobs: the replicated configuration that names them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

from hingepitch.error import HingepitchError

__all__ = ["AdviceTerms", "Queue", "QueueConfig", "QueuePool", "check_config"]


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """What asking for permitted minions costs, and how long it holds.

    `decide_ms`, `each_ms`
        Time to decide on a step, and for each minion asked about.
    `valid_ms`
        How long a permission holds.
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
        0 goes first.
    `attempts`
        Runs of one task that may end as failed.
    `stretch`, `objective_ms`
        A job is in time within `objective_ms` plus `stretch` times its
        longest chain of work.
    `timeout_ms`
        Longest time for the answer to one call.
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

    @property
    def place(self):
        """Host and prefix, which no two queues share."""
        return self.host, self.path_prefix


@dataclass(frozen=True, slots=True)
class QueuePool:
    """A pool of minions.

    `guards_room`
        Its minions refuse what does not fit.
    `is_spare`
        Its VMs are off and cost nothing.
    """

    name: str
    guards_room: bool = False
    is_spare: bool = False


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """All queues and pools, as one versioned whole.

    `document`
        The bytes as the operator sent them, for reading them back.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[QueuePool, ...]
    document: bytes = b""

    def find(self, host, path):
        """Return the queue for `path` at `host`, or None."""
        fitting = (
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        )
        return max(fitting, key=lambda queue: len(queue.path_prefix), default=None)

    def pool(self, name):
        """Return the pool `name`, or None."""
        return next((pool for pool in self.pools if pool.name == name), None)


def check_config(config):
    """Raise `HingepitchError` (`bad_object`) unless `config` is coherent."""
    pools = {pool.name for pool in config.pools}
    if len(pools) != len(config.pools):
        raise HingepitchError("bad_object", "two pools share a name")
    places = set()
    for queue in config.queues:
        if queue.pool not in pools:
            raise HingepitchError("bad_object", f"{queue.name}: unknown {queue.pool}")
        if queue.place in places:
            raise HingepitchError("bad_object", f"{queue.name}: its place is taken")
        if queue.timeout_ms <= 0:
            raise HingepitchError("bad_object", f"{queue.name}: no time-out")
        places.add(queue.place)
