"""The table of streams is bounded and keeps customers apart."""

from hickorymux._internal.state.stream_origins import (
    StreamOrigin,
    StreamOriginTable,
    stream_key,
)

FIRST = StreamOrigin('models', 'v1')
SECOND = StreamOrigin('models', 'v2')


def test_table_grows_without_bound():
    table = StreamOriginTable(max_streams=3)
    for key in range(10):
        table.put(key, StreamOrigin('models', 'v1'), expires_at=9, now=0)
    assert len(table.rows) == 3
    assert len(table.origins) == 1
    assert table.get(9, now=1) == FIRST
    assert table.get(0, now=1) is None


def test_expired_rows_stay():
    table = StreamOriginTable()
    table.put(1, FIRST, expires_at=5, now=0)
    assert table.get(1, now=5) is None
    table.put(2, SECOND, expires_at=20, now=6)
    assert list(table.rows) == [2]
    assert table.seconds_left(2, now=8) == 12


def test_request_ids_of_two_customers_are_mixed_up():
    assert stream_key('ann', 'r') != stream_key('bob', 'r')


def test_request_id_that_is_not_text_has_no_key():
    request_id = b'\xff'.decode(errors='surrogateescape')
    assert stream_key('ann', request_id) != stream_key('ann', '?')
