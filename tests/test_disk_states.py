"""Stateful test of the data folder under power losses, kills and disk errors.

It guards against file states that keep a replica from starting. Hypothesis writes
votes and entries, overwrites tails, writes and installs snapshots and adds audit
records. In any disk call of these steps, and of opening the folder, it injects a
power loss, a kill or a disk error. Afterwards the folder must open under the same
identity, without a quarantine. It must hold the acknowledged content, or that plus
the interrupted step, and each audit record once and in order.

Run more examples by hand: `python -m tests.test_disk_states EXAMPLES SEED`.
"""

import random
import shutil
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple
from unittest import mock

import hypothesis
import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from hingepitch.control import audit as audit_module
from hingepitch.control.audit import MISSING_COMMAND, AuditRecord, AuditTrail
from hingepitch.control.batch import Batch, encode_batch
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.snapshot import Snapshot
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.error import HingepitchError
from standin.powerdisk import CALL_NAMES, GROWING_NAMES, PowerDisk, Refusal

MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)
EXAMPLES_IN_CI = 200
STEPS = 30

#: Sizes of the audit trail's buffer and files, in bytes: small, so that a few records
#: fill a buffer and a few buffers fill a file.
BUFFER_BYTES = 250
MAX_FILE_BYTES = 1200

#: Prefix of the payload of entries that stand for operator commands.
AUDITED = b"operator"

#: Writes, and the truncations that undo a failed write; a disk may refuse both.
UNDOING_NAMES = ("write", "truncate")
SYNCING_NAMES = ("sync", "sync_folder")


class InjectedFault(NamedTuple):
    """A fault injected into one step.

    `kind`
        `power`, `kill` or `refused`.
    `after`
        Number of disk calls of the step that succeed first.
    `seed`
        Seed of the outcome of a power loss.
    `count`, `names`, `part`
        Refused calls, as in `Refusal`; a kill refuses all later calls.
    """

    kind: str
    after: int
    seed: int
    count: int = 1
    names: tuple = CALL_NAMES
    part: float = 0.0

    def arm(self, disk):
        """Let the fault occur in the following disk calls."""
        if self.kind == "power":
            disk.lose_power_after(self.after)
        else:
            count = None if self.kind == "kill" else self.count
            disk.refuse(Refusal(self.after, count, self.names, self.part))


class Content(NamedTuple):
    """The expected content of a data folder.

    `trail`
        The audit trail up to the snapshot: the log index of each record, or a pair
        `(missing_after, index)` for missing records.
    """

    vote: tuple
    snapshot: tuple
    entries: tuple
    trail: tuple


#: Disk calls before a fault: a write takes two calls, a snapshot about 12.
FEW_CALLS = st.integers(0, 2)
MANY_CALLS = st.integers(0, 13)

seeds = st.integers(0, 999)
parts = st.sampled_from((0.0, 0.3, 0.6, 1.0))
refused_names = st.sampled_from(
    (CALL_NAMES, GROWING_NAMES, UNDOING_NAMES, SYNCING_NAMES, ("truncate",))
)


def faults_after(calls):
    """Return the strategy of faults after `calls` disk calls."""
    return st.one_of(
        st.builds(InjectedFault, st.just("power"), calls, seeds),
        st.builds(InjectedFault, st.just("power"), calls, seeds),
        st.builds(InjectedFault, st.just("kill"), calls, seeds, part=parts),
        st.builds(
            InjectedFault,
            st.just("refused"),
            calls,
            seeds,
            count=st.integers(1, 4),
            names=refused_names,
            part=parts,
        ),
    )


early_fault = st.one_of(st.none(), faults_after(FEW_CALLS))
late_fault = st.one_of(st.none(), faults_after(MANY_CALLS))
faults_at_open = st.lists(faults_after(st.integers(0, 6)), max_size=2)
payload_sizes = st.sampled_from((0, 20, 300, 5000, 13000))


class DataFolder(RuleBasedStateMachine):
    """State machine of one data folder and its expected content.

    `held`
        The acknowledged content.
    `attempted`
        The content after the failed step, which is allowed too.
    `commit_index`
        Index of the last committed entry; committed entries are never overwritten.
    """

    def __init__(self):
        super().__init__()
        self.folder = Path(tempfile.mkdtemp(prefix="hingepitch-disk-")) / "data"
        self.patches = mock.patch.multiple(
            audit_module, BUFFER_BYTES=BUFFER_BYTES, MAX_FILE_BYTES=MAX_FILE_BYTES
        )
        self.patches.start()
        self.storage = self.audit = None
        self.count = 0

    @initialize()
    def found(self):
        self.disk = PowerDisk(self.folder)
        bootstrap_folder(self.folder, "c1", MEMBERS, self.disk)
        self.held = Content((0, ""), (0, 0, b""), (), ())
        self.attempted = self.held
        self.commit_index = 0
        self.trail = ()
        self.reopen([])

    def teardown(self):
        self.close_files()
        self.patches.stop()
        shutil.rmtree(self.folder.parent)

    def close_files(self):
        """Close the files without flushing, as the end of a process does."""
        audit, self.audit = self.audit, None
        storage, self.storage = self.storage, None
        if audit is not None and audit.file is not None:
            audit.file.close()
        if storage is not None:
            storage.close()

    def stop(self):
        """Close the files as a program does before it stops or opens them again."""
        for part in (self.audit, self.storage):
            try:
                part.close()
            except OSError:
                pass
        self.close_files()

    def end(self, fault):
        """End the process in the way of the injected fault."""
        if fault.kind == "refused":
            self.stop()
            return
        self.close_files()
        self.disk.refuse(None)
        if fault.kind == "power":
            self.disk.lose_power(random.Random(fault.seed))

    def open_once(self):
        """Open the folder as a replica does, and check its content.

        A start does not write the content again, so content that was read must
        survive the next power loss.
        """
        self.storage = Storage(self.folder, "c1", self.disk)
        self.audit = AuditTrail(self.folder, self.disk)
        recovered = self.storage.open()
        snapshot = self.storage.snapshot
        self.check(recovered, snapshot)
        self.audit.open(snapshot.trail, snapshot.index)
        self.apply_committed()

    def reopen(self, faults):
        """Open the folder once with each fault, then without a fault."""
        for fault in faults:
            fault.arm(self.disk)
            if self.try_to_open() and fault.kind != "power":
                self.stop()
            else:
                self.end(fault)
        self.disk.refuse(None)
        self.disk.lose_power_after(None)
        assert self.try_to_open()

    def try_to_open(self):
        """Open the folder; return whether it opened without a disk error."""
        try:
            self.open_once()
        except OSError:
            return False
        except HingepitchError as error:
            assert error.code == "storage_failed", error
            return False
        return True

    def check(self, recovered, snapshot):
        """Compare the recovered content with the expected one."""
        assert not self.storage.quarantine_reason
        assert recovered.identity == "c1"
        assert recovered.members == MEMBERS
        vote = (recovered.term, recovered.voted_for)
        place = (snapshot.index, snapshot.term, snapshot.state)
        found = (vote, place, tuple(recovered.entries))
        fitting = [one for one in (self.held, self.attempted) if one[:3] == found]
        assert fitting, (found, self.held, self.attempted)
        self.held = self.attempted = fitting[-1]
        self.trail = self.held.trail
        indices = [entry.index for entry in recovered.entries]
        first = snapshot.index + 1
        assert indices == list(range(first, first + len(indices)))

    def apply_committed(self):
        """Apply the committed entries after the snapshot and check the trail."""
        self.apply_up_to(self.held.snapshot[0], self.commit_index)
        self.check_trail()

    def check_trail(self):
        """Compare the audit trail with the added records."""
        found = tuple(
            (record.missing_after, record.index)
            if record.command == MISSING_COMMAND
            else record.index
            for record in self.audit.read()
        )
        assert found == self.trail

    def attempt(self, step, content, fault):
        """Carry out a step with an injected fault or None."""
        self.attempted = content
        if fault is not None:
            fault.arm(self.disk)
        try:
            step()
        except OSError:
            is_done = False
        except HingepitchError as error:
            assert error.code == "storage_failed", error
            is_done = False
        else:
            is_done = True
            self.held = content
        assert is_done or fault is not None
        if is_done and self.disk.has_power:
            self.disk.refuse(None)
            self.disk.lose_power_after(None)
            return
        self.end(fault)
        self.reopen([])

    @property
    def last_index(self):
        """Log index of the last acknowledged entry."""
        return self.held.snapshot[0] + len(self.held.entries)

    def apply_up_to(self, start, end):
        """Add the audit records of the entries after `start`, up to `end`."""
        for entry in self.held.entries:
            if start < entry.index <= end and entry.payload.startswith(AUDITED):
                if entry.index > self.last_trail_index():
                    self.trail += (entry.index,)
                record = AuditRecord(
                    entry.index, 1, "journeys", "someone", "PutVm", "vm", "name"
                )
                self.audit.add(record)

    def last_trail_index(self):
        """Log index of the last record of the trail."""
        last = self.trail[-1] if self.trail else 0
        return last[1] if isinstance(last, tuple) else last

    @rule(
        is_vote=st.booleans(),
        sizes=st.lists(payload_sizes, max_size=4),
        over=st.integers(0, 3),
        fault=early_fault,
    )
    def write(self, is_vote, sizes, over, fault):
        """Write a vote or entries, which may replace uncommitted entries."""
        old = self.held
        over = min(over, self.last_index - self.commit_index)
        if not is_vote and not sizes:
            return
        term = old.vote[0] + int(is_vote or over > 0)
        vote = (term, f"c{self.count % 3}") if is_vote or over else None
        start = self.last_index - over + 1
        new = [self.make_entry(start + at, term, size) for at, size in enumerate(sizes)]
        kept = old.entries[: start - old.snapshot[0] - 1] if new else old.entries
        content = old._replace(vote=vote or old.vote, entries=(*kept, *new))
        self.attempt(lambda: self.storage.write(vote, new), content, fault)

    def make_entry(self, index, term, size):
        """Return an entry with a unique payload."""
        self.count += 1
        begin = AUDITED if self.count % 3 else b"other"
        payload = begin + b" %d " % self.count + self.nested_record()
        return Entry(index, term, EntryKind.COMMAND, payload + bytes([37]) * size)

    def nested_record(self):
        """Return an old log record to embed in some payloads, otherwise nothing."""
        if self.count % 2 or self.storage.sequence < 2:
            return b""
        return b" " * 4096 + encode_batch(Batch(self.storage.sequence - 1, None, ()))

    @rule(count=st.integers(1, 3), fault=early_fault)
    def commit(self, count, fault):
        """Apply entries, which adds audit records without a sync."""
        start = self.commit_index
        self.commit_index = min(self.last_index, start + count)
        end = self.commit_index
        self.attempt(lambda: self.apply_up_to(start, end), self.held, fault)

    @rule(fault=late_fault)
    def save_snapshot(self, fault):
        """Write a snapshot with the entries after it."""
        old, index = self.held, self.commit_index
        if index == old.snapshot[0]:
            return
        at = index - old.snapshot[0]
        term = old.entries[at - 1].term
        self.count += 1
        snapshot = Snapshot(index, term, MEMBERS, b"state %d" % self.count * 500)
        behind = old.entries[at:]
        content = old._replace(
            snapshot=(index, term, snapshot.state), entries=behind, trail=self.trail
        )
        self.attempt(lambda: self.write_snapshot(snapshot, behind), content, fault)

    def write_snapshot(self, snapshot, behind):
        """Write a snapshot as `Replica.snapshot_if_due` does."""
        snapshot.trail = self.audit.sync()
        self.storage.save_snapshot(snapshot, behind)

    @rule(ahead=st.integers(1, 5), fault=late_fault)
    def install(self, ahead, fault):
        """Install a snapshot of another replica, as `Replica.install` does."""
        old = self.held
        index = self.last_index + ahead
        term = old.vote[0]
        self.count += 1
        snapshot = Snapshot(index, term, MEMBERS, b"installed %d" % self.count * 400)
        trail = (*self.trail, (self.last_trail_index(), index))
        content = old._replace(
            snapshot=(index, term, snapshot.state), entries=(), trail=trail
        )
        self.attempt(lambda: self.write_installed(snapshot), content, fault)
        if self.held is content:
            self.trail = trail
            self.commit_index = index

    def write_installed(self, snapshot):
        """Write an installed snapshot."""
        self.audit.record_missing_up_to(snapshot.index)
        self.write_snapshot(snapshot, ())

    @rule(fault=faults_after(FEW_CALLS), faults=faults_at_open)
    def end_and_reopen(self, fault, faults):
        """End the process between two steps; open it with injected faults."""
        self.end(fault)
        self.reopen(faults)

    @rule(fault=early_fault)
    def write_nothing(self, fault):
        """Write the current vote again, as a replica does after reopening its files."""
        self.attempt(
            lambda: self.storage.write(self.storage.vote, []), self.held, fault
        )

    @rule()
    def read_trail(self):
        """Check the audit trail while it is open for writing."""
        self.check_trail()


def run(examples, is_seeded):
    """Run the state machine for a number of examples."""
    run_state_machine_as_test(
        DataFolder,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            derandomize=is_seeded,
            # Shrinking is left to runs by hand: a failure shows within seconds.
            phases=(Phase.generate,) if is_seeded else tuple(Phase),
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.fixture
def no_log_lines():
    """Disable logging: a run writes thousands of lines."""
    logger.disable("hingepitch")
    yield
    logger.enable("hingepitch")


@pytest.mark.usefixtures("no_log_lines")
def test_the_data_folder_holds_what_was_acknowledged_on_a_disk_with_troubles():
    run(EXAMPLES_IN_CI, is_seeded=True)


def main():
    """Run the examples and the seed given on the command line."""
    logger.disable("hingepitch")
    examples, seed = map(int, sys.argv[1:])
    hypothesis.seed(seed)(lambda: run(examples, is_seeded=False))()


if __name__ == "__main__":
    main()
