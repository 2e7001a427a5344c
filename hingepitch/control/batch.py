"""
hingepitch.control.batch
~~~~~~~~~~~~~~~~~~~~~~~~

The record format of log segments: one record for each synced write.

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

#: Header of a record: magic number, length of the body, checksum, type.
HEADER = struct.Struct("<IIIB")
MAGIC = 0x48504C31
MAGIC_BYTES = struct.pack("<I", MAGIC)

#: Largest record, in bytes: a larger length is damage. Four times the largest
#: message between replicas.
MAX_RECORD_BYTES = 256_000_000

#: Types of records. Earlier versions wrote entries and votes as records of their
#: own, which are still read.
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
    """The content of one synced write.

    `sequence`
        Number of the write in its data folder; 0 if it is not known. A write
        starts only after the previous one is synced, so a complete batch proves
        that all batches with lower numbers were synced.
    `vote`
        Term and vote, or None.
    """

    sequence: int
    vote: tuple[int, str] | None
    entries: tuple[Entry, ...]


def frame(record_type, body):
    """Return the bytes of a record: header and `body`."""
    checksum = zlib.crc32(body, record_type)
    return HEADER.pack(MAGIC, len(body), checksum, record_type) + body


def read_frame(data, offset=0):
    """Return `(type, body, end)` of the record at `offset`, or None if damaged."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum, record_type = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    end = start + length
    # An empty record is damage: the checksum of an empty body is the type, so a
    # torn header with zeros after the magic number would pass as a record.
    if magic != MAGIC or not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[start:end]
    if zlib.crc32(body, record_type) != checksum:
        return None
    return record_type, body, end


def encode_batch(batch):
    """Return the record of a `Batch`.

    One checksum covers the whole batch, so a write that is torn anywhere is
    recognized as incomplete.
    """
    rows = [
        (entry.index, entry.term, int(entry.kind), entry.payload)
        for entry in batch.entries
    ]
    body = msgspec.msgpack.encode((batch.sequence, batch.vote, rows))
    return frame(BATCH_RECORD, body)


def decode_batch(record_type, body):
    """Return the `Batch` of a record with a correct checksum.

    Raises `storage_unknown` if the record cannot be decoded: another version
    wrote it.
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
        raise HingepitchError(
            "storage_unknown", f"cannot decode a batch: {error}"
        ) from None
    raise HingepitchError("storage_unknown", f"unknown record type {record_type}")


def make_entry(row):
    """Return the `Entry` of a decoded row."""
    index, term, kind, payload = row
    return Entry(index, term, EntryKind(kind), payload)


def read_batches(data, sequence):
    """Yield `(batch, end)` for each complete record from the start of `data`.

    Stops before a torn tail that was not synced. Raises `storage_damaged` if data
    that was synced cannot be read, and `storage_unknown` if another version wrote
    a record.

    `sequence`
        Number of the last batch before `data`.
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
    """Raise `storage_damaged` if the damaged record at `offset` had been synced.

    Its number would be `sequence` + 1, unless it is the rest of a failed write
    that was truncated. A complete batch behind it with a higher number proves that
    it had been synced. If no batch was read yet, it may be a record of an earlier
    version, before the first batch.
    """
    expected = sequence + 1 if sequence else 0
    position = data.find(MAGIC_BYTES, offset + 1)
    while position >= 0:
        record = read_frame(data, position)
        if record is not None and is_later(record, expected):
            raise HingepitchError(
                "storage_damaged", f"segment is damaged at byte {offset}"
            )
        position = data.find(MAGIC_BYTES, position + 1)


def is_later(record, sequence):
    """Whether a complete record was written after the batch `sequence`.

    Records of earlier versions have no number; they count as later.
    """
    record_type, body, _ = record
    if record_type != BATCH_RECORD:
        return record_type in (ENTRY_RECORD, VOTE_RECORD)
    return decode_batch(record_type, body).sequence > sequence
