"""
hingepitch.model.codec
~~~~~~~~~~~~~~~~~~~~~~

Encodes and decodes records, commands and outcomes as msgpack.

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

#: Errors that decoding raises for malformed bytes (such as empty input or unbounded
#: nesting) and for bytes of another version (such as unknown names).
DECODE_ERRORS = (msgspec.MsgspecError, KeyError, TypeError, RecursionError, zlib.error)

#: Envelopes of at least this size, in bytes, are compressed, because each is sent
#: to and written by every replica. 1.3 KB shrink to a quarter in 26 us; smaller
#: envelopes take longer relative to what they save.
COMPRESS_FROM_BYTES = 1024
COMPRESS_LEVEL = 1

#: First byte of zlib data. It marks compressed envelopes: an uncompressed one
#: starts with the byte of a msgpack array.
ZLIB_FIRST_BYTE = 0x78

#: Largest envelope after decompression, in bytes: the largest message between
#: replicas.
MAX_EXPANDED_BYTES = 64_000_000


def encode_envelope(envelope):
    """Return the bytes of `envelope`, compressed if it is large."""
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


def decompress_envelope(data):
    """Return the result of `encode_envelope`, decompressed if it is compressed.

    Raises `zlib.error` if it is damaged or too large.
    """
    if data[:1] != bytes((ZLIB_FIRST_BYTE,)):
        return data
    stream = zlib.decompressobj()
    envelope_bytes = stream.decompress(data, MAX_EXPANDED_BYTES)
    if not stream.eof:
        raise zlib.error("the data is truncated or too large")
    return envelope_bytes


def decode_envelope(data):
    """Return the `Envelope` encoded in `data`.

    Raises `HingepitchError` (`bad_request`).
    """
    try:
        *head, name, body = ENVELOPE_DECODER.decode(decompress_envelope(data))
        command = COMMAND_DECODER_BY_NAME[name].decode(body)
    except DECODE_ERRORS as error:
        raise HingepitchError("bad_request", f"not a command: {error}") from None
    role, partner, actor, command_id, base_version, fence, at_seconds = head
    return Envelope(
        role, partner, actor, command, command_id, base_version, fence, at_seconds
    )


def encode_outcome(outcome):
    """Return the bytes of `outcome`."""
    return ENCODER.encode(outcome)


def decode_outcome(data):
    """Return the `Outcome` encoded in `data`.

    Raises `HingepitchError` (`peer_failed`).
    """
    try:
        return OUTCOME_DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise HingepitchError(
            "peer_failed", f"cannot decode the outcome: {error}"
        ) from None


def encode_changes(changes):
    """Return the bytes of an iterable of `(kind, key, record or None)`."""
    return ENCODER.encode(list(changes))


def decode_changes(data):
    """Return the list of `(kind, key, record or None)` encoded in `data`.

    Raises `HingepitchError` (`peer_failed`) if any change cannot be decoded: a
    copy of the state that lacks one change must not be used.
    """
    try:
        rows = CHANGES_DECODER.decode(data)
        return [(kind, key, decode_record(kind, raw)) for kind, key, raw in rows]
    except DECODE_ERRORS as error:
        raise HingepitchError(
            "peer_failed", f"cannot decode the changes: {error}"
        ) from None


def decode_record(kind, raw):
    """Return the record of `kind` encoded in `raw`, or None if it was deleted."""
    if bytes(raw) == NIL:
        return None
    return RECORD_DECODER_BY_KIND[kind].decode(raw)


def to_plain(value):
    """Return `value` as dicts, lists and scalars, for JSON."""
    return msgspec.to_builtins(value, builtin_types=())
