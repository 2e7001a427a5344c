"""
hingepitch.control.batch
~~~~~~~~~~~~~~~~~~~~~~~~

The records of a log segment: one for each synced write.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import struct
import zlib
from dataclasses import dataclass

import msgspec

from hingepitch.control.message import Entry, EntryKind
from hingepitch.error import HingepitchError

__all__ = ["Batch", "encode_batch", "frame", "read_batches", "read_frame"]

#: Before each record: magic, length of the body, checksum, type.
HEADER = struct.Struct("<IIIB")
MAGIC = 0x48504C31
MAGIC_BYTES = struct.pack("<I", MAGIC)

#: Largest record, in bytes: a length beyond it is damage. Source: four of the
#: largest messages between replicas.
MAX_RECORD_BYTES = 256_000_000

#: Types of records. An entry and a vote of their own were written by earlier
#: versions, which are still read.
ENTRY_RECORD = 1
VOTE_RECORD = 2
BATCH_RECORD = 3
SNAPSHOT_RECORD = 4

ENTRY_DECODER = msgspec.msgpack.Decoder(tuple[int, int, int, bytes])
VOTE_DECODER = msgspec.msgpack.Decoder(tuple[int, str])
BATCH_DECODER = msgspec.msgpack.Decoder(
    tuple[int, tuple[int, str] | None, list[tuple[int, int, int, bytes]]]
)


@dataclass(frozen=True, slots=True)
class Batch:
    """What one synced write holds.

    `sequence`
        Counts the writes of a data folder; 0 where it is not known. A write
        begins only when the one before it is synced, so a whole batch shows
        that all lower ones were.
    `vote`
        Term and vote, or None.
    """

    sequence: int
    vote: tuple[int, str] | None
    entries: tuple[Entry, ...]


def frame(record_type, body):
    """Return the bytes of a record."""
    checksum = zlib.crc32(body, record_type)
    return HEADER.pack(MAGIC, len(body), checksum, record_type) + body


def read_frame(data, offset=0):
    """Return `(type, body, end)` of the record at `offset`, or None."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum, record_type = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    end = start + length
    # No record is empty: the checksum of nothing is the type, so a torn header,
    # zeros behind the magic, would hold.
    if magic != MAGIC or not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[start:end]
    if zlib.crc32(body, record_type) != checksum:
        return None
    return record_type, body, end


def encode_batch(batch):
    """Return the record of a `Batch`.

    One checksum covers all of it: a write that came apart in its middle is
    told as a whole from one that is there.
    """
    rows = [
        (entry.index, entry.term, int(entry.kind), entry.payload)
        for entry in batch.entries
    ]
    body = msgspec.msgpack.encode((batch.sequence, batch.vote, rows))
    return frame(BATCH_RECORD, body)


def decode_batch(record_type, body):
    """Return the `Batch` of a record whose checksum holds.

    Raises `storage_unknown`: another version wrote it.
    """
    try:
        if record_type == BATCH_RECORD:
            sequence, vote, rows = BATCH_DECODER.decode(body)
            return Batch(sequence, vote, tuple(map(make_entry, rows)))
        if record_type == VOTE_RECORD:
            return Batch(0, VOTE_DECODER.decode(body), ())
        if record_type == ENTRY_RECORD:
            return Batch(0, None, (make_entry(ENTRY_DECODER.decode(body)),))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise HingepitchError("storage_unknown", f"not a batch: {error}") from None
    raise HingepitchError("storage_unknown", f"no record of type {record_type}")


def make_entry(row):
    """Return the `Entry` of a row."""
    index, term, kind, payload = row
    return Entry(index, term, EntryKind(kind), payload)


def read_batches(data, sequence):
    """Yield `(batch, end)` of the whole records from the start of `data`.

    Ends in front of a tail that no sync covered. Raises `storage_damaged`
    where what a sync covered cannot be read, and `storage_unknown`.

    `sequence`
        Of the last batch before `data`.
    """
    offset = 0
    while offset < len(data):
        record = read_frame(data, offset)
        if record is None:
            check_tail(data, offset, sequence)
            return
        record_type, body, offset = record
        batch = decode_batch(record_type, body)
        sequence = max(sequence, batch.sequence)
        yield batch, offset


def check_tail(data, offset, sequence):
    """Raise `storage_damaged` if a batch after `offset` was written later.

    The damaged one would be `sequence` + 1, or the rest of a write that failed
    and was cut. One with a higher number shows that it had been synced. Where no
    batch was read, it may be a record of an earlier version, before the first.
    """
    expected = sequence + 1 if sequence else 0
    position = data.find(MAGIC_BYTES, offset + 1)
    while position >= 0:
        record = read_frame(data, position)
        if record is not None and is_later(record, expected):
            raise HingepitchError("storage_damaged", f"damaged at byte {offset}")
        position = data.find(MAGIC_BYTES, position + 1)


def is_later(record, sequence):
    """Whether a whole record was written after the batch `sequence`.

    Records of earlier versions do not tell; they count as later.
    """
    record_type, body, _ = record
    if record_type != BATCH_RECORD:
        return record_type in (ENTRY_RECORD, VOTE_RECORD)
    return decode_batch(record_type, body).sequence > sequence
