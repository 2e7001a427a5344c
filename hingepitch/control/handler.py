"""
hingepitch.control.handler
~~~~~~~~~~~~~~~~~~~~~~~~~~

Handler of the Control thrift service, which the other processes call.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds
from hingepitch.control.peer import from_wire
from hingepitch.error import HingepitchError
from hingepitch.gen.control.ttypes import Changes, Refused
from hingepitch.jobs.question import decode_request, encode
from hingepitch.model.codec import decode_envelope, encode_changes, encode_outcome
from hingepitch.model.command import Envelope, JoinEntry, Role

__all__ = ["ControlHandler"]

#: Longest long poll of an entry, as a fraction of its lease.
MAX_WAIT_LEASE_FRACTION = 0.25
MAX_WAIT_SECONDS = 30.0
DEADLINE_GRACE_SECONDS = 1.0

#: Interval at which `is_in_force` checks for expired leases, in seconds: the expiry
#: of a lease triggers no event.
IN_FORCE_POLL_SECONDS = 0.1


class ControlHandler:
    """Handler of the Control service.

    `replica`, `roster`, `jobs`
        The `Replica`, `EntryRoster` and `JobService` of this process.
    """

    def __init__(self, replica, roster, jobs):
        self.replica = replica
        self.roster = roster
        self.jobs = jobs

    def deliver(self, messages):
        """Receive messages of another replica.

        Raises `storage_failed` while the data folder is not open: the sender of
        a snapshot that was accepted and dropped would not send it again for
        seconds.
        """
        if not self.replica.is_open:
            raise HingepitchError("storage_failed", self.replica.read_fault)
        for wire in messages:
            self.replica.receive(from_wire(wire))

    def propose(self, envelope):
        """Append a command to the log; return its encoded outcome."""
        decoded = decode_envelope(envelope)
        return encode_outcome(self.call_or_redirect(self.replica.propose, decoded))

    def read_index(self):
        """Return the log index that a replica must apply before a confirmed read."""
        return self.call_or_redirect(self.replica.confirm_leadership)

    def is_drained(self, vm):
        """Whether a VM with a permit gets no new requests and has none in flight."""
        self.call_or_redirect(self.replica.confirm_leadership)
        permit = self.replica.state.get("permit", vm)
        if permit is None:
            raise HingepitchError("unknown_object", f"no permit for {vm}")
        return self.roster.is_drained(
            self.replica.state.by_kind["entry"],
            vm,
            permit.version,
            lease_seconds(),
            self.longest_request_seconds(),
        )

    def is_in_force(self, version, wait_ms):
        """Whether no entry uses a state older than `version` any more.

        Waits up to `wait_ms` for that. The routing feed holds only the changes
        that entries need; any other change is in force once it is committed.
        """
        deadline = lease_seconds() + min(wait_ms / 1000, MAX_WAIT_SECONDS)
        while True:
            self.call_or_redirect(self.replica.confirm_leadership)
            state = self.replica.state
            needed = min(version, state.feed_by_name["routing"].version)
            entries = state.by_kind["entry"]
            if self.roster.is_in_force(entries, needed, lease_seconds()):
                return True
            left = deadline - lease_seconds()
            if left <= 0:
                return False
            self.roster.report_received.wait(min(left, IN_FORCE_POLL_SECONDS))

    def longest_request_seconds(self):
        """Return the longest time a request may be in flight, in seconds."""
        services = self.replica.state.by_kind["service"].values()
        longest = max((service.deadline_ms for service in services), default=0)
        return longest / 1000 + DEADLINE_GRACE_SECONDS

    def watch(self, after_version, wait_ms):
        """Return the changes of the planning feed after a version (long poll)."""
        self.replica.check_read()
        return self.changes("planning", after_version, wait_ms / 1000)

    def sync(self, request):
        """Renew the lease of an entry; return the changes it lacks (long poll)."""
        self.call_or_redirect(self.ensure_entry, request)
        self.roster.record_report(
            request.entry, request.applied_version, request.in_flight_by_vm
        )
        longest = self.roster.lease_seconds * MAX_WAIT_LEASE_FRACTION
        seconds = min(request.wait_ms / 1000, longest)
        self.wait_for_feed("routing", request.applied_version, seconds)
        self.call_or_redirect(self.replica.confirm_leadership)
        changes = self.changes("routing", request.applied_version, 0)
        self.roster.renew_lease(request.entry, lease_seconds())
        changes.lease_ms = int(self.roster.lease_seconds * 1000)
        return changes

    def ensure_entry(self, request):
        """Add the entry to the replicated state if it is not there yet."""
        if not self.replica.is_leader:
            raise HingepitchError("not_leader")
        if self.replica.state.get("entry", request.entry) is None:
            command = JoinEntry(request.entry, request.hall)
            self.replica.propose(Envelope(Role.ENTRY, "", request.entry, command))

    def wait_for_feed(self, feed_name, version, seconds):
        """Wait at most `seconds` until a feed has a change after `version`."""
        deadline = lease_seconds() + seconds
        while self.replica.state.feed_by_name[feed_name].version == version:
            if not self.replica.wait_for_change(deadline - lease_seconds()):
                return

    def changes(self, feed_name, version, seconds):
        """Wait for changes of a feed after `version`; return them as `Changes`."""
        self.wait_for_feed(feed_name, version, min(seconds, MAX_WAIT_SECONDS))
        now, full, changes = self.replica.state.changes_since(feed_name, version)
        return Changes(now, full, encode_changes(changes))

    def ask(self, question):
        """Answer a request to the leader, encoded by `hingepitch.jobs.question`."""
        decoded = decode_request(question)
        return encode(self.call_or_redirect(self.jobs.answer, decoded))

    def call_or_redirect(self, function, *arguments):
        """Call `function`; on `not_leader`, raise `Refused` with the leader address."""
        try:
            return function(*arguments)
        except HingepitchError as error:
            if error.code != "not_leader":
                raise
            leader = self.replica.core.leader
            address = self.replica.address_of(leader) if leader else None
            raise Refused(
                "not_leader", "", error.retry_after_ms, address or ""
            ) from None
