"""Run the tests and judge them against ``KNOWN-RED.txt``.

Each entry of ``KNOWN-RED.txt`` starts with the pytest node id of a test that
is known to fail for a real fault. Those tests still run. Their failures are
printed and passed over; any other failure fails the run.

Example::

    python -m tools.run_tests tests/unit
"""

import sys
from pathlib import Path
from typing import final

import pytest

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red(path: Path) -> frozenset[str]:
    """Return the node ids that are listed as known failures."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    entries = (line.split() for line in lines if line.startswith('tests/'))
    return frozenset(words[0] for words in entries)


@final
class KnownRedPlugin:
    """Collects failures and tells the known ones from the others."""

    __slots__ = ('known_ids', 'known_failures', 'unexpected_failures')

    def __init__(self, known_ids: frozenset[str]) -> None:
        self.known_ids = known_ids
        self.known_failures: list[str] = []
        self.unexpected_failures: list[str] = []

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record a failure of any phase of a test."""
        if not report.failed:
            return
        node_id = report.nodeid
        is_known = (
            node_id in self.known_ids or node_id.split('[')[0] in self.known_ids
        )
        (self.known_failures if is_known else self.unexpected_failures).append(
            node_id
        )

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Record a module that could not be collected."""
        if report.failed:
            self.unexpected_failures.append(report.nodeid)


def main(arguments: list[str]) -> int:
    """Run pytest and return the exit status of the verdict."""
    plugin = KnownRedPlugin(read_known_red(KNOWN_RED))
    status = pytest.main(arguments, plugins=[plugin])
    for node_id in plugin.known_failures:
        print(f'known red: {node_id}')
    if (
        status == pytest.ExitCode.TESTS_FAILED
        and not plugin.unexpected_failures
    ):
        return 0
    return int(status)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
