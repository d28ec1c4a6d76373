"""Programs for functional tests: see ``hickorymux_emulator.programs``."""

import socket

from hickorymux_emulator.programs import Program, ProgramError, ProgramGroup

__all__ = ('Program', 'ProgramError', 'ProgramGroup', 'free_port')


def free_port() -> int:
    """Return a TCP port of the loopback address that is free just now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])
