"""Frames and messages: any bytes are either decoded or refused."""

import dataclasses

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lib.manual_clock import ManualClock

from hickorymux._internal.coordination.membership_messages import (
    Heartbeat,
    ZoneDigest,
)
from hickorymux._internal.coordination.ports import Member
from hickorymux._internal.exceptions import FrameError
from hickorymux._internal.protocol.frames import FrameSealer
from hickorymux._internal.protocol.peer_codec import Envelope
from hickorymux._internal.protocol.peer_messages import MESSAGE_REGISTRY
from hickorymux._internal.protocol.msgpack_codec import msgpack_codec
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.transport.peer_network import PeerNetwork

KEY = b'the key of the fleet'
UNKNOWN_CODE = 9999
FIXED_EXAMPLES = settings(derandomize=True, max_examples=200, deadline=None)

CODECS = (thrift_codec(), msgpack_codec())
with_each_codec = pytest.mark.parametrize(
    'codec',
    CODECS,
    ids=('thrift', 'msgpack'),
)
heartbeats = st.builds(
    Heartbeat,
    router_id=st.text(max_size=20),
    incarnation=st.integers(0, 2**62),
    zone=st.text(max_size=20),
    port=st.integers(0, 65535),
    is_leaving=st.booleans(),
)


def seal(
    codec,
    message=None,
    sequence=1,
    key=KEY,
    challenge=b'',
    **more,
) -> bytes:
    code, body = codec.encode(message or Heartbeat('a-1', 1, 'a'))
    fields = {'type_code': code, 'body': body, **more}
    envelope = Envelope('a-1', 1, sequence, **fields)
    return FrameSealer(key, codec).seal(envelope, challenge)


@with_each_codec
@FIXED_EXAMPLES
@given(st.lists(heartbeats, max_size=3), heartbeats)
def test_messages_are_decoded_as_sent(codec, members, speaker) -> None:
    message = ZoneDigest('b', 7, speaker, members)
    envelope = FrameSealer(KEY, codec).open(seal(codec, message))
    assert codec.decode(envelope.type_code, envelope.body) == message


@with_each_codec
@FIXED_EXAMPLES
@given(st.binary(max_size=300))
def test_random_bytes_are_refused(codec, frame) -> None:
    with pytest.raises(FrameError):
        FrameSealer(KEY, codec).open(frame)


@with_each_codec
@FIXED_EXAMPLES
@given(st.data())
def test_truncated_or_changed_frames_are_refused(codec, data) -> None:
    sealer = FrameSealer(KEY, codec)
    frame = seal(codec)
    at = data.draw(st.integers(0, len(frame) - 1))
    change = data.draw(st.integers(1, 255))
    changed = frame[:at] + bytes((frame[at] ^ change,)) + frame[at + 1 :]
    for wrong in (frame[:at], changed):
        with pytest.raises(FrameError):
            sealer.open(wrong)


@with_each_codec
def test_version_key_and_challenge_are_checked(codec) -> None:
    sealer = FrameSealer(KEY, codec)
    frame = seal(codec, challenge=b'of this link')
    assert sealer.open(frame, b'of this link').sender == 'a-1'
    with pytest.raises(FrameError, match='version 9'):
        sealer.open(b'\x09' + frame[1:], b'of this link')
    for key, challenge in ((KEY, b'of another'), (b'a stranger', b'')):
        with pytest.raises(FrameError, match='tag'):
            FrameSealer(key, codec).open(frame, challenge)


@with_each_codec
@FIXED_EXAMPLES
@given(st.sampled_from(MESSAGE_REGISTRY), st.binary(max_size=200))
def test_random_bodies_decode_or_are_refused(codec, entry, body) -> None:
    try:
        message = codec.decode(entry[0], body)
    except FrameError:
        return
    assert type(message).__name__ == entry[2]


def test_frames_of_another_codec_are_refused() -> None:
    frame = seal(thrift_codec())
    with pytest.raises(FrameError, match='version 1'):
        FrameSealer(KEY, msgpack_codec()).open(frame)


@with_each_codec
def test_unknown_type_codes_give_no_message(codec) -> None:
    assert codec.decode(UNKNOWN_CODE, b'anything') is None


def test_msgpack_skips_unknown_fields_and_fills_absent_ones() -> None:
    codec = msgpack_codec()
    code, _ = codec.encode(Heartbeat())
    newer = msgspec.msgpack.encode({'router_id': 'a-1', 'mood': 'new'})
    assert codec.decode(code, newer) == Heartbeat('a-1')
    assert codec.decode(code, b'\x80') == Heartbeat()


def test_thrift_skips_unknown_fields_and_fills_absent_ones() -> None:
    codec = thrift_codec()
    # Field 99 of a newer version, a text, before the stop byte of the struct.
    code, body = codec.encode(Heartbeat('a-1', 3, 'a'))
    newer = bytes((0x08, 0xC6, 0x01, 3)) + b'new' + b'\x00'
    assert codec.decode(code, body[:-1] + newer) == Heartbeat('a-1', 3, 'a')
    # An older version that knows none of the fields.
    assert codec.decode(code, b'\x00') == Heartbeat()


@with_each_codec
def test_all_messages_of_this_version_are_known(codec) -> None:
    for code, _, _ in MESSAGE_REGISTRY:
        default = codec.catalog.class_of(code)()
        assert codec.decode(*codec.encode(default)) == default


@with_each_codec
class TestDatagrams:
    """Datagrams passed to a ``PeerNetwork`` without sockets."""

    @pytest.fixture(autouse=True)
    def network(self, codec) -> None:
        self.codec = codec
        self.clock = ManualClock()
        sealer = FrameSealer(KEY, codec)
        me = Member('b-1', 1, 'b', '127.0.0.1', 1)
        self.network = PeerNetwork(me, sealer, self.clock)
        self.received: list[object] = []
        self.network.handler = lambda _, message: self.received.append(message)
        self.now_ms = int(self.clock.now * 1000)

    def receive(self, **fields) -> int:
        fields = {'sent_at_ms': self.now_ms} | fields
        self.network.receive_datagram(seal(self.codec, **fields))
        return len(self.received)

    def test_replayed_old_and_foreign_datagrams_are_refused(
        self, codec
    ) -> None:
        assert self.receive(sequence=5) == 1
        assert self.receive(sequence=5) == 1
        assert self.receive(sequence=4) == 1
        assert self.receive(sequence=6, sent_at_ms=self.now_ms - 31_000) == 1
        assert self.receive(sequence=7, key=b'a stranger') == 1
        assert self.network.meter.refused == 4
        assert self.receive(sequence=8) == 2

    def test_bad_bodies_and_unknown_codes_do_not_affect_later_datagrams(
        self, codec
    ) -> None:
        assert self.receive(sequence=1, body=b'\xff' * 9) == 0
        assert self.receive(sequence=2, type_code=UNKNOWN_CODE) == 0
        assert self.network.meter.refused == 1
        assert self.receive(sequence=3) == 1


def test_struct_errors_are_coded() -> None:
    with pytest.raises(FrameError) as caught:
        thrift_codec().read_envelope(b'')
    assert caught.value.code == 'frame_invalid'
    assert not dataclasses.is_dataclass(caught.value)
