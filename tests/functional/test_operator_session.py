"""The output of the operators' commands in a session of two operators.

Both edit the same tables, with errors in the files, a stale base version and a
log outage. The snapshot holds all output and exit statuses, so that a change
in the output is noticed.
"""

from pathlib import Path

import pytest
from lib.command_line import control_log, run_command, running_log
from lib.config_samples import POOLS_TOML, ROUTES_TOML
from syrupy.assertion import SnapshotAssertion

pytestmark = pytest.mark.processes


class Session:
    """Runs commands and records them with their output and exit status."""

    def __init__(self, path: Path, log: str) -> None:
        self.path = path
        self.log = log
        self.lines: list[str] = []
        (path / 'routes.toml').write_text(ROUTES_TOML)
        (path / 'pools.toml').write_text(POOLS_TOML)

    def edit(self, file: str, old: str, new: str) -> None:
        text = (self.path / file).read_text()
        assert old in text
        (self.path / file).write_text(text.replace(old, new))
        self.lines.append(f'# {file}: {old} becomes {new}')

    def run(self, *words: str, author: str = 'anne') -> None:
        typed = ' '.join(words)
        if words[0] in {'apply', 'check'}:
            words += (
                f'--routes={self.path}/routes.toml',
                f'--pools={self.path}/pools.toml',
            )
        ended = run_command(
            *words, HICKORYMUX_LOG=self.log, HICKORYMUX_AUTHOR=author
        )
        self.lines.append(f'{author}$ hickorymux {typed}')
        self.lines.extend(self._relative_lines(ended.stdout))
        self.lines.extend(self._relative_lines(ended.stderr))
        self.lines.append(f'status {ended.returncode}')

    def _relative_lines(self, text: str) -> list[str]:
        return text.replace(f'{self.path}/', '').splitlines()


def test_a_session_of_two_operators(
    tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    with running_log() as log:
        session = Session(tmp_path, log)
        session.edit('pools.toml', 'cold_slots = 2', 'cold_slot = 9')
        session.edit('routes.toml', 'pool = "register"', 'pool = "registre"')
        session.run('check')
        session.run('apply')
        session.edit('pools.toml', 'cold_slot = 9', 'cold_slots = 2')
        session.edit('routes.toml', 'pool = "registre"', 'pool = "register"')
        session.run('check')
        session.run('apply')
        session.edit('pools.toml', 'slots = 4', 'slots = 6')
        session.run('apply', '--base=1', author='bob')
        session.edit('pools.toml', 'slots = 6', 'slots = 5')
        session.edit('routes.toml', '"20s"', '"10s"')
        session.run('apply', '--base=1')
        session.edit('pools.toml', 'slots = 5', 'slots = 6')
        session.run('apply', '--base=1')
        session.run('apply', '--base=1')
        session.run('drain', '--zone=c')
        session.run('drain', '--zone=a')
        session.run('drain', '--zone=a', author='bob')
        session.run('restore', '--zone=a', author='bob')
        session.run('apply', '--reset')
        control_log(log, outage='refuse')
        session.run('drain', '--upstream=engine-1')
        assert '\n'.join(session.lines) == snapshot
