"""Log lines never block the program, and cost little when there are many."""

import asyncio
import json
import logging
import os

import pytest

from hickorymux._internal.coordination.decisions import DecisionLog
from hickorymux._internal.utils.bounded_output import (
    BURST_LINES,
    MAX_BUFFERED_LINES,
    BoundedOutput,
)
from hickorymux._internal.utils.json_logging import JsonFormatter
from tests.lib.fake_clock import FakeClock


@pytest.fixture
def pipe():
    """Return the reading end of a pipe and an output on the other end."""
    clock = FakeClock()
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    output = BoundedOutput(
        writing, JsonFormatter({'router': 'r1'}), clock.monotonic
    )
    yield reading, output, clock
    os.close(reading)
    os.close(writing)


def read_bytes(reading):
    received = b''
    while True:
        try:
            part = os.read(reading, 1 << 16)
        except BlockingIOError:
            return received
        received += part


def read_lines(reading):
    return [json.loads(line) for line in read_bytes(reading).splitlines()]


async def test_lines_of_one_iteration_are_written_together(pipe):
    reading, output, _ = pipe
    output.write_routine('decisions', 'placed', {'request_id': 'a'})
    output.write_routine('decisions', 'answered', {'request_id': 'a'})
    assert not read_lines(reading)
    await asyncio.sleep(0)
    placed, answered = read_lines(reading)
    assert (placed['message'], answered['message']) == ('placed', 'answered')
    assert placed['router'] == 'r1'
    assert placed.keys() == answered.keys()


async def test_lines_above_the_rate_are_counted_not_written(pipe):
    reading, output, clock = pipe
    for _ in range(int(BURST_LINES) + 5):
        output.write_routine('decisions', 'refused', {})
        await asyncio.sleep(0)
        output.flush()
        read = read_lines(reading)
    assert not read
    clock.advance(1)
    output.write_routine('decisions', 'refused', {})
    await asyncio.sleep(0)
    omitted, _ = read_lines(reading)
    assert (omitted['event'], omitted['count']) == ('lines_left_out', 5)


async def test_slow_reader_blocks_nothing_and_gets_whole_lines(pipe):
    reading, output, clock = pipe
    for _ in range(2 * MAX_BUFFERED_LINES):
        clock.advance(1)
        output.write_routine('decisions', 'refused', {'text': 'x' * 100})
        await asyncio.sleep(0)
    assert len(output.buffer) <= MAX_BUFFERED_LINES
    received = read_bytes(reading)
    while output.buffer:
        output.flush()
        received += read_bytes(reading)
    lines = [json.loads(line) for line in received.splitlines()]
    assert len(lines) >= MAX_BUFFERED_LINES


async def test_decisions_use_the_configured_output(pipe, monkeypatch, caplog):
    reading, output, _ = pipe
    monkeypatch.setattr(logging.getLogger(), 'handlers', [output])
    caplog.set_level(logging.INFO, logger='hickorymux')
    DecisionLog('r1', FakeClock(), 0).record('a', 'placed', 'first choice')
    await asyncio.sleep(0)
    (line,) = read_lines(reading)
    assert (line['request_id'], line['reason']) == ('a', 'first choice')
    assert line['logger'] == 'decisions'
