"""Keeps a SIGHUP from ending a process that still imports its modules.

Import this module before all others: a process that handles no SIGHUP ends
when it gets one, and the other modules take half a second.
"""

import signal
from typing import Any, Final, final


@final
class EarlyHangup:
    """Remembers whether SIGHUP came before the event loop handles it."""

    __slots__ = ('was_received',)

    def __init__(self) -> None:
        self.was_received = False

    def on_signal(self, _number: int, _frame: Any) -> None:
        """Record the signal; the handler of ``signal.signal``."""
        self.was_received = True


EARLY_HANGUP: Final = EarlyHangup()
signal.signal(signal.SIGHUP, EARLY_HANGUP.on_signal)
