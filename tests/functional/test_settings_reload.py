"""SIGHUP applies the settings that may change and rejects an invalid file.

A file may be read while it is being written. The process must then keep its
former settings and log why.
"""

import asyncio
import logging
import os
import signal

import pytest

from hickorymux._internal.utils.json_logging import FIELDS
from tests.lib.platform_fleet import SETTINGS, platform_fleet, route
from tests.soak.fleet import SoakFleet

READ = route('/read/', 'idempotent')


def settings_text(process, revoke_ms):
    settings = process.settings
    return SETTINGS.format(
        node=settings.router_id,
        ip=settings.callers.host,
        front=settings.callers.port,
        ready=settings.readiness.port,
        peer=settings.peers.port,
        store=settings.store,
        revoke_ms=revoke_ms,
        grace=8,
    )


@pytest.fixture
def events():
    """Collect the fields of the log records."""
    seen = []

    class Collector(logging.Handler):
        def emit(self, record):
            seen.append(getattr(record, FIELDS, {}))

    logger = logging.getLogger('hickorymux')
    former_level, handler = logger.level, Collector()
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield seen
    logger.removeHandler(handler)
    logger.setLevel(former_level)


async def test_hangup_takes_new_bounds_and_refuses_a_torn_file(
    events, monkeypatch, tmp_path
):
    file = tmp_path / 'local.toml'
    monkeypatch.setenv('HICKORYMUX_CONFIG', str(file))
    async with platform_fleet(READ, revoke_ms=5000) as fleet:
        process = fleet.process
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, process.reload)
        try:
            former_age = process.server.view.max_key_staleness
            file.write_text(settings_text(process, 2000))
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert process.server.view.max_key_staleness == pytest.approx(
                former_age - 3
            )
            file.write_text('node = ')
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert process.server.view.max_key_staleness == pytest.approx(
                former_age - 3
            )
        finally:
            loop.remove_signal_handler(signal.SIGHUP)
    event_names = [event.get('event') for event in events]
    assert event_names.index('reloaded') < event_names.index('reload_refused')
    refused = next(
        event for event in events if event.get('event') == 'reload_refused'
    )
    assert str(file) in refused['reason']


@pytest.mark.processes
async def test_hangup_while_starting_ends_the_process(tmp_path):
    fleet = SoakFleet(tmp_path, router_count=1)
    try:
        await fleet.start()
        router = fleet.routers[0]
        router.stop()
        router.start()
        await asyncio.sleep(0.1)
        router.signal(signal.SIGHUP)
        await fleet.wait_for_router(router)
    finally:
        await fleet.close()
