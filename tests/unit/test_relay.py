"""Streams are relayed in whole events and end complete or with an error.

Half an event at the caller, or a cut stream that looks complete, would be
taken for the whole answer.
"""

from collections.abc import AsyncIterator

import pytest
from multidict import CIMultiDict

from hickorymux._internal.transport.relay import EventRelay
from hickorymux._internal.transport.upstream_client import UpstreamCut

DONE = b'data: [DONE]\n\n'


class FakeReply:
    def __init__(self) -> None:
        self.has_started = False
        self.is_finished = False
        self.body = b''

    async def start(self, status, headers) -> None:
        self.has_started = True

    async def write(self, chunk: bytes) -> None:
        assert self.has_started
        self.body += chunk

    async def finish(self) -> None:
        assert self.has_started
        self.is_finished = True


async def stream(*chunks: bytes) -> AsyncIterator[bytes]:
    for chunk in chunks:
        yield chunk


def new_relay(*, needs_end_marker: bool = True) -> EventRelay:
    counted: list[int] = []
    return EventRelay(
        FakeReply(), 200, CIMultiDict(), counted.append, needs_end_marker
    )


async def test_nothing_starts_before_the_first_whole_event() -> None:
    relay = new_relay()
    with pytest.raises(UpstreamCut):
        await relay.run(stream(b'data: 1\n'), is_framed=True)
    assert not relay.reply.has_started


async def test_half_an_event_is_dropped_when_the_stream_goes_on() -> None:
    relay = new_relay()
    with pytest.raises(UpstreamCut):
        await relay.run(
            stream(b'data: 1\n\nda', b'ta: 2\n\ndata: 3'), is_framed=True
        )
    assert (relay.event_count, relay.has_end_marker) == (2, False)
    await relay.run(stream(b'data: 3\n\n', DONE[:8], DONE[8:]), is_framed=True)
    assert relay.reply.body == b'data: 1\n\ndata: 2\n\ndata: 3\n\n' + DONE
    assert (relay.event_count, relay.has_end_marker) == (4, True)


async def test_a_stream_of_a_service_needs_no_end_mark() -> None:
    relay = new_relay(needs_end_marker=False)
    await relay.run(stream(b'data: 1\n\n', b'data: 2\n\n'), is_framed=True)
    assert relay.reply.body == b'data: 1\n\ndata: 2\n\n'
    empty = new_relay(needs_end_marker=False)
    await empty.run(stream(), is_framed=True)
    await empty.finish()
    assert empty.reply.has_started


async def test_stream_that_ends_inside_an_event_counts_as_complete() -> None:
    relay = new_relay(needs_end_marker=False)
    with pytest.raises(UpstreamCut):
        await relay.run(stream(b'data: 1\n\n', b'data: 2'), is_framed=True)
    assert relay.reply.body == b'data: 1\n\n'


async def test_unframed_stream_without_an_event_looks_complete() -> None:
    relay = new_relay(needs_end_marker=False)
    with pytest.raises(UpstreamCut):
        await relay.run(stream(), is_framed=False)
    assert not relay.reply.has_started
    await relay.run(stream(b'data: 1\n\n'), is_framed=False)
    with pytest.raises(UpstreamCut):
        await relay.run(stream(), is_framed=False)


async def test_text_like_the_end_marker_ends_a_stream() -> None:
    for event in (b'data: "data: [DONE]"\n\n', b'x: data: [DONE]\n\n'):
        relay = new_relay()
        with pytest.raises(UpstreamCut):
            await relay.run(stream(b'data: 1\n\n', event), is_framed=True)
        assert not relay.has_end_marker
