"""Runs an entry process on the platform: ``python3 -m hickorymux.platform``.

The platform passes the path of the settings file in an environment variable.
"""

# Before all other modules, which take long to import.
from hickorymux.platform.early_hangup import EARLY_HANGUP  # isort: skip

import asyncio
import os
import signal
import sys

import uvloop

from hickorymux._internal.exceptions import HickorymuxError
from hickorymux._internal.transport.entry_process import EntryProcess
from hickorymux._internal.utils.json_logging import configure_output
from hickorymux._internal.utils.terminal import write_error
from hickorymux.platform.deployment import PlatformDeployment
from hickorymux.platform.settings import load_settings

_EXIT_INVALID_SETTINGS = 2


async def _serve() -> None:
    settings = load_settings(os.environ)
    configure_output({'router': settings.router_id})
    process = EntryProcess.from_config(settings, PlatformDeployment())
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, process.reload)
    if EARLY_HANGUP.was_received:
        process.reload()
    await process.run()


def main() -> int:
    """Serve until a signal to stop arrives; return the exit status."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve())
    except HickorymuxError as error:
        write_error(f'hickorymux: {error}')
        return _EXIT_INVALID_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
