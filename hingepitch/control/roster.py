"""
hingepitch.control.roster
~~~~~~~~~~~~~~~~~~~~~~~~~

The entries as the leader knows them: leases, versions, what is in
flight.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

from gevent.event import Event

__all__ = ["EntryStatus", "Roster"]

#: Allowance for clocks that run at different speeds.
DRIFT = 1.05


@dataclass(slots=True)
class EntryStatus:
    """What an entry last said, and until when its lease may run."""

    confirmed_version: int = 0
    lease_until: float = 0.0
    in_flight_by_vm: dict[str, int] = field(default_factory=dict)


class Roster:
    """Leases of entries, held by the leader in memory.

    `lease_seconds`
        How long an entry takes work after it last heard the group.

    A new leader does not know what its predecessor granted, so it treats
    every entry as if a lease had been granted when it took over.
    """

    def __init__(self, lease_seconds):
        self.lease_seconds = lease_seconds
        self.status_by_entry = {}
        self.took_over_at = 0.0
        self.heard = Event()

    def take_over(self, now):
        """Forget everything; this replica now leads."""
        self.status_by_entry = {}
        self.took_over_at = now

    def lease_end(self, now):
        """Return when a lease granted at `now` has surely ended."""
        return now + self.lease_seconds * DRIFT

    def status_of(self, entry):
        """Return the status of an entry."""
        status = self.status_by_entry.get(entry)
        if status is None:
            status = EntryStatus(lease_until=self.lease_end(self.took_over_at))
            self.status_by_entry[entry] = status
        return status

    def note(self, entry, confirmed_version, in_flight_by_vm):
        """Note what an entry says of itself."""
        status = self.status_of(entry)
        status.confirmed_version = confirmed_version
        status.in_flight_by_vm = dict(in_flight_by_vm)
        self.heard.set()
        self.heard = Event()

    def grant(self, entry, now):
        """Note that the lease of an entry is renewed at `now`."""
        status = self.status_of(entry)
        status.lease_until = max(status.lease_until, self.lease_end(now))

    def has_lease(self, entry, now):
        """Whether the lease of an entry may still run."""
        return now < self.status_of(entry).lease_until

    def is_in_force(self, entries, version, now):
        """Whether no entry takes work by a state older than `version`."""
        return all(
            self.status_of(entry).confirmed_version >= version
            or not self.has_lease(entry, now)
            for entry in entries
        )

    def is_drained(self, entries, vm, version, now, longest_request_seconds):
        """Whether no entry sends `vm` anything or waits for its answer.

        `version` is the one at which the VM began to leave.
        """
        for entry in entries:
            status = self.status_of(entry)
            if now > status.lease_until + longest_request_seconds:
                continue
            if status.confirmed_version < version or vm in status.in_flight_by_vm:
                return False
        return True
