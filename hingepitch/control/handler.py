"""
hingepitch.control.handler
~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers the calls of the other processes.

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

#: A call may wait for a change no longer than this part of a lease.
WAIT_PART_OF_LEASE = 0.25
LONGEST_WAIT_SECONDS = 30.0
DEADLINE_GRACE_SECONDS = 1.0

#: A lease also runs out when nobody says anything.
IN_FORCE_STEP_SECONDS = 0.1


class ControlHandler:
    """The methods of the Control service.

    `replica`, `roster`, `jobs`
        The parts that the calls are about.
    """

    def __init__(self, replica, roster, jobs):
        self.replica = replica
        self.roster = roster
        self.jobs = jobs

    def deliver(self, messages):
        """Take messages of another replica.

        Refuses all of them while there is no folder to keep them in: a state that
        was taken and dropped would not be sent again for seconds.
        """
        if not self.replica.is_open:
            raise HingepitchError("storage_failed", self.replica.unread)
        for wire in messages:
            self.replica.receive(from_wire(wire))

    def propose(self, envelope):
        """Put a command into the log; return the encoded outcome."""
        decoded = decode_envelope(envelope)
        return encode_outcome(self.on_leader(self.replica.propose, decoded))

    def read_index(self):
        """Return an index for a confirmed read at any replica."""
        return self.on_leader(self.replica.confirm)

    def is_drained(self, vm):
        """Whether a leaving VM takes no request and has none in flight."""
        self.on_leader(self.replica.confirm)
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
        """Whether no entry works by a state older than `version`.

        Only changes that entries need to know are in their feed; any other
        is in force once it is committed.
        """
        deadline = lease_seconds() + min(wait_ms / 1000, LONGEST_WAIT_SECONDS)
        while True:
            self.on_leader(self.replica.confirm)
            state = self.replica.state
            needed = min(version, state.feed_by_name["routing"].version)
            entries = state.by_kind["entry"]
            if self.roster.is_in_force(entries, needed, lease_seconds()):
                return True
            left = deadline - lease_seconds()
            if left <= 0:
                return False
            self.roster.heard.wait(min(left, IN_FORCE_STEP_SECONDS))

    def longest_request_seconds(self):
        """Return the longest time that a request may be in flight."""
        services = self.replica.state.by_kind["service"].values()
        longest = max((service.deadline_ms for service in services), default=0)
        return longest / 1000 + DEADLINE_GRACE_SECONDS

    def watch(self, after_version, wait_ms):
        """Return the changes for a planner after a version."""
        self.replica.check_read()
        return self.changes("planning", after_version, wait_ms / 1000)

    def sync(self, request):
        """Renew the lease of an entry; return the changes it lacks."""
        self.on_leader(self.join, request)
        self.roster.note(
            request.entry, request.applied_version, request.in_flight_by_vm
        )
        longest = self.roster.lease_seconds * WAIT_PART_OF_LEASE
        seconds = min(request.wait_ms / 1000, longest)
        self.wait_for_news("routing", request.applied_version, seconds)
        self.on_leader(self.replica.confirm)
        changes = self.changes("routing", request.applied_version, 0)
        self.roster.grant(request.entry, lease_seconds())
        changes.lease_ms = int(self.roster.lease_seconds * 1000)
        return changes

    def join(self, request):
        """Put an entry on the roster, if it is not there."""
        if not self.replica.is_leader:
            raise HingepitchError("not_leader")
        if self.replica.state.get("entry", request.entry) is None:
            command = JoinEntry(request.entry, request.hall)
            self.replica.propose(Envelope(Role.ENTRY, "", request.entry, command))

    def wait_for_news(self, feed_name, version, seconds):
        """Wait until a feed has a change after `version`, or in vain."""
        deadline = lease_seconds() + seconds
        while self.replica.state.feed_by_name[feed_name].version == version:
            if not self.replica.wait_for_change(deadline - lease_seconds()):
                return

    def changes(self, feed_name, version, seconds):
        """Return the changes of a feed after `version`."""
        self.wait_for_news(feed_name, version, min(seconds, LONGEST_WAIT_SECONDS))
        now, full, changes = self.replica.state.changes_since(feed_name, version)
        return Changes(now, full, encode_changes(changes))

    def ask(self, question):
        """Answer a question of `hingepitch.jobs.question`."""
        decoded = decode_request(question)
        return encode(self.on_leader(self.jobs.answer, decoded))

    def on_leader(self, function, *arguments):
        """Call `function`; name the leader where this replica does not lead."""
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
