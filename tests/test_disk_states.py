"""The data folder on a disk that loses power, in any state it can come to.

A control program that did not start after a loss of power had met a state of
its files that nobody had thought of. So hypothesis looks for such states: it
writes votes and entries, overwrites tails, writes and installs snapshots, adds
to the audit trail, and in any call of any of these, the opening among them, it
takes the power, kills the program, or has the disk refuse. After that the
folder opens without being set aside, under the same identity, and holds what
was acknowledged or that and the one step under way: nothing older, nothing
that was never written, the audit records once each and in order.

A long run by hand: `python -m tests.test_disk_states EXAMPLES SEED`.
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
from hingepitch.control.storage import Storage, found_folder
from hingepitch.error import HingepitchError
from standin.powerdisk import CALL_NAMES, GROWING_NAMES, PowerDisk, Refusal

MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)
EXAMPLES_IN_CI = 200
STEPS = 30

#: Sizes of the audit trail, in bytes: small, so that a few records fill a buffer
#: and a few buffers a file.
BUFFER_BYTES = 250
MAX_FILE_BYTES = 1200

#: Begins the payload of an entry that is an operator's command.
AUDITED = b"operator"

#: Calls that make room or undo; a disk may refuse them together with writes.
UNDOING_NAMES = ("write", "truncate")
SYNCING_NAMES = ("sync", "sync_folder")


class Trouble(NamedTuple):
    """What goes wrong during one step.

    `kind`
        `power`, `kill` or `refused`.
    `after`
        So many calls of the step go well.
    `seed`
        Of what a loss of power leaves.
    """

    kind: str
    after: int
    seed: int
    count: int = 1
    names: tuple = CALL_NAMES
    part: float = 0.0

    def arm(self, disk):
        """Have it come about in the calls that follow."""
        if self.kind == "power":
            disk.lose_power_after(self.after)
        else:
            count = None if self.kind == "kill" else self.count
            disk.refuse(Refusal(self.after, count, self.names, self.part))


class Content(NamedTuple):
    """What a data folder holds.

    `trail`
        The audit trail as far as the snapshot covers it: the place of each
        record, or first and last place of those that are missing.
    """

    vote: tuple
    snapshot: tuple
    entries: tuple
    trail: tuple


#: Calls that go well before a trouble: a write is two calls, a snapshot about 12.
FEW = st.integers(0, 2)
MANY = st.integers(0, 13)

seeds = st.integers(0, 999)
parts = st.sampled_from((0.0, 0.3, 0.6, 1.0))
refused_names = st.sampled_from(
    (CALL_NAMES, GROWING_NAMES, UNDOING_NAMES, SYNCING_NAMES, ("truncate",))
)


def troubles_after(calls):
    """Return the strategy of the troubles after so many calls."""
    return st.one_of(
        st.builds(Trouble, st.just("power"), calls, seeds),
        st.builds(Trouble, st.just("power"), calls, seeds),
        st.builds(Trouble, st.just("kill"), calls, seeds, part=parts),
        st.builds(
            Trouble,
            st.just("refused"),
            calls,
            seeds,
            count=st.integers(1, 4),
            names=refused_names,
            part=parts,
        ),
    )


soon = st.one_of(st.none(), troubles_after(FEW))
late = st.one_of(st.none(), troubles_after(MANY))
troubles_at_opening = st.lists(troubles_after(st.integers(0, 6)), max_size=2)
payload_sizes = st.sampled_from((0, 20, 300, 5000, 13000))


class DataFolder(RuleBasedStateMachine):
    """One data folder, and what has to be in it.

    `held`
        What was acknowledged.
    `attempted`
        What may be there in its place: the step that failed.
    `commit_index`
        Entries up to it are never overwritten.
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
        found_folder(self.folder, "c1", MEMBERS, self.disk)
        self.held = Content((0, ""), (0, 0, b""), (), ())
        self.attempted = self.held
        self.commit_index = 0
        self.trail = ()
        self.reopen([])

    def teardown(self):
        self.let_go()
        self.patches.stop()
        shutil.rmtree(self.folder.parent)

    # The process.

    def let_go(self):
        """Close the files as the end of a process does: nothing is flushed."""
        audit, self.audit = self.audit, None
        storage, self.storage = self.storage, None
        if audit is not None and audit.file is not None:
            audit.file.close()
        if storage is not None:
            storage.close()

    def stop(self):
        """Close the files as a program does that stops, or opens them anew."""
        for part in (self.audit, self.storage):
            try:
                part.close()
            except OSError:
                pass
        self.let_go()

    def end(self, how):
        """End the process in the way of a trouble."""
        if how.kind == "refused":
            self.stop()
            return
        self.let_go()
        self.disk.refuse(None)
        if how.kind == "power":
            self.disk.lose_power(random.Random(how.seed))

    def open_once(self):
        """Open the folder as a replica does, and check what it holds.

        A program that starts writes nothing by that: what it read has to last.
        """
        self.storage = Storage(self.folder, "c1", self.disk)
        self.audit = AuditTrail(self.folder, self.disk)
        recovered = self.storage.open()
        snapshot = self.storage.snapshot
        self.check(recovered, snapshot)
        self.audit.open(snapshot.trail, snapshot.index)
        self.apply_again()

    def reopen(self, troubles):
        """Open the folder with these troubles on the way, and then without."""
        for how in troubles:
            how.arm(self.disk)
            if self.try_to_open() and how.kind != "power":
                self.stop()
            else:
                self.end(how)
        self.disk.refuse(None)
        self.disk.lose_power_after(None)
        assert self.try_to_open()

    def try_to_open(self):
        """Open the folder; return whether the disk let it."""
        try:
            self.open_once()
        except OSError:
            return False
        except HingepitchError as error:
            assert error.code == "storage_failed", error
            return False
        return True

    def check(self, recovered, snapshot):
        """Compare what was recovered with what has to be there."""
        assert not self.storage.set_aside_reason
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

    def apply_again(self):
        """Apply what is committed, from the snapshot on, and compare the trail."""
        self.apply_up_to(self.held.snapshot[0], self.commit_index)
        self.check_trail()

    def check_trail(self):
        """Compare the audit trail with the records that were added."""
        found = tuple(
            (record.missing_after, record.index)
            if record.command == MISSING_COMMAND
            else record.index
            for record in self.audit.read()
        )
        assert found == self.trail

    # Steps.

    def attempt(self, step, content, how):
        """Carry a step out, with a trouble or None on the way."""
        self.attempted = content
        if how is not None:
            how.arm(self.disk)
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
        assert is_done or how is not None
        if is_done and self.disk.has_power:
            self.disk.refuse(None)
            self.disk.lose_power_after(None)
            return
        self.end(how)
        self.reopen([])

    @property
    def last_index(self):
        """Place of the last entry that was acknowledged."""
        return self.held.snapshot[0] + len(self.held.entries)

    def apply_up_to(self, start, end):
        """Add the audit records of the entries after `start` up to `end`."""
        for entry in self.held.entries:
            if start < entry.index <= end and entry.payload.startswith(AUDITED):
                if entry.index > self.last_of_trail():
                    self.trail += (entry.index,)
                record = AuditRecord(
                    entry.index, 1, "journeys", "someone", "PutVm", "vm", "name"
                )
                self.audit.add(record)

    def last_of_trail(self):
        """Place of the last record of the trail."""
        last = self.trail[-1] if self.trail else 0
        return last[1] if isinstance(last, tuple) else last

    @rule(
        is_vote=st.booleans(),
        sizes=st.lists(payload_sizes, max_size=4),
        over=st.integers(0, 3),
        how=soon,
    )
    def write(self, is_vote, sizes, over, how):
        """Write a vote or entries, perhaps in the place of a tail."""
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
        self.attempt(lambda: self.storage.write(vote, new), content, how)

    def make_entry(self, index, term, size):
        """Return an entry that is like no other."""
        self.count += 1
        begin = AUDITED if self.count % 3 else b"other"
        payload = begin + b" %d " % self.count + self.nested_record()
        return Entry(index, term, EntryKind.COMMAND, payload + bytes([37]) * size)

    def nested_record(self):
        """Return now and then a record of the log, as a part of a payload."""
        if self.count % 2 or self.storage.sequence < 2:
            return b""
        return b" " * 4096 + encode_batch(Batch(self.storage.sequence - 1, None, ()))

    @rule(count=st.integers(1, 3), how=soon)
    def commit(self, count, how):
        """Apply some entries; their audit records are not synced."""
        start = self.commit_index
        self.commit_index = min(self.last_index, start + count)
        end = self.commit_index
        self.attempt(lambda: self.apply_up_to(start, end), self.held, how)

    @rule(how=late)
    def save_snapshot(self, how):
        """Write a snapshot, with the entries behind it."""
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
        self.attempt(lambda: self.write_snapshot(snapshot, behind), content, how)

    def write_snapshot(self, snapshot, behind):
        """Write a snapshot as `Replica.snapshot_if_due` does."""
        snapshot.trail = self.audit.sync()
        self.storage.save_snapshot(snapshot, behind)

    @rule(ahead=st.integers(1, 5), how=late)
    def install(self, ahead, how):
        """Install a snapshot of another replica, as `Replica.install` does."""
        old = self.held
        index = self.last_index + ahead
        term = old.vote[0]
        self.count += 1
        snapshot = Snapshot(index, term, MEMBERS, b"installed %d" % self.count * 400)
        trail = (*self.trail, (self.last_of_trail(), index))
        content = old._replace(
            snapshot=(index, term, snapshot.state), entries=(), trail=trail
        )
        self.attempt(lambda: self.write_installed(snapshot), content, how)
        if self.held is content:
            self.trail = trail
            self.commit_index = index

    def write_installed(self, snapshot):
        """Write an installed snapshot."""
        self.audit.skip_to(snapshot.index)
        self.write_snapshot(snapshot, ())

    @rule(how=troubles_after(FEW), troubles=troubles_at_opening)
    def end_and_reopen(self, how, troubles):
        """End the process between two steps; the opening may have troubles."""
        self.end(how)
        self.reopen(troubles)

    @rule(how=soon)
    def write_nothing(self, how):
        """Write the vote again, as a replica does that opens its files anew."""
        self.attempt(lambda: self.storage.write(self.storage.vote, []), self.held, how)

    @rule()
    def read_trail(self):
        """Read the audit trail while it is written."""
        self.check_trail()


def run(examples, is_seeded):
    """Run the machine over so many examples."""
    run_state_machine_as_test(
        DataFolder,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            derandomize=is_seeded,
            # Without shrinking a fault is told in seconds; a run by hand shrinks.
            phases=(Phase.generate,) if is_seeded else tuple(Phase),
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.fixture
def no_log_lines():
    """Pass no log line on: there are thousands."""
    logger.disable("hingepitch")
    yield
    logger.enable("hingepitch")


@pytest.mark.usefixtures("no_log_lines")
def test_the_data_folder_holds_what_was_acknowledged_on_a_disk_with_troubles():
    run(EXAMPLES_IN_CI, is_seeded=True)


def main():
    """Run many examples, by a seed."""
    logger.disable("hingepitch")
    examples, seed = map(int, sys.argv[1:])
    hypothesis.seed(seed)(lambda: run(examples, is_seeded=False))()


if __name__ == "__main__":
    main()
