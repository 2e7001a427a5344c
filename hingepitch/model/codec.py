"""
hingepitch.model.codec
~~~~~~~~~~~~~~~~~~~~~~

Encoding of records, commands and outcomes, by msgpack.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import zlib

import msgspec

from hingepitch.error import HingepitchError
from hingepitch.model.command import COMMAND_BY_NAME, Envelope, Outcome, Role
from hingepitch.model.record import RECORD_BY_KIND

__all__ = [
    "decode_changes",
    "decode_envelope",
    "decode_outcome",
    "encode_changes",
    "encode_envelope",
    "encode_outcome",
    "to_plain",
]

ENCODER = msgspec.msgpack.Encoder()
OUTCOME_DECODER = msgspec.msgpack.Decoder(Outcome)
ENVELOPE_DECODER = msgspec.msgpack.Decoder(
    tuple[Role, str, str, str, int, int, int, str, msgspec.Raw]
)
COMMAND_DECODER_BY_NAME = {
    name: msgspec.msgpack.Decoder(command) for name, command in COMMAND_BY_NAME.items()
}
RECORD_DECODER_BY_KIND = {
    kind: msgspec.msgpack.Decoder(record) for kind, record in RECORD_BY_KIND.items()
}
CHANGES_DECODER = msgspec.msgpack.Decoder(list[tuple[str, str, msgspec.Raw]])
NIL = ENCODER.encode(None)

#: What bytes raise that are not what they should be, or that another version
#: made: a name that is not known here, nesting without end, no bytes at all.
UNREADABLE = (msgspec.MsgspecError, KeyError, TypeError, RecursionError, zlib.error)

#: Envelopes from this size on are compressed, in bytes: each is sent to every
#: replica and written by each. Source: 1.3 KB take 26 us to compress and
#: shrink to a quarter; smaller ones took longer for less.
COMPRESS_FROM_BYTES = 1024
COMPRESS_LEVEL = 1

#: First byte of compressed data; an envelope itself begins with the byte of
#: an array.
COMPRESSED_MARK = 0x78

#: Largest envelope after expansion, in bytes. Source: the largest message
#: between replicas.
MAX_EXPANDED_BYTES = 64_000_000


def encode_envelope(envelope):
    """Return the bytes of `envelope`, compressed where that pays."""
    data = ENCODER.encode(
        (
            envelope.role,
            envelope.partner,
            envelope.actor,
            envelope.command_id,
            envelope.base_version,
            envelope.fence,
            envelope.at_seconds,
            type(envelope.command).__name__,
            envelope.command,
        )
    )
    if len(data) < COMPRESS_FROM_BYTES:
        return data
    return zlib.compress(data, COMPRESS_LEVEL)


def expand(data):
    """Return the envelope bytes of what `encode_envelope` made.

    Raises `zlib.error` if they are damaged or too large.
    """
    if data[:1] != bytes((COMPRESSED_MARK,)):
        return data
    stream = zlib.decompressobj()
    whole = stream.decompress(data, MAX_EXPANDED_BYTES)
    if not stream.eof:
        raise zlib.error("cut short, or too large")
    return whole


def decode_envelope(data):
    """Return the `Envelope` of `data`; raise `bad_request`."""
    try:
        *head, name, body = ENVELOPE_DECODER.decode(expand(data))
        command = COMMAND_DECODER_BY_NAME[name].decode(body)
    except UNREADABLE as error:
        raise HingepitchError("bad_request", f"not a command: {error}") from None
    role, partner, actor, command_id, base_version, fence, at_seconds = head
    return Envelope(
        role, partner, actor, command, command_id, base_version, fence, at_seconds
    )


def encode_outcome(outcome):
    """Return the bytes of `outcome`."""
    return ENCODER.encode(outcome)


def decode_outcome(data):
    """Return the `Outcome` of `data`; raise `peer_failed`."""
    try:
        return OUTCOME_DECODER.decode(data)
    except UNREADABLE as error:
        raise HingepitchError("peer_failed", f"not an outcome: {error}") from None


def encode_changes(changes):
    """Return the bytes of an iterable of `(kind, key, record or None)`."""
    return ENCODER.encode(list(changes))


def decode_changes(data):
    """Return a list of `(kind, key, record or None)` of `data`.

    Raises `peer_failed`: one that cannot be read makes all of them useless, for
    a state that lacks a change must not be worked by.
    """
    try:
        rows = CHANGES_DECODER.decode(data)
        return [(kind, key, decode_record(kind, raw)) for kind, key, raw in rows]
    except UNREADABLE as error:
        raise HingepitchError("peer_failed", f"not changes: {error}") from None


def decode_record(kind, raw):
    """Return the record of `kind` in `raw`, or None for one that is gone."""
    if bytes(raw) == NIL:
        return None
    return RECORD_DECODER_BY_KIND[kind].decode(raw)


def to_plain(value):
    """Return `value` as maps, lists and plain values, for JSON."""
    return msgspec.to_builtins(value, builtin_types=())
