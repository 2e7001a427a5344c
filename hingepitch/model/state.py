"""
hingepitch.model.state
~~~~~~~~~~~~~~~~~~~~~~

The replicated state: records by kind, their indices and change feeds.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from dataclasses import replace

import msgspec

from hingepitch.error import HingepitchError
from hingepitch.jobs.content import TableContent, content_of, restore_table
from hingepitch.jobs.table import JobTable
from hingepitch.model.codec import DECODE_ERRORS, ENCODER, RECORD_DECODER_BY_KIND
from hingepitch.model.command import Outcome
from hingepitch.model.index import Index
from hingepitch.model.record import PLACED_STATES, RECORD_BY_KIND, JobState, VmLifecycle
from hingepitch.model.selector import matches

__all__ = ["Feed", "PLANNING_KINDS", "ROUTING_KINDS", "State"]

#: Kinds of records that entries follow, for routing.
ROUTING_KINDS = ("vm", "pool", "service", "permit")

#: Kinds of records that planners follow.
PLANNING_KINDS = (*ROUTING_KINDS, "team", "campaign", "planner_lease", "job", "entry")

#: Changes kept in a feed; a follower that is further behind gets all records.
MAX_FEED_CHANGES = 50_000

#: A kind of record of which a snapshot has one for each feature that its readers must
#: support. Versions without the feature do not know it, and refuse the snapshot.
FEATURE_KIND = "feature"
ACCOUNTS_FEATURE = "client-accounts"
CORDONS_FEATURE = "hall-cordons"
TOMBSTONES_FEATURE = "tombstones"
KNOWN_FEATURES = frozenset((ACCOUNTS_FEATURE, CORDONS_FEATURE, TOMBSTONES_FEATURE))

#: Errors that reading a snapshot of another version raises: its parts may be
#: missing, have other types, or not fit each other.
SNAPSHOT_ERRORS = (*DECODE_ERRORS, LookupError, AttributeError, ValueError)


class Feed:
    """The recent changes of some kinds of records, by version.

    `kinds`
        The kinds of records whose changes the feed contains.
    `version`
        Version of the latest change.
    `first_version`
        Lowest version after which the feed still has all changes.
    """

    def __init__(self, kinds, version=0):
        self.kinds = frozenset(kinds)
        self.version = version
        self.first_version = version
        self.changes = deque()

    def record_change(self, version, kind, key):
        """Add a change of the record `key` of `kind` at `version`."""
        if kind not in self.kinds:
            return
        self.version = version
        self.changes.append((version, kind, key))
        if len(self.changes) > MAX_FEED_CHANGES:
            self.first_version = self.changes.popleft()[0]

    def has_since(self, version):
        """Whether the feed still has all changes after `version`."""
        return self.first_version <= version

    def since(self, version):
        """Return the `(kind, key)` pairs changed after `version`."""
        pairs = {}
        for changed_at, kind, key in reversed(self.changes):
            if changed_at <= version:
                break
            pairs[kind, key] = None
        return list(pairs)


class State:
    """All replicated records, with the indices that the rules and the planner use.

    `version` is the log index of the last change. Change records only through
    `put` and `drop`, which keep the indices and the feeds up to date.

    `jobs`
        The jobs that consist of several steps. They have no feed: only the
        leader acts on them.
    """

    def __init__(self):
        self.by_kind = {kind: {} for kind in RECORD_BY_KIND}
        self.jobs = JobTable()
        self.version = 0
        self.now_seconds = 0
        self.outcome_by_command_id = {}
        self.vms_by_pool = Index()
        self.down_vms_by_pool = Index()
        self.services_by_pool = Index()
        self.jobs_by_vm = Index()
        self.jobs_by_team = Index()
        self.waiting_job_by_name = {}
        self.waiting_jobs_by_team = Index()
        self.ended_job_by_name = {}
        self.claims_by_age = deque()
        self.feed_by_name = {
            "routing": Feed(ROUTING_KINDS),
            "planning": Feed(PLANNING_KINDS),
        }

    def get(self, kind, key):
        """Return the record `key` of `kind`, or None."""
        return self.by_kind[kind].get(key)

    def put(self, kind, key, record, version):
        """Store `record` as changed at `version`; return it."""
        before = self.by_kind[kind].get(key)
        if before is not None:
            self.unindex(kind, key, before)
        stored = replace(record, version=version)
        self.by_kind[kind][key] = stored
        self.index(kind, key, stored)
        self.record_change(version, kind, key)
        return stored

    def drop(self, kind, key, version):
        """Remove the record `key` of `kind`, if there is one."""
        before = self.by_kind[kind].pop(key, None)
        if before is not None:
            self.unindex(kind, key, before)
            self.record_change(version, kind, key)

    def record_change(self, version, kind, key):
        """Set the version and add the change to the feeds."""
        self.version = version
        for feed in self.feed_by_name.values():
            feed.record_change(version, kind, key)

    def index(self, kind, key, record):
        """Add `record` to the indices."""
        if kind == "vm":
            self.vms_by_pool.add(record.pool, key, record)
            if record.life is not VmLifecycle.LIVE:
                self.down_vms_by_pool.add(record.pool, key, record)
        elif kind == "service":
            self.services_by_pool.add(record.pool, key, record)
        elif kind == "job":
            if record.state in PLACED_STATES:
                self.jobs_by_vm.add(record.vm, key, record)
                self.jobs_by_team.add(record.team, key, record)
            elif record.state is JobState.WAITING:
                self.waiting_job_by_name[key] = record
                self.waiting_jobs_by_team.add(record.team, key, record)
            else:
                self.ended_job_by_name[key] = record
        elif kind == "claim" and record.version:
            self.claims_by_age.append((record.at_seconds, key, record.version))

    def unindex(self, kind, key, record):
        """Remove `record` from the indices."""
        if kind == "vm":
            self.vms_by_pool.remove(record.pool, key)
            self.down_vms_by_pool.remove(record.pool, key)
        elif kind == "service":
            self.services_by_pool.remove(record.pool, key)
        elif kind == "job":
            self.jobs_by_vm.remove(record.vm, key)
            self.jobs_by_team.remove(record.team, key)
            self.waiting_job_by_name.pop(key, None)
            self.waiting_jobs_by_team.remove(record.team, key)
            self.ended_job_by_name.pop(key, None)

    def minions(self, service):
        """Yield the VMs that run `service`, in any lifecycle state."""
        for vm in self.vms_by_pool[service.pool].values():
            if matches(service.selector, vm.labels):
                yield vm

    def services_of(self, vm):
        """Yield the services that `vm` runs."""
        for service in self.services_by_pool[vm.pool].values():
            if matches(service.selector, vm.labels):
                yield service

    def count_down(self, service):
        """Return the number of VMs of `service` that are not live."""
        down = self.down_vms_by_pool[service.pool].values()
        return sum(matches(service.selector, vm.labels) for vm in down)

    def changes_since(self, feed_name, version):
        """Return `(version, full, changes)` for a follower at `version`.

        `changes` are `(kind, key, record or None)`; with `full` they are all
        records of the feed and replace what the follower has.
        """
        feed = self.feed_by_name[feed_name]
        full = not feed.has_since(version)
        pairs = self.all_pairs(feed) if full else feed.since(version)
        changes = [(kind, key, self.get(kind, key)) for kind, key in pairs]
        return feed.version, full, changes

    def all_pairs(self, feed):
        """Return the `(kind, key)` of every record of the kinds of `feed`."""
        return [
            (kind, key) for kind in sorted(feed.kinds) for key in self.by_kind[kind]
        ]

    def apply_changes(self, changes, version, full):
        """Apply the changes of a feed to this copy, up to `version`."""
        if full:
            for kind in RECORD_BY_KIND:
                for key in list(self.by_kind[kind]):
                    self.drop(kind, key, version)
        for kind, key, record in changes:
            if record is None:
                self.drop(kind, key, version)
            else:
                self.put(kind, key, record, record.version)
        self.version = version

    def features(self):
        """Yield the features that a reader of a snapshot must support."""
        if self.jobs.has_accounts:
            yield ACCOUNTS_FEATURE
        if self.jobs.cordons.revision:
            yield CORDONS_FEATURE
        if self.jobs.tombstones.is_used:
            yield TOMBSTONES_FEATURE

    def to_snapshot(self):
        """Return the state encoded as msgpack."""
        records = dict(self.by_kind)
        features = dict.fromkeys(self.features())
        if features:
            records[FEATURE_KIND] = features
        return ENCODER.encode(
            {
                "version": self.version,
                "now_seconds": self.now_seconds,
                "feeds": {
                    name: feed.version for name, feed in self.feed_by_name.items()
                },
                "records": records,
                "outcomes": self.outcome_by_command_id,
                "jobs": content_of(self.jobs),
            }
        )

    @classmethod
    def from_snapshot(cls, data):
        """Return the state encoded in `data`.

        Raises `HingepitchError` (`storage_unknown`) if it cannot be decoded.
        """
        try:
            return cls.read_snapshot(data)
        except SNAPSHOT_ERRORS as error:
            detail = f"cannot decode the snapshot: {error!r}"
            raise HingepitchError("storage_unknown", detail) from None

    @classmethod
    def read_snapshot(cls, data):
        """Return the state encoded in `data`; raise one of `SNAPSHOT_ERRORS`."""
        raw = msgspec.msgpack.decode(data, type=dict[str, msgspec.Raw])
        state = cls()
        tables = msgspec.msgpack.decode(
            raw["records"], type=dict[str, dict[str, msgspec.Raw]]
        )
        unread = tables.pop(FEATURE_KIND, {}).keys() - KNOWN_FEATURES
        if unread:
            raise ValueError(f"unknown features: {', '.join(sorted(unread))}")
        for kind, table in tables.items():
            decoder = RECORD_DECODER_BY_KIND[kind]
            for key, body in table.items():
                record = decoder.decode(body)
                state.by_kind[kind][key] = record
                state.index(kind, key, record)
        state.version = msgspec.msgpack.decode(raw["version"])
        state.now_seconds = msgspec.msgpack.decode(raw["now_seconds"])
        state.outcome_by_command_id = msgspec.msgpack.decode(
            raw["outcomes"], type=dict[str, Outcome]
        )
        if "jobs" in raw:  # Snapshots of version 0.1.0 contain no jobs.
            content = msgspec.msgpack.decode(raw["jobs"], type=TableContent)
            state.jobs = restore_table(content)
        for name, version in msgspec.msgpack.decode(raw["feeds"]).items():
            kinds = state.feed_by_name[name].kinds
            state.feed_by_name[name] = Feed(kinds, version)
        return state
