"""Runs of the garbage collector that stop a router for long."""

import subprocess
import sys

from hickorymux._internal.utils.collector import (
    DUE_SECONDS,
    MAX_DELAY_SECONDS,
    QUIET_REQUESTS,
    FullRuns,
)

PROGRAM = """
import gc
import hickorymux.platform.__main__
from hickorymux._internal.utils.collector import limit_collector_pauses

before = len(gc.get_objects())
limit_collector_pauses()
print(before, len(gc.get_objects()))

class Cycle:
    def __init__(self):
        self.me = self

freed = 0
def count(phase, info):
    global freed
    if phase == 'stop':
        freed += info['collected']
gc.callbacks.append(count)
for _ in range(50_000):
    Cycle()
print(freed)
"""


def run_program():
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    )
    return [int(word) for word in done.stdout.split()]


def test_collector_scans_all_imported_objects_again_and_again():
    before, scanned, freed = run_program()
    assert before > 20_000
    assert scanned < 1_000
    # New cycles are freed as before.
    assert freed > 30_000


def test_full_runs_wait_until_few_requests_are_in_progress():
    runs = []
    full_runs = FullRuns(0, lambda: runs.append(None))
    full_runs.run_due(0, DUE_SECONDS / 2)
    full_runs.run_due(QUIET_REQUESTS + 1, DUE_SECONDS)
    assert not runs
    full_runs.run_due(QUIET_REQUESTS, DUE_SECONDS + 1)
    full_runs.run_due(QUIET_REQUESTS, DUE_SECONDS + 2)
    assert len(runs) == 1
    full_runs.run_due(1000, DUE_SECONDS + 1 + MAX_DELAY_SECONDS)
    assert len(runs) == 2
