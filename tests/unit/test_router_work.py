"""Tests of the log lines that show what a router's processor is spent on."""

import gc

import pytest

from hickorymux._internal.transport.router_work import (
    BUSY_SHARE,
    LOG_INTERVAL_SECONDS,
    MAX_LOGGED_CUSTOMERS,
    RouterWork,
)
from hickorymux._internal.utils.json_logging import FIELDS


class Seconds:
    """A clock that only moves when it is told to."""

    def __init__(self):
        self.seconds = 0.0

    def __call__(self):
        return self.seconds


@pytest.fixture
def lines(caplog):
    """Return a function that returns the fields of the lines so far."""
    caplog.set_level('INFO', logger='hickorymux')
    return lambda: [getattr(record, FIELDS) for record in caplog.records]


def test_line_tells_what_was_refused_and_for_whom(lines):
    now, processor = Seconds(), Seconds()
    work = RouterWork(now, processor)
    work.counts.refused_unread += 2
    work.counts.events += 30
    for _ in range(3):
        work.count_customer('large', is_refused=True)
    work.count_customer('small', is_refused=False)
    work.observe_lag(0.2)
    work.observe_lag(0.1)
    processor.seconds = 0.25
    now.seconds = LOG_INTERVAL_SECONDS
    work.write_due(running=7)
    (line,) = lines()
    assert line['processor_seconds'] == 0.25
    assert line['max_lag_seconds'] == 0.2
    assert (line['refused_unread'], line['events']) == (2, 30)
    assert line['running'] == 7
    assert line['customers'] == [
        {'customer': 'large', 'requests': 3, 'refused_busy': 3},
        {'customer': 'small', 'requests': 1, 'refused_busy': 0},
    ]


def test_no_line_while_the_router_is_neither_busy_nor_refuses(lines):
    now, processor = Seconds(), Seconds()
    work = RouterWork(now, processor)
    work.count_customer('small', is_refused=False)
    processor.seconds = BUSY_SHARE * LOG_INTERVAL_SECONDS / 2
    now.seconds = LOG_INTERVAL_SECONDS
    work.write_due(running=1)
    assert not lines()
    processor.seconds += 2 * BUSY_SHARE * LOG_INTERVAL_SECONDS
    now.seconds += LOG_INTERVAL_SECONDS
    work.write_due(running=1)
    assert len(lines()) == 1


def test_line_is_bounded_however_many_customers_there_are(lines):
    now = Seconds()
    work = RouterWork(now, Seconds())
    work.counts.refused_busy += 1
    for number in range(100):
        work.count_customer(f'c{number}', is_refused=True)
    now.seconds = LOG_INTERVAL_SECONDS
    work.write_due(running=0)
    assert len(lines()[0]['customers']) == MAX_LOGGED_CUSTOMERS


def test_pauses_of_the_garbage_collector_are_measured(lines):
    now = Seconds()
    work = RouterWork(now, Seconds())
    work.watch_collector()
    gc.collect()
    work.unwatch_collector()
    for seconds in (0.1, 0.3):
        work.on_collection('start', {})
        now.seconds += seconds
        work.on_collection('stop', {})
    work.counts.refused_busy += 1
    now.seconds = LOG_INTERVAL_SECONDS
    work.write_due(running=0)
    (line,) = lines()
    assert (line['pause_seconds'], line['max_pause_seconds']) == (0.4, 0.3)
    assert work.on_collection not in gc.callbacks
