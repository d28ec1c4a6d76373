"""Starts programs in functional tests; see ``hickorymux_emulator.programs``."""

from hickorymux_emulator.programs import (
    Program,
    ProgramError,
    ProgramGroup,
    free_port,
)

__all__ = ('Program', 'ProgramError', 'ProgramGroup', 'free_port')
