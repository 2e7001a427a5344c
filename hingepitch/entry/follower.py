"""
hingepitch.entry.follower
~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the control group's state under a lease.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.gen.control.ttypes import SyncRequest
from hingepitch.log import log_event
from hingepitch.model.codec import decode_changes
from hingepitch.model.state import State

__all__ = ["Follower"]

#: How long a sync waits for changes. It is shorter while leaving VMs have requests
#: in flight, so that the end of these requests is reported soon.
SYNC_WAIT_MS = 1000
DRAIN_SYNC_WAIT_MS = 50
RETRY_PAUSE_SECONDS = 0.05


class Follower:
    """Replicates the state to one entry and holds the entry's lease.

    `group`
        A `GroupClient`.
    `name`, `hall`
        Name and hall of this entry.
    `in_flight_by_vm`
        Function: returns the number of requests in flight by leaving VM.

    A lease starts when the call that renews it is sent. The answer to that
    call also delivers every change accepted before it, so the state of an
    entry with a lease is never older than the lease.
    """

    def __init__(self, group, name, hall, in_flight_by_vm):
        self.group = group
        self.name = name
        self.hall = hall
        self.in_flight_by_vm = in_flight_by_vm
        self.state = State()
        self.version = 0
        self.lease_until = 0.0
        self.had_lease = False
        self.undecodable_version = 0

    def has_lease(self):
        """Whether the lease has not expired, so that requests may be served."""
        return lease_seconds() < self.lease_until

    def run(self):
        """Renew the lease and apply changes until killed."""
        while True:
            try:
                self.sync()
            except HingepitchError as error:
                self.log_lease_change(error.code)
                gevent.sleep(RETRY_PAUSE_SECONDS)

    def sync(self):
        """Renew the lease once and apply the changes to the state."""
        in_flight = self.in_flight_by_vm()
        request = SyncRequest(
            entry=self.name,
            hall=self.hall,
            applied_version=self.version,
            wait_ms=DRAIN_SYNC_WAIT_MS if in_flight else SYNC_WAIT_MS,
            in_flight_by_vm=in_flight,
        )
        sent_at = lease_seconds()
        changes = self.group.call_once("sync", request)
        if changes.version < self.version:
            raise HingepitchError(
                "stale_version",
                "the control group's version is older than this entry's",
            )
        if changes.version > self.version or changes.full:
            objects = self.read_changes(changes)
            self.state.apply_changes(objects, changes.version, changes.full)
            self.version = changes.version
            log_event("version_applied", version=self.version)
        self.lease_until = sent_at + changes.lease_ms / 1000
        self.log_lease_change("")

    def read_changes(self, changes):
        """Return the decoded changes of an answer.

        Raises `HingepitchError` (`peer_failed`) if they cannot be decoded;
        this is logged once for each version.
        """
        try:
            return decode_changes(changes.objects)
        except HingepitchError as error:
            if self.undecodable_version != changes.version:
                self.undecodable_version = changes.version
                log_event("changes_unread", version=changes.version, error=error.detail)
            raise

    def log_lease_change(self, reason):
        """Log when the lease is gained or lost."""
        has_lease = self.has_lease()
        if has_lease != self.had_lease:
            self.had_lease = has_lease
            event = "lease_gained" if has_lease else "lease_lost"
            log_event(event, version=self.version, reason=reason)
