"""
hingepitch.control.snapshot
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The snapshot of a replica's state at one log index, and its file format.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.control.batch import SNAPSHOT_RECORD, frame, read_frame
from hingepitch.control.message import Member
from hingepitch.error import HingepitchError

__all__ = ["Snapshot", "TrailPosition", "decode_snapshot", "encode_snapshot"]


class TrailPosition(msgspec.Struct, frozen=True):
    """Position up to which the audit trail is synced.

    `number`, `size`
        Number of its last file, and synced bytes of this file.
    `index`
        Log index of its last record.
    """

    number: int
    size: int
    index: int


class Snapshot(msgspec.Struct):
    """The state after applying the entry `index`, with the members at that index.

    `first_segment`
        Segments with lower numbers are obsolete: their entries are covered by the
        snapshot or were never committed.
    `vote`
        Term and vote when the snapshot was written.
    `trail`
        Position up to which the audit trail was synced; None in snapshots of
        earlier versions.
    """

    index: int
    term: int
    members: tuple[Member, ...]
    state: bytes
    first_segment: int = 0
    vote: tuple[int, str] = (0, "")
    trail: TrailPosition | None = None


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode_snapshot(snapshot):
    """Return the bytes of a snapshot."""
    return frame(SNAPSHOT_RECORD, msgspec.msgpack.encode(snapshot))


def decode_snapshot(data):
    """Return the `Snapshot` of `data`.

    Earlier versions wrote snapshots without a checksum. Raises `storage_damaged`,
    or `storage_unknown` if the checksum is correct, as another version must then
    have written the snapshot.
    """
    record = read_frame(data)
    is_intact = record is not None and record[0] == SNAPSHOT_RECORD
    try:
        return SNAPSHOT_DECODER.decode(record[1] if is_intact else data)
    except (msgspec.MsgspecError, RecursionError) as error:
        code = "storage_unknown" if is_intact else "storage_damaged"
        raise HingepitchError(code, f"cannot decode the snapshot: {error}") from None
