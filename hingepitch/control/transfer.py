"""
hingepitch.control.transfer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Snapshots of a replica's state: made, sent, installed and loaded.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.control.membership import encode_members
from hingepitch.control.message import (
    Entry,
    EntryKind,
    MayLead,
    Message,
    MessageKind,
    SnapshotLost,
)
from hingepitch.control.snapshot import Snapshot
from hingepitch.error import HingepitchError
from hingepitch.log import log_event
from hingepitch.model.state import State

__all__ = ["SnapshotTransfer"]


class SnapshotTransfer:
    """The part of `Replica` that turns its state into a snapshot and back.

    It sets `state`, `applied_index`, `applied_term` and `read_fault` when it loads
    a snapshot.
    """

    def load_snapshot(self, snapshot):
        """Load the state of `snapshot`; an unreadable snapshot stays on the disk."""
        self.read_fault = ""
        self.state = State()
        self.applied_index = snapshot.index
        self.applied_term = snapshot.term
        try:
            if snapshot.state:
                self.state = State.from_snapshot(snapshot.state)
            self.put(MayLead(True))
        except HingepitchError as error:
            self.stop_applying(f"state at {snapshot.index}", error)
        except Exception as error:
            # A fault in this version's code. The log and the vote are intact, so
            # the replica can go on storing entries and voting.
            self.stop_applying(f"state at {snapshot.index}", repr(error))
        self.wake_waiters()

    def make_snapshot(self):
        """Return the current state as a `Snapshot`."""
        return Snapshot(
            index=self.applied_index,
            term=self.applied_term,
            members=self.core.members_at(self.applied_index),
            state=self.state.to_snapshot(),
        )

    def send_snapshot(self, action):
        """Send the current state to a follower that needs a snapshot."""
        if self.read_fault:
            return
        snapshot = self.make_snapshot()
        members = Entry(
            snapshot.index,
            snapshot.term,
            EntryKind.MEMBERS,
            encode_members(snapshot.members),
        )
        self.send(
            Message(
                MessageKind.SNAPSHOT,
                self.core.identity,
                action.receiver,
                action.term,
                index=snapshot.index,
                log_term=snapshot.term,
                entries=(members,),
                snapshot=snapshot.state,
            )
        )

    def on_message_lost(self, message):
        """Tell the core that a snapshot did not arrive, so it is sent again.

        Otherwise the core would wait 5 s for its acknowledgement, and a group
        that needs the receiver for its quorum would be stalled until then.
        """
        if message.kind is MessageKind.SNAPSHOT:
            self.put(SnapshotLost(message.receiver, message.term))

    def install(self, action):
        """Store and load a snapshot that the leader sent."""
        snapshot = Snapshot(action.index, action.term, action.members, action.snapshot)
        self.audit.record_missing_up_to(action.index)
        snapshot.trail = self.audit.sync()
        self.storage.save_snapshot(snapshot)
        self.load_snapshot(snapshot)
        log_event("snapshot_installed", index=action.index)
