"""
hingepitch.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~

The driver of one replica: feeds the consensus core, makes its actions
durable and real, applies what is committed.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from dataclasses import replace

import gevent
from gevent.event import AsyncResult, Event

from hingepitch.clock import lease_seconds, wall_seconds
from hingepitch.control.admission import Admission, Waiting
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
    Transfer,
)
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.writer import LogWriter
from hingepitch.error import HingepitchError
from hingepitch.log import log_event, place_of
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

#: Why there is no state before the data folder is open.
NOT_OPEN = "the data folder before it is open"

#: How long a start waits for the process that has its data folder, in seconds.
#: Source: longer than a process has between SIGTERM and SIGKILL (6 s).
LOCKED_SECONDS = 10.0

#: Commands gather for one batch while the leader's disk writes, but no longer
#: than this, in seconds. Source: a sync takes 4 to 9 ms on the disks played.
BATCH_SECONDS = 0.01

#: Entries applied between two snapshots, at least and at most, and kept in
#: memory behind one. Source: a replica that starts applies about 7,000 entries
#: a second, and the first order of a new leader waits for that.
SNAPSHOT_EVERY = 1024
SNAPSHOT_EVERY_AT_MOST = 2048
KEEP_BEHIND_SNAPSHOT = 1024


def is_snapshot_due(entries, log_bytes, snapshot_bytes):
    """Whether to write a snapshot after `entries` of `log_bytes`.

    A large state is written less often: a busy replica of a large site wrote
    all of its state every two seconds.

    `snapshot_bytes`
        Size of the last snapshot.
    """
    if entries < SNAPSHOT_EVERY:
        return False
    return log_bytes >= snapshot_bytes or entries >= SNAPSHOT_EVERY_AT_MOST


def must_wait(action):
    """Whether an action has to be durable before the next one is carried out."""
    if isinstance(action, Append):
        return not action.is_ahead
    return isinstance(action, SaveVote | Install)


class Replica:
    """One replica of the control group.

    `storage`, `audit`, `links`, `roster`
        The parts it drives.
    `address_of`
        Function from an identity to its address, or None.
    `seed`
        Seed of the election timeouts.
    `unread`
        The entry or the state that cannot be read, and why; empty if all can.
        What comes after it is stored but not applied, so `state` is not used.
    """

    def __init__(self, storage, audit, links, roster, address_of, seed):
        self.storage = storage
        self.writer = LogWriter(storage, self.put)
        self.audit = audit
        self.links = links
        self.links.on_lost = self.note_lost
        self.roster = roster
        self.address_of = address_of
        self.seed = seed
        # Belongs to no group, so it neither votes nor leads.
        self.core = Consensus(Recovered(identity=""), seed)
        self.state = State()
        self.applied_index = 0
        self.applied_term = 0
        self.inbox = deque()
        self.arrived = Event()
        self.changed = Event()
        self.admission = Admission()
        self.waiter_by_index = {}
        self.reads_waiting = []
        self.commands_applied = 0
        self.log_bytes = 0
        self.proposed_at = 0.0
        self.storage_fault = ""
        self.unread = NOT_OPEN
        self.must_reopen = False

    # Life cycle.

    def open(self):
        """Recover from the data folder."""
        recovered = self.storage.open()
        snapshot = self.storage.snapshot
        self.audit.open(snapshot.trail, snapshot.index)
        self.core = Consensus(recovered, f"{self.seed}/{recovered.identity}")
        self.load_snapshot(self.storage.snapshot)

    def open_when_possible(self, stopping):
        """Open the data folder as soon as it can be used.

        Whatever keeps it from that is no reason to end the program: its next
        start would meet the same, and until then nobody could ask it why. But a
        process that has the folder and stays is, for then somebody started two.

        `stopping`
            Event after which nobody waits.

        Raises `HingepitchError` (`folder_locked`).
        """
        locked_until = lease_seconds() + LOCKED_SECONDS
        while not stopping.is_set():
            try:
                self.open()
                self.storage_fault = ""
                return
            except (OSError, HingepitchError) as error:
                is_locked = getattr(error, "code", "") == "folder_locked"
                if is_locked and lease_seconds() > locked_until:
                    raise
                self.note_storage_fault(error)
            except Exception as error:
                self.note_storage_fault(f"{error!r} at {place_of(error)}")
            self.close()
            stopping.wait(PAUSE_AFTER_FAULT_SECONDS)
            self.renew_files()
            self.writer.reset(self.storage)

    def renew_files(self):
        """Take the data folder as if it had never been opened."""
        self.storage = self.storage.anew()
        self.audit = self.audit.anew()

    def load_snapshot(self, snapshot):
        """Take the state of `snapshot`; one that cannot be read stays stored."""
        self.unread = ""
        self.state = State()
        self.applied_index = snapshot.index
        self.applied_term = snapshot.term
        try:
            if snapshot.state:
                self.state = State.from_snapshot(snapshot.state)
            self.put(MayLead(True))
        except HingepitchError as error:
            self.note_unread(f"state at {snapshot.index}", error)
        except Exception as error:
            # A fault of this version; the log is sound, and so is its vote.
            self.note_unread(f"state at {snapshot.index}", repr(error))
        self.wake_followers()

    def run(self):
        """Handle events until killed.

        After any failure the core may be ahead of the disk, so everything
        starts anew from the disk, which has all that was acknowledged.
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
                self.note_storage_fault(error)
                gevent.sleep(PAUSE_AFTER_FAULT_SECONDS)

    def handle_forever(self):
        """Handle events as they come."""
        while True:
            self.arrived.wait(BATCH_SECONDS if self.admission.has_waiting else None)
            self.arrived.clear()
            self.writer.check()
            self.handle_events()

    def write_ahead(self):
        """Write the entries of a leader beside the loop until killed."""
        while True:
            try:
                self.writer.wait_and_write()
            except HingepitchError:
                # The loop finds the fault, logs it, and starts anew.
                self.arrived.set()
                gevent.sleep(PAUSE_AFTER_FAULT_SECONDS)

    def tick(self):
        """Give the core its ticks until killed."""
        while True:
            gevent.sleep(TICK_SECONDS)
            self.put(Tick())

    def note_storage_fault(self, error):
        """Log a fault of the data folder, and tell who waits."""
        log_event("storage_failed", error=str(error))
        self.storage_fault = str(error)
        self.fail_waiters("storage_failed")
        self.refuse_waiting()

    def reopen(self):
        """Start anew from the disk; raise if it cannot be written."""
        self.fail_waiters("restarted")
        self.inbox.clear()
        with self.writer.lock:
            self.close()
            self.renew_files()
            self.open()
            self.storage.write(self.storage.vote, [])
            self.writer.reset(self.storage)
        self.storage_fault = ""

    def close(self):
        """Close the files; what cannot be flushed is cut at the next start."""
        for part in (self.audit, self.storage):
            try:
                part.close()
            except OSError as error:
                log_event("storage_failed", error=str(error))

    def put(self, event):
        """Queue an event for the core."""
        self.inbox.append(event)
        self.arrived.set()

    # Requests of the other parts of this process.

    @property
    def is_open(self):
        """Whether the data folder was opened, so that this replica is somebody."""
        return bool(self.core.identity)

    @property
    def is_leader(self):
        """Whether this replica leads, as far as it knows."""
        return self.core.serves

    def leader_address(self):
        """Return the address of the leader, or raise `no_leader`."""
        address = self.address_of(self.core.leader) if self.core.leader else None
        if address is None:
            raise HingepitchError("no_leader", "", retry_after_ms=1000)
        return address

    def propose(self, envelope):
        """Put a command into the log; return its `Outcome`.

        Raises `HingepitchError`: `not_leader`, `queue_full`,
        `storage_failed`, or `lost_leadership` when the outcome is unknown.
        """
        self.check_storage()
        if not self.is_leader:
            raise HingepitchError("not_leader", retry_after_ms=200)
        stamped = replace(envelope, at_seconds=wall_seconds())
        result = AsyncResult()
        lane = envelope.partner or envelope.role.value
        self.admission.put(lane, Waiting(encode_envelope(stamped), result))
        self.arrived.set()
        return self.wait_for(result, PROPOSE_SECONDS)

    def change_members(self, members):
        """Change the members; return once that is committed."""
        result = AsyncResult()
        self.put(ProposeMembers(members, result))
        return self.wait_for(result, PROPOSE_SECONDS)

    def confirm(self):
        """Return once this replica is known to lead, and has applied all.

        What was accepted before the call is then in `state`. Raises
        `HingepitchError` (`not_leader`, `storage_failed`).
        """
        self.check_storage()
        if not self.is_open:
            raise HingepitchError("not_leader", retry_after_ms=200)
        result = AsyncResult()
        self.reads_waiting.append(result)
        self.arrived.set()
        index = self.wait_for(result, READ_SECONDS)
        self.wait_applied(index, READ_SECONDS)
        return index

    def check_storage(self):
        """Refuse at once while the data folder cannot be written."""
        if self.storage_fault:
            raise self.storage_error()

    def storage_error(self):
        """Return the error for who asks while the data folder cannot be written."""
        detail = self.storage_fault
        return HingepitchError("storage_failed", detail, retry_after_ms=1000)

    def check_read(self):
        """Raise `lost_leadership` while the state lacks an entry.

        Whoever asks may ask another replica then.
        """
        if self.unread:
            raise HingepitchError("lost_leadership", self.unread, retry_after_ms=1000)

    def wait_for(self, result, seconds):
        """Return the value of `result`; raise `lost_leadership` on time-out."""
        try:
            return result.get(timeout=seconds)
        except gevent.Timeout:
            raise HingepitchError("lost_leadership", "no quorum in time") from None

    def wait_applied(self, index, seconds):
        """Return once `index` is applied; raise `lost_leadership`."""
        deadline = lease_seconds() + seconds
        self.check_read()
        while self.applied_index < index:
            if not self.wait_change(deadline - lease_seconds()):
                raise HingepitchError("lost_leadership", "not applied in time")
            self.check_read()

    def wait_change(self, seconds):
        """Wait for a change of the state; return whether there was one."""
        return seconds > 0 and self.changed.wait(seconds)

    def wake_followers(self):
        """Wake everyone who waits for a change."""
        self.changed.set()
        self.changed = Event()

    def transfer(self):
        """Hand the leadership to another replica, for a planned stop."""
        self.put(Transfer())

    # The loop.

    def handle_events(self):
        """Step the core with everything that waits, then act once."""
        actions = []
        while self.inbox:
            event = self.inbox.popleft()
            actions += self.core.step(event)
        waiting = self.take_proposals()
        if waiting:
            payloads = [command.payload for command in waiting]
            results = [command.result for command in waiting]
            actions += self.core.step(Propose(payloads, results))
            self.arrived.set()
        if self.reads_waiting:
            reads, self.reads_waiting = self.reads_waiting, []
            actions += self.core.step(ReadRequest(reads))
        self.carry_out(actions)
        self.snapshot_if_due()

    def take_proposals(self):
        """Return the commands that are proposed together now.

        While the disk writes, commands gather into one batch: each batch costs
        a message to every other replica. A disk that is slow is not waited for.
        """
        now = lease_seconds()
        if self.writer.is_behind and now - self.proposed_at < BATCH_SECONDS:
            return []
        waiting = self.admission.take(MAX_PROPOSALS_IN_STEP)
        if waiting:
            self.proposed_at = now
        return waiting

    def carry_out(self, actions):
        """Make what must be durable durable, then do the rest in order."""
        self.make_durable(actions)
        for action in actions:
            self.act(action)

    def make_durable(self, actions):
        """Write the votes and entries of `actions` in one sync.

        What a leader appends, and nothing else, is written while the other
        actions are carried out.
        """
        if self.core.role == "leader" and not any(map(must_wait, actions)):
            for action in actions:
                if isinstance(action, Append):
                    self.writer.write_later(action.entries)
            return
        self.write_in_order(actions)

    def write_in_order(self, actions):
        """Write the votes and entries of `actions`, after all before them."""
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
            if isinstance(action, Append) and action.is_ahead:
                last = action.entries[-1]
                self.put(Durable(last.index, last.term))

    def act(self, action):
        """Carry out one action that needs no disk."""
        if isinstance(action, Send):
            self.send(action.message)
        elif isinstance(action, SendSnapshot):
            self.send_snapshot(action)
        elif isinstance(action, Commit):
            self.apply_up_to(action.index)
        elif isinstance(action, Proposed):
            self.expect(action)
        elif isinstance(action, ReadReady):
            for result in action.token:
                result.set(action.index)
        elif isinstance(action, Refuse):
            self.refuse(action)
        elif isinstance(action, RoleChanged):
            self.note_role(action)

    def send(self, message):
        """Send a message to another replica, if its address is known."""
        address = self.address_of(message.receiver)
        if address is not None:
            self.links.send(address, message)

    def note_lost(self, message):
        """Have a snapshot that did not arrive sent again soon.

        It is not waited for as long as for one that may be on its way: a group
        in which its receiver is needed rests until then (5 s before).
        """
        if message.kind is MessageKind.SNAPSHOT:
            self.put(SnapshotLost(message.receiver, message.term))

    def expect(self, action):
        """Remember who waits for the entry at an index."""
        self.waiter_by_index[action.index] = (action.term, action.token)

    def refuse(self, action):
        """Tell the waiters of a refused request."""
        tokens = action.token if isinstance(action.token, list) else [action.token]
        for result in tokens:
            result.set_exception(HingepitchError(action.code, retry_after_ms=200))

    def note_role(self, action):
        """Log a change of role, and take over the leases when leading."""
        log_event(
            "role_changed", role=action.role, leader=action.leader, term=action.term
        )
        if action.role == "leader":
            self.roster.take_over(lease_seconds())

    def fail_waiters(self, code):
        """Tell everyone who waits for an entry that it may be lost."""
        for _, result in self.waiter_by_index.values():
            result.set_exception(HingepitchError("lost_leadership", code))
        self.waiter_by_index.clear()

    def refuse_waiting(self):
        """Refuse the commands that are not in the log, and the reads.

        They would wait until their time is up (4 s), without a chance.
        """
        waiting = self.admission.take(self.admission.size)
        results = [one.result for one in waiting]
        reads, self.reads_waiting = self.reads_waiting, []
        for result in results + reads:
            result.set_exception(self.storage_error())

    # Applying.

    def apply_up_to(self, index):
        """Apply the committed entries up to `index`, or to one that is unread.

        A state that was installed in the same step may already be further.
        """
        count = max(0, index - self.applied_index)
        for entry in self.core.log.after(self.applied_index, count):
            if self.unread:
                break
            try:
                self.apply_entry(entry)
            except HingepitchError as error:
                self.note_unread(f"entry {entry.index}", error)
        self.wake_followers()

    def note_unread(self, what, error):
        """Apply nothing more, and lead no more, until a version does that can.

        An entry that was passed over would make this state differ from that of
        the others for good. Ended by it, the program would end at each start,
        and take with it a vote that the others need.
        """
        self.unread = f"{what}: {error}"
        log_event("entry_unread", what=what, error=error)
        self.put(MayLead(False))
        self.fail_waiters(self.unread)

    def apply_entry(self, entry):
        """Apply one entry and tell who waits for it."""
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
        """Apply a command; add it to the audit trail if an operator's.

        Raises `bad_request` if it cannot be read, `internal` if its rule fails.
        """
        envelope = decode_envelope(entry.payload)
        kind, name = object_of(envelope.command)
        before = self.state.get(kind, name) if kind else None
        is_audited = envelope.role is Role.OPERATOR
        is_audited &= not is_resend(self.state, envelope)
        try:
            outcome = apply(self.state, envelope, entry.index)
        except Exception as error:
            # All replicas of this version fail at it, whatever it was.
            raise HingepitchError("internal", f"a rule failed: {error!r}") from error
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

    # Snapshots.

    def snapshot_if_due(self):
        """Write a snapshot when enough entries were applied."""
        if self.unread:
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
        self.core.compact(self.applied_index - KEEP_BEHIND_SNAPSHOT)
        log_event("snapshot_written", index=self.applied_index)

    def make_snapshot(self):
        """Return the present state as a `Snapshot`."""
        return Snapshot(
            index=self.applied_index,
            term=self.applied_term,
            members=self.core.members_at(self.applied_index),
            state=self.state.to_snapshot(),
        )

    def send_snapshot(self, action):
        """Send the present state to a follower that is too far behind."""
        if self.unread:
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
        """Replace the state by the snapshot of the leader."""
        snapshot = Snapshot(action.index, action.term, action.members, action.snapshot)
        self.audit.skip_to(action.index)
        snapshot.trail = self.audit.sync()
        self.storage.save_snapshot(snapshot)
        self.load_snapshot(snapshot)
        log_event("snapshot_installed", index=action.index)

    def receive(self, message):
        """Take a message of another replica, if the data folder is open."""
        if self.is_open:
            self.put(Receive(message))
