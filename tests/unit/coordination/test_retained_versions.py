"""What the retained entries of upstreams say of the time before a start."""

import datetime as dt
import json

import pytest

from hickorymux._internal.coordination.ports import KeyedRecord
from hickorymux._internal.coordination.retained_versions import (
    UNKNOWN,
    read_retained_versions,
)
from hickorymux.platform.deployment import PlatformDeployment
from tests.lib.archive import MemoryLog

RENEWAL = dt.timedelta(seconds=1.2)


def entry(seq: int, version: str = 'v1', born: int = 1) -> bytes:
    return json.dumps(
        {
            'service': 'models',
            'address': '10.0.0.1:80',
            'zone': 'z1',
            'version': version,
            'slots': 4,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': seq,
            'born': born,
        }
    ).encode()


async def read(*rows: tuple[str, bytes]):
    log = MemoryLog()
    log.records = [
        KeyedRecord(key, value, offset)
        for offset, (key, value) in enumerate(rows)
    ]
    return await read_retained_versions(
        log, 'upstreams', PlatformDeployment(), RENEWAL, 0
    )


async def test_versions_of_upstreams_that_left_are_missed():
    renewals = (('e1', entry(seq)) for seq in range(4, 10))
    found = await read(
        ('e1', entry(3)), ('e2', entry(1, 'v2')), ('e2', b''), *renewals
    )
    assert found.versions == {('models', 'v1'), ('models', 'v2')}
    assert found.covered_seconds == pytest.approx(6 * 1.2)


async def test_records_that_a_restore_lost_count_as_covered():
    """An upstream of another version may have come and gone in between."""
    found = await read(
        *(('e0', entry(seq)) for seq in range(1, 9)),
        *(('e1', entry(seq)) for seq in range(1, 5)),
        *(('e1', entry(seq)) for seq in range(8, 11)),
    )
    assert found.versions == {('models', 'v1')}
    assert found.covered_seconds == pytest.approx(2 * 1.2)


async def test_restart_of_an_upstream_counts_as_covered_time():
    found = await read(('e1', entry(900)), ('e1', entry(2, born=5)))
    assert found.covered_seconds == 0


async def test_upstream_that_left_without_a_retained_entry_is_ignored():
    assert (
        await read(('e2', b''), ('e1', entry(1)), ('e1', entry(30))) is UNKNOWN
    )


async def test_entry_of_another_writer_hides_the_others():
    found = await read(('x', b'\xff'), ('e1', entry(1)), ('e1', entry(2)))
    assert found.versions == {('models', 'v1')}
    assert found.covered_seconds == pytest.approx(1.2)
