"""
standin.storage_faults
~~~~~~~~~~~~~~~~~~~~~~

Planted faults in the log, the data folder and the group of replicas.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from standin.fault import Fault

__all__ = ["STORAGE_FAULTS"]

#: Expressions that select tests of the data folder, for the faults that share one.
DISK_FAULT_TEST = "on_a_disk_with_troubles"

QUARANTINE_TEST = "losses_cut_short"
STORAGE_FAULTS = (
    Fault(
        "durable",
        "a write is not synced",
        (
            (
                "control/storage.py",
                "        self.segment.write_all(data)\n        self.segment.sync()",
                "        self.segment.write_all(data)",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "entries read from the disk are used without a sync",
        (
            (
                "control/storage.py",
                "        run_in_thread(self.segment.sync)",
                "        pass",
            ),
        ),
        "lasts_once_it_was_read",
    ),
    Fault(
        "durable",
        "an atomically written file is not synced before its rename",
        (("durable.py", "        file.sync()\n", ""),),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the folder is not synced after a rename",
        (("durable.py", "    disk.sync_folder(path.parent)", "    pass"),),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the folder is not synced after a segment is created",
        (
            (
                "control/storage.py",
                "segment.size\n        self.disk.sync_folder(self.folder)",
                "segment.size",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the folder is not synced after the identity is quarantined",
        (
            (
                "control/storage.py",
                "            self.quarantine_file(IDENTITY_NAME)\n"
                "            self.disk.sync_folder(self.folder)\n",
                "            self.quarantine_file(IDENTITY_NAME)\n",
            ),
        ),
        QUARANTINE_TEST,
    ),
    Fault(
        "durable",
        "the checksum of a record is not checked",
        (
            (
                "control/batch.py",
                "if zlib.crc32(body, record_type) != checksum:",
                "if False:",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "an empty record is accepted",
        (("control/batch.py", "not 0 < length <=", "not 0 <= length <="),),
        "left_its_begin",
    ),
    Fault(
        "durable",
        "each entry of a write gets a separate record",
        (
            (
                "control/storage.py",
                "data = encode_batch(Batch(self.sequence + 1, vote, tuple(entries)))",
                """data = encode_batch(Batch(self.sequence + 1, vote, ()))
        for one in entries:
            data += encode_batch(Batch(self.sequence + 1, None, (one,)))""",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "any complete record behind a torn one shows that it had been synced",
        (
            (
                "control/batch.py",
                "return decode_batch(record_type, body).sequence > sequence",
                "return True",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "damage in front of synced records is cut off as a torn tail",
        (
            (
                "control/batch.py",
                "if record is not None and is_later(record, expected):",
                "if False:",
            ),
        ),
        "damage_at_every_byte",
    ),
    Fault(
        "durable",
        "a snapshot is written before the segment that it refers to",
        (
            (
                "control/storage.py",
                "            self.write(self.vote, entries)\n            snapshot.vote",
                "            snapshot.vote",
            ),
            (
                "control/storage.py",
                "            run_in_thread(write_atomic, self.disk, path, data)\n",
                "            run_in_thread(write_atomic, self.disk, path, data)\n"
                "            self.write(self.vote, entries)\n",
            ),
        ),
        "snapshot_with_entries_behind",
    ),
    Fault(
        "durable",
        "segments that a snapshot invalidated are read",
        (
            (
                "control/storage.py",
                "self.numbers(SEGMENT_NAME) if at >= first]",
                "self.numbers(SEGMENT_NAME)]",
            ),
            # Each of the two checks alone excludes such entries.
            (
                "control/storage.py",
                "            if entry.term < self.snapshot.term:",
                "            if False:",
            ),
        ),
        "voided_may_come_back",
    ),
    Fault(
        "durable",
        "a torn tail is not cut off",
        (
            (
                "control/storage.py",
                "        self.truncate_file(path, end)",
                "        pass",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the snapshot's segment lacks the vote",
        (
            (
                "control/storage.py",
                "            self.write(self.vote, entries)\n            snapshot.vote"
                " = self.vote\n",
                "            self.write(None, entries)\n",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "the audit trail is not truncated to its marker",
        (
            (
                "control/audit.py",
                "        self.file.truncate(at)",
                "        pass",
            ),
        ),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "audit files begun after the marker are not removed",
        (
            (
                "control/audit.py",
                "                self.disk.remove(path)",
                "                pass",
            ),
        ),
        "earlier_trail",
    ),
    Fault(
        "durable",
        "the audit trail is not synced before its marker is written",
        (("control/audit.py", "        run_in_thread(self.file.sync)\n", ""),),
        DISK_FAULT_TEST,
    ),
    Fault(
        "durable",
        "a new identity takes over the remains of an old log",
        (
            (
                "control/storage.py",
                "        if self.holds_old_log():",
                "        if self.numbers(SEGMENT_NAME):",
            ),
        ),
        QUARANTINE_TEST,
    ),
    Fault(
        "durable",
        "a segment is closed before the next one is open",
        (
            (
                "control/storage.py",
                "        before = self.segment\n",
                "        before = self.segment\n        before and before.close()\n",
            ),
        ),
        "closed_twice",
    ),
    Fault(
        "durable",
        "an unexpected error in a data folder ends the start",
        (
            (
                "control/replica.py",
                """            except Exception as error:
                self.handle_storage_fault(f""",
                """            except ZeroDivisionError as error:
                self.handle_storage_fault(f""",
            ),
        ),
        "outlives_any_error",
    ),
    Fault(
        "durable",
        "a replica keeps messages that come before its folder is open",
        (("control/replica.py", "        if self.is_open:\n", "        if True:\n"),),
        "not_open_knows_nothing",
    ),
    Fault(
        "durable",
        "a log without its last segment is accepted",
        (
            (
                "control/storage.py",
                "        self.check_complete(identity)\n",
                "",
            ),
        ),
        "lacks_what_it_once_voted_by",
    ),
)
