"""
hingepitch.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~

The driver of one replica: opens its data folder, runs the consensus core until a
fault and recovers from it, and applies the committed entries to the state.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque

import gevent
from gevent.event import Event

from hingepitch.clock import lease_seconds
from hingepitch.control.admission import Admission
from hingepitch.control.audit import AuditRecord
from hingepitch.control.consensus import Consensus
from hingepitch.control.execution import BATCH_SECONDS, ActionExecution
from hingepitch.control.message import (
    EntryKind,
    MayLead,
    Receive,
    Recovered,
    Tick,
    TransferLeadership,
)
from hingepitch.control.pending import PendingRequests
from hingepitch.control.transfer import SnapshotTransfer
from hingepitch.control.writer import LogWriter
from hingepitch.error import HingepitchError
from hingepitch.log import log_event, source_location
from hingepitch.model.apply import apply, is_resend, object_of
from hingepitch.model.codec import decode_envelope, to_plain
from hingepitch.model.command import Role
from hingepitch.model.state import State

__all__ = ["Replica", "is_snapshot_due"]

TICK_SECONDS = 0.1
PAUSE_AFTER_FAULT_SECONDS = 1.0

#: Value of `Replica.read_fault` until the data folder is open.
NOT_OPEN = "the data folder is not open yet"

#: How long a starting replica waits for another process to release the lock of
#: its data folder, in seconds: longer than the 6 s from SIGTERM to SIGKILL.
LOCK_WAIT_SECONDS = 10.0

#: Minimum and maximum number of entries applied between two snapshots, and the
#: number of entries before a snapshot that stay in memory. The maximum bounds
#: the start: a replica replays about 7,000 entries a second, and a new leader
#: issues no orders before it has done so.
MIN_SNAPSHOT_ENTRIES = 1024
MAX_SNAPSHOT_ENTRIES = 2048
ENTRIES_KEPT_BEHIND_SNAPSHOT = 1024


def is_snapshot_due(entries, log_bytes, snapshot_bytes):
    """Whether to write a snapshot after `entries` entries of `log_bytes` bytes.

    A large state is written less often; otherwise a busy replica of a large
    site would write its complete state every two seconds.

    `snapshot_bytes`
        Size of the last snapshot.
    """
    if entries < MIN_SNAPSHOT_ENTRIES:
        return False
    return log_bytes >= snapshot_bytes or entries >= MAX_SNAPSHOT_ENTRIES


class Replica(ActionExecution, PendingRequests, SnapshotTransfer):
    """One replica of the control group.

    `storage`, `audit`, `links`, `roster`
        The data folder, the audit trail, the links to the other replicas and
        the leases of the entries.
    `address_of`
        Function that returns the address of an identity, or None.
    `seed`
        Seed of the random election timeouts.
    `read_fault`
        Which entry or snapshot cannot be read, and why; empty if there is none.
        While it is set, entries are stored but not applied, and `state` must not
        be used.
    """

    def __init__(self, storage, audit, links, roster, address_of, seed):
        self.storage = storage
        self.writer = LogWriter(storage, self.put)
        self.audit = audit
        self.links = links
        self.links.on_lost = self.on_message_lost
        self.roster = roster
        self.address_of = address_of
        self.seed = seed
        # Placeholder until `open`: it belongs to no group, so it neither votes nor
        # leads.
        self.core = Consensus(Recovered(identity=""), seed)
        self.state = State()
        self.applied_index = 0
        self.applied_term = 0
        self.inbox = deque()
        self.wakeup = Event()
        self.changed = Event()
        self.admission = Admission()
        self.waiter_by_index = {}
        self.reads_waiting = []
        self.commands_applied = 0
        self.log_bytes = 0
        self.proposed_at = 0.0
        self.storage_fault = ""
        self.read_fault = NOT_OPEN
        self.must_reopen = False

    def open(self):
        """Open the data folder and recover from it."""
        recovered = self.storage.open()
        snapshot = self.storage.snapshot
        self.audit.open(snapshot.trail, snapshot.index)
        self.core = Consensus(recovered, f"{self.seed}/{recovered.identity}")
        self.load_snapshot(self.storage.snapshot)

    def open_when_possible(self, stopping):
        """Open the data folder, retrying until that succeeds.

        A failure does not end the program: the next start would fail in the
        same way, and operators could not query the reason. Only a folder that
        stays locked by another process ends it: the replica was started twice.

        `stopping`
            Event that ends the retries.

        Raises `HingepitchError` (`folder_locked`).
        """
        locked_until = lease_seconds() + LOCK_WAIT_SECONDS
        while not stopping.is_set():
            try:
                self.open()
                self.storage_fault = ""
                return
            except (OSError, HingepitchError) as error:
                is_locked = getattr(error, "code", "") == "folder_locked"
                if is_locked and lease_seconds() > locked_until:
                    raise
                self.handle_storage_fault(error)
            except Exception as error:
                self.handle_storage_fault(f"{error!r} at {source_location(error)}")
            self.close()
            stopping.wait(PAUSE_AFTER_FAULT_SECONDS)
            self.recreate_stores()
            self.writer.reset(self.storage)

    def recreate_stores(self):
        """Replace the storage and the audit trail by new unopened objects."""
        self.storage = self.storage.unopened_copy()
        self.audit = self.audit.unopened_copy()

    def run(self):
        """Handle events until killed.

        After any failure the core may be ahead of the disk, so the
        replica recovers from the disk, which has all acknowledged entries.
        """
        while True:
            try:
                if self.must_reopen:
                    self.reopen()
                self.must_reopen = True
                self.handle_forever()
            except (HingepitchError, OSError) as error:
                if getattr(error, "code", "storage_failed") != "storage_failed":
                    raise
                self.handle_storage_fault(error)
                gevent.sleep(PAUSE_AFTER_FAULT_SECONDS)

    def handle_forever(self):
        """Handle events as they arrive; raise the error of a failed write."""
        while True:
            self.wakeup.wait(BATCH_SECONDS if self.admission.has_waiting else None)
            self.wakeup.clear()
            self.writer.check()
            self.handle_events()

    def write_in_background(self):
        """Write a leader's entries concurrently with the event loop, until killed."""
        while True:
            try:
                self.writer.wait_and_write()
            except HingepitchError:
                # Wake the event loop, which logs the fault and reopens the folder.
                self.wakeup.set()
                gevent.sleep(PAUSE_AFTER_FAULT_SECONDS)

    def tick(self):
        """Send ticks to the core until killed."""
        while True:
            gevent.sleep(TICK_SECONDS)
            self.put(Tick())

    def handle_storage_fault(self, error):
        """Log and store a fault of the data folder; fail all waiting requests."""
        log_event("storage_failed", error=str(error))
        self.storage_fault = str(error)
        self.fail_waiters("storage_failed")
        self.refuse_queued()

    def reopen(self):
        """Recover from the disk; raise if it cannot be written."""
        self.fail_waiters("restarted")
        self.inbox.clear()
        with self.writer.lock:
            self.close()
            self.recreate_stores()
            self.open()
            self.storage.write(self.storage.vote, [])
            self.writer.reset(self.storage)
        self.storage_fault = ""

    def close(self):
        """Close the files; the next start truncates what could not be flushed."""
        for part in (self.audit, self.storage):
            try:
                part.close()
            except OSError as error:
                log_event("storage_failed", error=str(error))

    def put(self, event):
        """Queue an event for the core."""
        self.inbox.append(event)
        self.wakeup.set()

    @property
    def is_open(self):
        """Whether the data folder was opened, so that the identity is known."""
        return bool(self.core.identity)

    @property
    def is_leader(self):
        """Whether this replica leads and serves, as far as it knows.

        Another replica may have become the leader; `confirm_leadership` checks that.
        """
        return self.core.serves

    def transfer_leadership(self):
        """Transfer the leadership to another replica, for a planned stop."""
        self.put(TransferLeadership())

    def apply_up_to(self, index):
        """Apply the committed entries up to `index`; stop at an unreadable entry.

        A snapshot installed in the same step may already cover entries after it.
        """
        count = max(0, index - self.applied_index)
        for entry in self.core.log.after(self.applied_index, count):
            if self.read_fault:
                break
            try:
                self.apply_entry(entry)
            except HingepitchError as error:
                self.stop_applying(f"entry {entry.index}", error)
        self.wake_waiters()

    def stop_applying(self, what, error):
        """Stop applying entries and leading, until a version starts that can read them.

        Skipping the entry would make this state differ permanently from that of
        the other replicas. Exiting would recur at each start, and deprive the group
        of a vote that it may need.

        `what`
            The entry or the state that cannot be read.
        """
        self.read_fault = f"{what}: {error}"
        log_event("entry_unread", what=what, error=error)
        self.put(MayLead(False))
        self.fail_waiters(self.read_fault)

    def apply_entry(self, entry):
        """Apply one entry and answer the request that waits for it."""
        outcome = None
        if entry.kind is EntryKind.COMMAND:
            outcome = self.apply_command(entry)
        self.applied_index = entry.index
        self.applied_term = entry.term
        self.log_bytes += len(entry.payload)
        term, result = self.waiter_by_index.pop(entry.index, (0, None))
        if result is None:
            return
        if term == entry.term:
            result.set(outcome)
        else:
            result.set_exception(HingepitchError("lost_leadership", "overwritten"))

    def apply_command(self, entry):
        """Apply a command; record it in the audit trail if an operator sent it.

        A command that was sent again is not recorded twice. Raises
        `bad_request` if it cannot be decoded, `internal` if its rule fails.
        """
        envelope = decode_envelope(entry.payload)
        kind, name = object_of(envelope.command)
        before = self.state.get(kind, name) if kind else None
        is_audited = envelope.role is Role.OPERATOR
        is_audited &= not is_resend(self.state, envelope)
        try:
            outcome = apply(self.state, envelope, entry.index)
        except Exception as error:
            # All replicas of this version fail in the same way.
            raise HingepitchError("internal", f"applying failed: {error!r}") from error
        self.commands_applied += 1
        if is_audited:
            after = self.state.get(kind, name) if kind else None
            self.audit.add(
                AuditRecord(
                    index=entry.index,
                    at_seconds=envelope.at_seconds,
                    partner=envelope.partner,
                    operator=envelope.actor,
                    command=type(envelope.command).__name__,
                    kind=kind,
                    name=name,
                    command_id=envelope.command_id,
                    code=outcome.code,
                    before=to_plain(before),
                    after=to_plain(after),
                )
            )
        return outcome

    def snapshot_if_due(self):
        """Write a snapshot and compact the log if enough entries were applied."""
        if self.read_fault:
            return
        entries = self.applied_index - self.storage.snapshot.index
        if not is_snapshot_due(entries, self.log_bytes, self.storage.snapshot_bytes):
            return
        self.log_bytes = 0
        self.writer.write()
        snapshot = self.make_snapshot()
        snapshot.trail = self.audit.sync()
        later = self.core.log.last_index - self.applied_index
        entries = self.core.log.after(self.applied_index, later)
        self.storage.save_snapshot(snapshot, entries)
        self.core.compact(self.applied_index - ENTRIES_KEPT_BEHIND_SNAPSHOT)
        log_event("snapshot_written", index=self.applied_index)

    def receive(self, message):
        """Queue a message from another replica, if the data folder is open."""
        if self.is_open:
            self.put(Receive(message))
