"""Tests of the load that peers report, by upstream."""

import random

from hickorymux._internal.coordination.engines.load_tracker import (
    EngineLoad,
    LoadTracker,
)

BUSY = EngineLoad(running=2, unprocessed_tokens=500, memory_tokens=900)
EMPTY = EngineLoad()


def test_report_lost_when_an_upstream_without_load_was_forgotten():
    tracker = LoadTracker()
    tracker.replace_report('zone b', {'e1': EMPTY}, 0)
    tracker.replace_report('zone c', {'e1': BUSY}, 0)
    tracker.replace_report('zone c', {}, 1)
    tracker.replace_report('zone b', {'e1': BUSY}, 1)
    assert tracker.total_load('e1') == BUSY


def test_load_of_ended_reports_does_not_stay():
    rng = random.Random(5)
    tracker = LoadTracker()
    sources = ('zone a', 'zone b', 'zone c')
    for now in range(300):
        rows = {
            f'e{number}': EngineLoad(rng.randrange(2), rng.randrange(2))
            for number in range(rng.randrange(4))
        }
        tracker.replace_report(rng.choice(sources), rows, now)
    for source in sources:
        tracker.replace_report(source, {}, 300)
    assert not tracker.peer_totals
