"""The origins of streams survive the loss of all routers on the store."""

import asyncio

import pytest

from hickorymux._internal.coordination.stream_archive import (
    MAX_PENDING_ORIGINS,
    ORIGIN_LIFETIME_SECONDS,
    READ_INTERVAL_SECONDS,
    StreamArchive,
)
from hickorymux._internal.state.stream_origins import StreamOrigin
from tests.lib.archive import MemoryLog
from tests.lib.manual_clock import ManualClock

OLD = StreamOrigin('models', 'v1')
NEW = StreamOrigin('models', 'v2')
LARGEST_KEY = 2**64 - 1


class Archives:
    """Archives of several routers at one log."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log = MemoryLog()

    def start(self) -> StreamArchive:
        """Return the archive of a router that has just started."""
        return StreamArchive(self.log, 'front-1', self.clock)


async def test_origins_of_a_batch_are_found_by_a_router_that_starts():
    archives = Archives()
    first = archives.start()
    first.add(1, OLD)
    first.add(LARGEST_KEY, NEW)
    await first.flush()
    await first.flush()
    assert len(archives.log.records) == 1
    second = archives.start()
    assert await second.find(1) == OLD
    assert await second.find(LARGEST_KEY) == NEW
    assert await second.find(3) is None


async def test_batch_is_lost_while_the_store_is_down():
    archives = Archives()
    first = archives.start()
    first.add(1, OLD)
    archives.log.is_down = True
    await first.flush()
    second = archives.start()
    assert await second.find(1) is None
    archives.log.is_down = False
    await first.flush()
    archives.clock.advance(READ_INTERVAL_SECONDS)
    assert await second.find(1) == OLD


async def test_store_is_read_for_each_of_many_streams():
    archives = Archives()
    archive = archives.start()
    await asyncio.gather(*(archive.find(key) for key in range(100)))
    assert archives.log.reads == 1


async def test_cancelled_lookup_ends_the_read_of_others():
    archives = Archives()
    archives.start().add(1, OLD)
    writer = archives.start()
    writer.add(1, OLD)
    await writer.flush()
    archive = archives.start()
    lookups = [asyncio.create_task(archive.find(1)) for _ in range(2)]
    await asyncio.sleep(0)
    lookups[0].cancel()
    assert await lookups[1] == OLD


@pytest.mark.parametrize(
    'value', [b'', b'\xff', b'\x91\x01', b'\x91\x93\xa1m\xa1v\x91\xff']
)
async def test_unreadable_record_hides_the_others(value):
    archives = Archives()
    first = archives.start()
    await archives.log.append('stream-origins', 'x', value)
    first.add(1, OLD)
    await first.flush()
    assert await archives.start().find(1) == OLD


async def test_trimmed_offset_stops_the_reads():
    archives = Archives()
    reader, writer = archives.start(), archives.start()
    assert await reader.find(1) is None
    for key in (1, 2, 3):
        writer.add(key, OLD)
        await writer.flush()
    archives.log.first_offset = 2
    for _ in range(2):
        archives.clock.advance(READ_INTERVAL_SECONDS)
        found = await reader.find(3)
    assert found == OLD


async def test_pending_origins_grow_without_bound_during_an_outage():
    archive = Archives().start()
    for key in range(MAX_PENDING_ORIGINS + 5):
        archive.add(key, OLD)
    assert len(archive.pending) == MAX_PENDING_ORIGINS
    assert 0 not in archive.pending


def restore(archives, count):
    """Restore the log from a copy with its first records."""
    archives.log.records = archives.log.records[:count]
    archives.log.era += 1


async def write(archive, *keys):
    for key in keys:
        archive.add(key, OLD)
        await archive.flush()


async def test_origins_since_the_copy_are_lost_by_a_restore():
    archives = Archives()
    writer = archives.start()
    await write(writer, 1, 2, 3)
    restore(archives, 1)
    writer.on_era_change(2)
    writer.add(4, NEW)
    await writer.flush()
    assert len(archives.log.records) == 2
    assert [await archives.start().find(key) for key in (1, 2, 3, 4)] == [
        OLD,
        OLD,
        OLD,
        NEW,
    ]


async def test_two_restores_in_succession_lose_origins():
    archives = Archives()
    writer = archives.start()
    await write(writer, 1, 2)
    for era in (2, 3):
        restore(archives, 0)
        writer.on_era_change(era)
        await writer.flush()
    assert await archives.start().find(2) == OLD


async def test_origins_that_no_caller_resumes_are_written_again():
    archives = Archives()
    writer = archives.start()
    await write(writer, 1)
    archives.clock.advance(ORIGIN_LIFETIME_SECONDS + 1)
    await write(writer, 2)
    writer.on_era_change(2)
    assert set(writer.pending) == {2}


async def test_written_origins_grow_without_bound():
    archive = Archives().start()
    for start in (0, MAX_PENDING_ORIGINS):
        for key in range(start, start + MAX_PENDING_ORIGINS):
            archive.add(key, OLD)
        await archive.flush()
    assert len(archive.written) == 1


async def test_offset_of_a_previous_era_hides_origins():
    """The log has its old length again, with other records."""
    archives = Archives()
    reader, writer = archives.start(), archives.start()
    await write(writer, 1, 2)
    assert await reader.find(2) == OLD
    restore(archives, 0)
    await write(writer, 3, 4, 5)
    archives.clock.advance(READ_INTERVAL_SECONDS)
    assert await reader.find(3) == OLD
    assert await reader.find(1) == OLD
