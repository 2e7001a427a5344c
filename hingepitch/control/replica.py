"""
hingepitch.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~

The driver of one replica: feeds events to the consensus core, executes its
actions, and applies the committed entries to the state.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from dataclasses import replace

import gevent
from gevent.event import AsyncResult, Event

from hingepitch.clock import lease_seconds, wall_seconds
from hingepitch.control.admission import Admission, PendingCommand
from hingepitch.control.audit import AuditRecord
from hingepitch.control.consensus import Consensus
from hingepitch.control.membership import encode_members
from hingepitch.control.message import (
    Append,
    Commit,
    Durable,
    Entry,
    EntryKind,
    Install,
    MayLead,
    Message,
    MessageKind,
    Propose,
    Proposed,
    ProposeMembers,
    ReadReady,
    ReadRequest,
    Receive,
    Recovered,
    Refuse,
    RoleChanged,
    SaveVote,
    Send,
    SendSnapshot,
    SnapshotLost,
    Tick,
    TransferLeadership,
)
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.writer import LogWriter
from hingepitch.error import HingepitchError
from hingepitch.log import log_event, source_location
from hingepitch.model.apply import apply, is_resend, object_of
from hingepitch.model.codec import decode_envelope, encode_envelope, to_plain
from hingepitch.model.command import Role
from hingepitch.model.state import State

__all__ = ["Replica", "is_snapshot_due"]

TICK_SECONDS = 0.1
MAX_PROPOSALS_IN_STEP = 512
PROPOSE_SECONDS = 4.0
PAUSE_AFTER_FAULT_SECONDS = 1.0
READ_SECONDS = 2.0

#: Value of `Replica.read_fault` until the data folder is open.
NOT_OPEN = "the data folder is not open yet"

#: How long a starting replica waits for another process to release the lock of
#: its data folder, in seconds: longer than the 6 s from SIGTERM to SIGKILL.
LOCK_WAIT_SECONDS = 10.0

#: How long commands may be collected into one batch while the leader's disk is
#: writing, in seconds. A sync takes 4 to 9 ms.
BATCH_SECONDS = 0.01

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


def requires_sync(action):
    """Whether an action must be durable before the next one is executed."""
    if isinstance(action, Append):
        return not action.is_async
    return isinstance(action, SaveVote | Install)


class Replica:
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

    def transfer_leadership(self):
        """Transfer the leadership to another replica, for a planned stop."""
        self.put(TransferLeadership())

    def handle_events(self):
        """Step the core with all queued events, then execute all its actions."""
        actions = []
        while self.inbox:
            event = self.inbox.popleft()
            actions += self.core.step(event)
        waiting = self.take_proposals()
        if waiting:
            payloads = [command.payload for command in waiting]
            results = [command.result for command in waiting]
            actions += self.core.step(Propose(payloads, results))
            self.wakeup.set()
        if self.reads_waiting:
            reads, self.reads_waiting = self.reads_waiting, []
            actions += self.core.step(ReadRequest(reads))
        self.execute_actions(actions)
        self.snapshot_if_due()

    def take_proposals(self):
        """Return the next batch of commands to propose; empty to wait for more.

        While the disk is writing, commands are collected into one batch,
        because each batch costs a message to every other replica. The wait is
        at most `BATCH_SECONDS`, so a slow disk does not delay commands.
        """
        now = lease_seconds()
        if self.writer.is_behind and now - self.proposed_at < BATCH_SECONDS:
            return []
        waiting = self.admission.take(MAX_PROPOSALS_IN_STEP)
        if waiting:
            self.proposed_at = now
        return waiting

    def execute_actions(self, actions):
        """Make votes and entries durable, then execute the rest in order."""
        self.make_durable(actions)
        for action in actions:
            self.execute_action(action)

    def make_durable(self, actions):
        """Write the votes and entries of `actions` in one sync.

        If there are only a leader's own entries to write, they are written
        concurrently with the other actions.
        """
        if self.core.role == "leader" and not any(map(requires_sync, actions)):
            for action in actions:
                if isinstance(action, Append):
                    self.writer.write_later(action.entries)
            return
        self.write_in_order(actions)

    def write_in_order(self, actions):
        """Write the votes and entries of `actions`, after all earlier ones."""
        vote = None
        entries = []
        for action in actions:
            if isinstance(action, SaveVote):
                vote = (action.term, action.voted_for)
            elif isinstance(action, Append):
                entries += action.entries
            elif isinstance(action, Install):
                self.writer.write(vote, entries)
                vote, entries = None, []
                self.install(action)
        self.writer.write(vote, entries)
        for action in actions:
            if isinstance(action, Append) and action.is_async:
                last = action.entries[-1]
                self.put(Durable(last.index, last.term))

    def execute_action(self, action):
        """Execute one action; ignore the kinds that `make_durable` handles."""
        if isinstance(action, Send):
            self.send(action.message)
        elif isinstance(action, SendSnapshot):
            self.send_snapshot(action)
        elif isinstance(action, Commit):
            self.apply_up_to(action.index)
        elif isinstance(action, Proposed):
            self.register_waiter(action)
        elif isinstance(action, ReadReady):
            for result in action.token:
                result.set(action.index)
        elif isinstance(action, Refuse):
            self.refuse(action)
        elif isinstance(action, RoleChanged):
            self.on_role_changed(action)

    def send(self, message):
        """Send a message to another replica, if its address is known."""
        address = self.address_of(message.receiver)
        if address is not None:
            self.links.send(address, message)

    def on_message_lost(self, message):
        """Tell the core that a snapshot did not arrive, so it is sent again.

        Otherwise the core would wait 5 s for its acknowledgement, and a group
        that needs the receiver for its quorum would be stalled until then.
        """
        if message.kind is MessageKind.SNAPSHOT:
            self.put(SnapshotLost(message.receiver, message.term))

    def register_waiter(self, action):
        """Record the request that waits until an entry is applied."""
        self.waiter_by_index[action.index] = (action.term, action.token)

    def refuse(self, action):
        """Raise the error of a refused request in its waiters."""
        tokens = action.token if isinstance(action.token, list) else [action.token]
        for result in tokens:
            result.set_exception(HingepitchError(action.code, retry_after_ms=200))

    def on_role_changed(self, action):
        """Log a change of role; a new leader takes over the leases."""
        log_event(
            "role_changed", role=action.role, leader=action.leader, term=action.term
        )
        if action.role == "leader":
            self.roster.take_over(lease_seconds())

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

    def install(self, action):
        """Store and load a snapshot that the leader sent."""
        snapshot = Snapshot(action.index, action.term, action.members, action.snapshot)
        self.audit.record_missing_up_to(action.index)
        snapshot.trail = self.audit.sync()
        self.storage.save_snapshot(snapshot)
        self.load_snapshot(snapshot)
        log_event("snapshot_installed", index=action.index)

    def receive(self, message):
        """Queue a message from another replica, if the data folder is open."""
        if self.is_open:
            self.put(Receive(message))
