"""
hingepitch.control.snapshot
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of a replica at one place of its log, as it lies on the disk.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.control.batch import SNAPSHOT_RECORD, frame, read_frame
from hingepitch.control.message import Member
from hingepitch.error import HingepitchError

__all__ = ["Snapshot", "TrailMark", "decode_snapshot", "encode_snapshot"]


class TrailMark(msgspec.Struct, frozen=True):
    """How far the audit trail was synced when a snapshot was written.

    `number`, `size`
        Of its last file, and how many bytes of that.
    `index`
        Place in the log of its last record.
    """

    number: int
    size: int
    index: int


class Snapshot(msgspec.Struct):
    """The state after the entry `index`, with the members at that point.

    `first_segment`
        Segments below this number are void: what they hold is in the snapshot,
        or was never committed.
    `vote`
        Term and vote when the snapshot was written.
    `trail`
        How far the audit trail goes; None from earlier versions.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    state: bytes
    first_segment: int = 0
    vote: tuple[int, str] = (0, "")
    trail: TrailMark | None = None


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_snapshot(snapshot):
    """Return the bytes of a snapshot."""
    return frame(SNAPSHOT_RECORD, msgspec.msgpack.encode(snapshot))


def decode_snapshot(data):
    """Return the `Snapshot` of `data`.

    Earlier versions wrote it without a checksum. Raises `storage_damaged`, or
    `storage_unknown` where the checksum holds: another version wrote it.
    """
    record = read_frame(data)
    is_whole = record is not None and record[0] == SNAPSHOT_RECORD
    try:
        return SNAPSHOT_DECODER.decode(record[1] if is_whole else data)
    except (msgspec.MsgspecError, RecursionError) as error:
        code = "storage_unknown" if is_whole else "storage_damaged"
        raise HingepitchError(code, f"not a snapshot: {error}") from None
