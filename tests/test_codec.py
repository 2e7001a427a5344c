"""Encoding of commands in the log: small ones plain, large ones compressed."""

import pytest

from hingepitch.error import HingepitchError
from hingepitch.jobs.command import AcceptJob
from hingepitch.jobs.spec import JobSpec, Step
from hingepitch.model.codec import (
    COMPRESS_FROM_BYTES,
    decode_envelope,
    encode_envelope,
)
from hingepitch.model.command import Envelope, Role


def make_envelope(payload):
    spec = JobSpec(payload, (Step(1),))
    return Envelope(Role.ENTRY, "", "e", AcceptJob("0" * 16, "h", "/", spec, 1))


@pytest.mark.parametrize("size", [0, 900, 1100, 4000])
def test_envelopes_survive_encoding_unchanged(size):
    envelope = make_envelope("x" * size)
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_large_envelopes_are_compressed():
    assert len(encode_envelope(make_envelope("x" * 4000))) < COMPRESS_FROM_BYTES


@pytest.mark.parametrize("cut", [1, 20])
def test_damaged_envelopes_are_refused(cut):
    data = encode_envelope(make_envelope("x" * 4000))
    with pytest.raises(HingepitchError, match="not a command"):
        decode_envelope(data[:-cut])
    with pytest.raises(HingepitchError, match="not a command"):
        decode_envelope(data[:40] + bytes(len(data) - 40))
