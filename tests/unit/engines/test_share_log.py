"""Tests of the log lines that show how customers share a pool."""

import pytest

from hickorymux._internal.coordination.engines.share_log import (
    LOG_INTERVAL_SECONDS,
    MAX_LOGGED_AT_EACH_END,
    Outcome,
    ShareLog,
)
from hickorymux._internal.coordination.engines.wait_queue import (
    CustomerUsage,
    ServiceMeter,
)
from hickorymux._internal.utils.json_logging import FIELDS


@pytest.fixture
def lines(caplog):
    """Return a function that returns the fields of the lines so far."""
    caplog.set_level('INFO', logger='hickorymux')
    return lambda: [getattr(record, FIELDS) for record in caplog.records]


def test_refused_customer_is_logged_beside_the_one_that_was_served(lines):
    log, meter = ShareLog(), ServiceMeter()
    meter.served.add('large', 9000, 0)
    meter.peer_usage = {'small': CustomerUsage(500, 2)}
    log.count('models', 'large', Outcome.served, 0)
    log.count('models', 'small', Outcome.full, 0)
    log.count('models', 'small', Outcome.refused, 0)
    log.write_due({'models': meter}, LOG_INTERVAL_SECONDS)
    (line,) = lines()
    assert line['pool'] == 'models'
    small, large = line['customers']
    assert small == {
        'customer': 'small',
        'own_service': 0,
        'peer_service': 500,
        'unmet_at_peers': 2,
        'due_share': 1,
        'full': 1,
        'refused': 1,
    }
    assert (large['customer'], large['served']) == ('large', 1)


def test_one_line_per_interval_and_none_without_refusals(lines):
    log, meters = ShareLog(), {'models': ServiceMeter()}
    log.count('models', 'ann', Outcome.refused, 0)
    log.write_due(meters, LOG_INTERVAL_SECONDS / 2)
    assert not lines()
    log.write_due(meters, LOG_INTERVAL_SECONDS)
    log.write_due(meters, LOG_INTERVAL_SECONDS)
    assert len(lines()) == 1
    log.count('models', 'ann', Outcome.served, 2)
    log.write_due(meters, 2 + LOG_INTERVAL_SECONDS)
    assert len(lines()) == 1


def test_line_is_bounded_however_many_customers_there_are(lines):
    log, meter = ShareLog(), ServiceMeter()
    for number in range(200):
        meter.served.add(f'c{number}', number, 0)
        log.count('models', f'c{number}', Outcome.refused, 0)
    log.write_due({'models': meter}, LOG_INTERVAL_SECONDS)
    customers = [row['customer'] for row in lines()[0]['customers']]
    assert len(customers) == 2 * MAX_LOGGED_AT_EACH_END
    assert customers[0] == 'c0'
    assert customers[-1] == 'c199'
