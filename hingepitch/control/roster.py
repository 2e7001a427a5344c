"""
hingepitch.control.roster
~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's in-memory status of the entries: leases, versions and requests
in flight.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass, field

from gevent.event import Event

__all__ = ["EntryStatus", "EntryRoster"]

#: Factor on leases that allows for clocks running at different speeds.
CLOCK_DRIFT_FACTOR = 1.05


@dataclass(slots=True)
class EntryStatus:
    """The last report of an entry, and the latest end of its lease."""

    confirmed_version: int = 0
    lease_until: float = 0.0
    in_flight_by_vm: dict[str, int] = field(default_factory=dict)


class EntryRoster:
    """Leases of the entries, held in the leader's memory.

    `lease_seconds`
        How long an entry accepts requests after its last contact with the group.

    A new leader does not know which leases its predecessor granted, so it assumes
    that every entry got a lease at the moment when it became the leader.
    """

    def __init__(self, lease_seconds):
        self.lease_seconds = lease_seconds
        self.status_by_entry = {}
        self.took_over_at = 0.0
        self.report_received = Event()

    def take_over(self, now):
        """Drop all status; this replica became the leader at `now`."""
        self.status_by_entry = {}
        self.took_over_at = now

    def lease_end(self, now):
        """Return the time at which a lease granted at `now` has certainly expired."""
        return now + self.lease_seconds * CLOCK_DRIFT_FACTOR

    def status_of(self, entry):
        """Return the `EntryStatus` of an entry; create it if necessary."""
        status = self.status_by_entry.get(entry)
        if status is None:
            status = EntryStatus(lease_until=self.lease_end(self.took_over_at))
            self.status_by_entry[entry] = status
        return status

    def record_report(self, entry, confirmed_version, in_flight_by_vm):
        """Record the version and the requests in flight that an entry reports."""
        status = self.status_of(entry)
        status.confirmed_version = confirmed_version
        status.in_flight_by_vm = dict(in_flight_by_vm)
        self.report_received.set()
        self.report_received = Event()

    def renew_lease(self, entry, now):
        """Renew the lease of an entry at `now`."""
        status = self.status_of(entry)
        status.lease_until = max(status.lease_until, self.lease_end(now))

    def has_lease(self, entry, now):
        """Whether the lease of an entry may still be valid at `now`."""
        return now < self.status_of(entry).lease_until

    def is_in_force(self, entries, version, now):
        """Whether no entry accepts requests with a state older than `version`."""
        return all(
            self.status_of(entry).confirmed_version >= version
            or not self.has_lease(entry, now)
            for entry in entries
        )

    def is_drained(self, entries, vm, version, now, longest_request_seconds):
        """Whether no entry sends requests to `vm` any more and none is in flight.

        `version` is the state version at which the VM began to leave.
        """
        for entry in entries:
            status = self.status_of(entry)
            if now > status.lease_until + longest_request_seconds:
                continue
            if status.confirmed_version < version or vm in status.in_flight_by_vm:
                return False
        return True
