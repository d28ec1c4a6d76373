"""Streams that were cut go on right in every form that their format allows.

An id that is searched for, and not read as the value of a field, lets events
come twice or breaks the stream off.
"""

import random
from collections.abc import AsyncIterator, Callable

import pytest

from hickorymux._internal.protocol.event_stream import EventStreamParser
from hickorymux._internal.transport.relay import EventRelay
from hickorymux._internal.transport.upstream_client import UpstreamCut
from tests.lib.event_forms import (
    FORMS,
    WITH_EVENTS_AFTER_ID,
    events_of,
    read_events,
    rest_after_block,
    rest_after_event,
)
from tests.unit.test_relay import new_relay

PIECES = (1, 5, 61, 10_000)
SEED = 39
CUT_STEP = 3


async def pieces(answer: bytes, size: int, cut: int) -> AsyncIterator[bytes]:
    """Yield an answer up to a cut in pieces of a size."""
    for start in range(0, min(cut, len(answer)), size):
        yield answer[start : min(start + size, cut)]
    if cut < len(answer):
        raise UpstreamCut('cut')


async def play(
    events: list[bytes],
    rest_after: Callable[[list[bytes], str], bytes],
    size: int,
    cuts: list[int],
) -> EventRelay:
    """Relay a stream that is cut several times, as the dispatchers do."""
    relay = new_relay(needs_end_marker=False)
    for cut in (*cuts, 1 << 30):
        answer = rest_after(events, relay.last_event_id)
        try:
            await relay.run(pieces(answer, size, cut), is_framed=True)
        except UpstreamCut:
            if not relay.reply.has_started:
                relay = new_relay(needs_end_marker=False)
            elif not relay.position.can_resume:
                break
        else:
            await relay.finish()
            break
    return relay


@pytest.mark.parametrize('form', FORMS)
def test_events_depend_on_the_size_of_the_pieces(form: str) -> None:
    whole = b''.join(events_of(form))
    found = []
    for size in PIECES:
        parser = EventStreamParser()
        blocks = [
            block
            for start in range(0, len(whole), size)
            for block in parser.feed(whole[start : start + size])
        ]
        assert b''.join(block.raw for block in blocks) + parser.rest == whole
        assert not parser.is_inside_event
        found.append(
            [
                (block.raw_event_id, block.has_data, block.is_end_marker)
                for block in blocks
                if block.has_fields
            ]
        )
    assert all(one == found[0] for one in found)
    events = sum(has_data for _, has_data, _ in found[0])
    assert events == len(read_events(whole))


@pytest.mark.parametrize(
    ('form', 'rest_after'),
    [
        *((form, rest_after_block) for form in FORMS),
        *(
            (form, rest_after_event)
            for form in FORMS
            if form not in WITH_EVENTS_AFTER_ID
        ),
    ],
)
async def test_stream_repeats_or_loses_events_after_a_cut(
    form: str, rest_after: Callable[[list[bytes], str], bytes]
) -> None:
    events = events_of(form)
    whole = b''.join(events)
    expected = read_events(whole)
    rng = random.Random(SEED)
    size_of_two = len(events[0] + events[1])
    for cut in range(rng.randrange(CUT_STEP), len(whole), CUT_STEP):
        cuts = [cut, rng.randrange(size_of_two * 2)]
        size = rng.choice(PIECES)
        relay = await play(events, rest_after, size, cuts)
        received = read_events(relay.reply.body)
        if relay.reply.is_finished:
            assert received == expected, (cuts, size)
            continue
        # The caller has an event and no id yet, or the rest has no id.
        assert received == expected[: len(received)]
        is_rest_without_id = not set(rest_after(events, '9')) <= set(b'\r\n')
        assert cut < size_of_two or is_rest_without_id, (cuts, size)


@pytest.mark.parametrize('form', FORMS)
async def test_bytes_of_a_whole_stream_are_changed(form: str) -> None:
    whole = b': first\n\n' + b''.join(events_of(form)) + b'\n: last\n'
    for size in PIECES:
        relay = new_relay(needs_end_marker=False)
        await relay.run(pieces(whole, size, len(whole)), is_framed=True)
        await relay.finish()
        assert relay.reply.body == whole
