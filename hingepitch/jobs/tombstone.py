"""
hingepitch.jobs.tombstone
~~~~~~~~~~~~~~~~~~~~~~~~~

Tombstones of jobs that were cancelled while no such job was known.

A call that hands in a job may be passed on long after its caller has given up and
cancelled the job elsewhere: any process on its way may be frozen in between. Once a
cancellation is answered, no call that was made before it may bring the job about. A
tombstone refuses such calls. A call bears the log index that its entry knew before the
call arrived, which tells whether the call may be older than the cancellation.
Tombstones are dropped after a while; from then on, all calls that may be older than a
dropped one are refused.

Neither rule uses a time of day. The age of a tombstone is counted in generations, which
the leader proposes at intervals of its steady clock.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hashlib
from typing import NamedTuple

import gevent

from hingepitch.jobs.command import AgeTombstones

__all__ = ["Tombstone", "TombstoneAger", "TombstoneRegistry", "digest_call"]

#: Interval between two generations, in seconds, and the number of generations for which
#: a tombstone is kept. Together they are twice the 120 s for which callers may ask for
#: a job that has ended.
GENERATION_SECONDS = 10.0
KEPT_GENERATIONS = 24

#: Limit of tombstones; above it the oldest are dropped early. At 200 bytes each they
#: use 4 MB of memory.
MAX_TOMBSTONES = 20_000

#: Length of the digest of a call, in bytes.
DIGEST_BYTES = 16


class Tombstone(NamedTuple):
    """A cancellation of a job that was not known.

    `index`
        Log index of the cancellation.
    `generation`
        Generation in which it was recorded.
    """

    index: int
    generation: int


def digest_call(table, call):
    """Return the digest that the calls of one client about one job share.

    It covers the URL of the job and the account of the caller, so that nobody can
    cancel a job ahead of its submission by somebody else. On a public queue all callers
    without a key are one client, as they may cancel each other's jobs anyway.

    `call`
        A command with the `host`, `path` and `key` of a caller's call.
    """
    account = table.accounts.account_by_key.get(call.key)
    parts = (call.host, call.path, account.name if account is not None else "")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode("utf-8", "surrogatepass")
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.digest()


class TombstoneRegistry:
    """The tombstones, by the digest of the calls that they refuse, oldest first.

    `generation`
        Number of the current generation.
    `dropped_index`
        Log index of the newest tombstone that was dropped; 0: none.
    """

    def __init__(self, tombstone_by_call=None, generation=0, dropped_index=0):
        self.tombstone_by_call = tombstone_by_call or {}
        self.generation = generation
        self.dropped_index = dropped_index

    @property
    def is_used(self):
        """Whether a tombstone was ever recorded."""
        return bool(self.tombstone_by_call or self.dropped_index)

    def add(self, call, index):
        """Add a tombstone for calls with the digest `call`, or renew it."""
        self.tombstone_by_call.pop(call, None)
        self.tombstone_by_call[call] = Tombstone(index, self.generation)
        if len(self.tombstone_by_call) > MAX_TOMBSTONES:
            self.drop_oldest()

    def begin_generation(self):
        """Begin the next generation; drop the tombstones that are too old."""
        self.generation += 1
        while self.tombstone_by_call:
            oldest = next(iter(self.tombstone_by_call.values()))
            if self.generation - oldest.generation <= KEPT_GENERATIONS:
                return
            self.drop_oldest()

    def drop_oldest(self):
        """Drop the oldest tombstone."""
        call = next(iter(self.tombstone_by_call))
        self.dropped_index = self.tombstone_by_call.pop(call).index

    def refuses(self, call, known_index):
        """Whether a call was, as far as is known, made before its job was cancelled.

        `call`
            The digest of the call.
        `known_index`
            The log index that its entry knew before the call arrived; None from
            versions that do not tell. A call whose entry knew of the cancellation
            hands the job in anew.
        """
        tombstone = self.tombstone_by_call.get(call)
        if tombstone is None:
            return False
        return known_index is None or known_index < tombstone.index

    def is_too_old(self, known_index):
        """Whether a call may have been made before a dropped tombstone.

        `known_index`
            As in `refuses`. Calls of versions that do not tell it are refused by
            tombstones alone.
        """
        return known_index is not None and known_index < self.dropped_index


class TombstoneAger:
    """Proposes the generations of tombstones during one leadership.

    `session`
        The `Session` of the leadership.
    """

    def __init__(self, session):
        self.session = session

    def run(self):
        """Propose a generation at intervals while there are tombstones."""
        while True:
            gevent.sleep(GENERATION_SECONDS)
            if self.session.table.tombstones.tombstone_by_call:
                self.session.propose(AgeTombstones())
