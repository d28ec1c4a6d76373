"""Programs that tests start are stopped, paused and killed by process id.

A program that survives its test, such as a paused one, would disturb later
tests.
"""

import pytest
from lib.processes import Program, ProgramError, ProgramGroup


def test_program_ends_by_itself_on_sigterm() -> None:
    with ProgramGroup() as programs:
        service = programs.start_emulator('service')
        assert service.is_running
        assert service.stop() == 0


def test_failed_start_shows_the_output() -> None:
    bad = Program.start(
        'bad', 'hickorymux_emulator', ['engine', '--no-such-flag']
    )
    with pytest.raises(ProgramError, match='unrecognized arguments'):
        bad.wait_listening()


def test_paused_program_is_killed_by_its_group() -> None:
    with ProgramGroup() as programs:
        service = programs.start_emulator('service')
        service.pause()
        with pytest.raises(ProgramError, match='did not end'):
            service.stop(0.1)
    assert not service.is_running
