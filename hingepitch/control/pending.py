"""
hingepitch.control.pending
~~~~~~~~~~~~~~~~~~~~~~~~~~

The requests to a replica that wait: commands, changes of the members and reads.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import replace

import gevent
from gevent.event import AsyncResult, Event

from hingepitch.clock import lease_seconds, wall_seconds
from hingepitch.control.admission import PendingCommand
from hingepitch.control.message import ProposeMembers
from hingepitch.error import HingepitchError
from hingepitch.model.codec import encode_envelope

__all__ = ["PendingRequests"]

PROPOSE_SECONDS = 4.0
READ_SECONDS = 2.0


class PendingRequests:
    """The part of `Replica` in which callers wait for what the core answers.

    It uses `admission` (commands that are not in the log yet), `waiter_by_index`
    (requests whose entry is in the log), `reads_waiting` and `changed`, the event
    that is set, and replaced, at each change of the state.
    """

    def leader_address(self):
        """Return the address of the leader, or raise `no_leader`."""
        address = self.address_of(self.core.leader) if self.core.leader else None
        if address is None:
            raise HingepitchError("no_leader", "", retry_after_ms=1000)
        return address

    def propose(self, envelope):
        """Append a command to the log; return its `Outcome` once it is applied.

        Raises `HingepitchError`: `not_leader`, `queue_full`,
        `storage_failed`, or `lost_leadership` when the outcome is unknown.
        """
        self.check_storage()
        if not self.is_leader:
            raise HingepitchError("not_leader", retry_after_ms=200)
        stamped = replace(envelope, at_seconds=wall_seconds())
        result = AsyncResult()
        lane = envelope.partner or envelope.role.value
        self.admission.put(lane, PendingCommand(encode_envelope(stamped), result))
        self.wakeup.set()
        return self.wait_for(result, PROPOSE_SECONDS)

    def change_members(self, members):
        """Change the members; return once the change is committed."""
        result = AsyncResult()
        self.put(ProposeMembers(members, result))
        return self.wait_for(result, PROPOSE_SECONDS)

    def confirm_leadership(self):
        """Confirm the leadership for a linearizable read; return its index.

        Returns once a quorum has confirmed that this replica leads and the
        index is applied, so `state` has every change acknowledged before the
        call. Raises `HingepitchError`: `not_leader`, `storage_failed`, or
        `lost_leadership` on timeout or while an entry cannot be read.
        """
        self.check_storage()
        if not self.is_open:
            raise HingepitchError("not_leader", retry_after_ms=200)
        result = AsyncResult()
        self.reads_waiting.append(result)
        self.wakeup.set()
        index = self.wait_for(result, READ_SECONDS)
        self.wait_applied(index, READ_SECONDS)
        return index

    def check_storage(self):
        """Raise `storage_failed` while the data folder cannot be written."""
        if self.storage_fault:
            raise self.storage_error()

    def storage_error(self):
        """Return the error for requests while the data folder cannot be written."""
        detail = self.storage_fault
        return HingepitchError("storage_failed", detail, retry_after_ms=1000)

    def check_read(self):
        """Raise `lost_leadership` while an entry or the state cannot be read.

        That code tells the caller to ask another replica.
        """
        if self.read_fault:
            raise HingepitchError(
                "lost_leadership", self.read_fault, retry_after_ms=1000
            )

    def wait_for(self, result, seconds):
        """Return the value of `result`; raise `lost_leadership` on timeout."""
        try:
            return result.get(timeout=seconds)
        except gevent.Timeout:
            raise HingepitchError(
                "lost_leadership", "no quorum before timeout"
            ) from None

    def wait_applied(self, index, seconds):
        """Return once `index` is applied; raise `lost_leadership` on timeout."""
        deadline = lease_seconds() + seconds
        self.check_read()
        while self.applied_index < index:
            if not self.wait_for_change(deadline - lease_seconds()):
                raise HingepitchError("lost_leadership", "not applied before timeout")
            self.check_read()

    def wait_for_change(self, seconds):
        """Wait for a change of the state; return False on timeout."""
        return seconds > 0 and self.changed.wait(seconds)

    def wake_waiters(self):
        """Wake all greenlets that wait for a change of the state."""
        self.changed.set()
        self.changed = Event()

    def register_waiter(self, action):
        """Record the request that waits until an entry is applied."""
        self.waiter_by_index[action.index] = (action.term, action.token)

    def refuse(self, action):
        """Raise the error of a refused request in its waiters."""
        tokens = action.token if isinstance(action.token, list) else [action.token]
        for result in tokens:
            result.set_exception(HingepitchError(action.code, retry_after_ms=200))

    def fail_waiters(self, code):
        """Raise `lost_leadership` in all waiters for entries: outcome unknown.

        `code`
            Detail of the error.
        """
        for _, result in self.waiter_by_index.values():
            result.set_exception(HingepitchError("lost_leadership", code))
        self.waiter_by_index.clear()

    def refuse_queued(self):
        """Refuse the reads and the commands that are not in the log yet.

        Otherwise they would wait for their timeout (4 s) without a chance of success.
        """
        waiting = self.admission.take(self.admission.size)
        results = [command.result for command in waiting]
        reads, self.reads_waiting = self.reads_waiting, []
        for result in results + reads:
            result.set_exception(self.storage_error())
