"""
hingepitch.entry.follower
~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the state of the control group and holds the entry's lease.

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

WAIT_MS = 1000
WAIT_WHILE_LEAVING_MS = 50
PAUSE_SECONDS = 0.05


class Follower:
    """The copy of the state at one entry, with the lease on it.

    `group`
        A `GroupClient`.
    `name`, `hall`
        Of this entry.
    `in_flight_by_vm`
        Function: requests in flight to VMs that are leaving.

    A lease runs from the sending of the call that renewed it. The answer
    that renews it also brings every change accepted before, so that an
    entry with a lease works by a state no older than the lease.
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
        self.unread_version = 0

    def has_lease(self):
        """Whether this entry may take work now."""
        return lease_seconds() < self.lease_until

    def run(self):
        """Follow until killed."""
        while True:
            try:
                self.sync()
            except HingepitchError as error:
                self.note_lease(error.code)
                gevent.sleep(PAUSE_SECONDS)

    def sync(self):
        """Renew the lease once and take the changes."""
        in_flight = self.in_flight_by_vm()
        request = SyncRequest(
            entry=self.name,
            hall=self.hall,
            applied_version=self.version,
            wait_ms=WAIT_WHILE_LEAVING_MS if in_flight else WAIT_MS,
            in_flight_by_vm=in_flight,
        )
        sent_at = lease_seconds()
        changes = self.group.call_once("sync", request)
        if changes.version < self.version:
            raise HingepitchError("stale_version", "the group is behind this entry")
        if changes.version > self.version or changes.full:
            objects = self.read_changes(changes)
            self.state.apply_changes(objects, changes.version, changes.full)
            self.version = changes.version
            log_event("version_applied", version=self.version)
        self.lease_until = sent_at + changes.lease_ms / 1000
        self.note_lease("")

    def read_changes(self, changes):
        """Return the changes of an answer; raise `peer_failed`, logged once."""
        try:
            return decode_changes(changes.objects)
        except HingepitchError as error:
            if self.unread_version != changes.version:
                self.unread_version = changes.version
                log_event("changes_unread", version=changes.version, error=error.detail)
            raise

    def note_lease(self, reason):
        """Log when the lease comes or goes."""
        has_lease = self.has_lease()
        if has_lease != self.had_lease:
            self.had_lease = has_lease
            event = "lease_gained" if has_lease else "lease_lost"
            log_event(event, version=self.version, reason=reason)
