"""New connections are used only if they end at the proved instance.

An upstream may restart between its last load report and a new connection. The
connection then ends at a cold instance, which more work than its cold limit
would crash.
"""

import asyncio

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from hickorymux._internal.state.instance_proof import InstanceProof
from hickorymux._internal.state.tables import Upstream
from hickorymux._internal.state.upstream_state import LoadReport
from hickorymux._internal.transport.connection_gate import (
    ConnectionGate,
    ConnectionUnverified,
)
from hickorymux._internal.utils.clock import SystemClock
from hickorymux_emulator.engine import EngineSettings
from hickorymux_emulator.engine_service import EngineService
from hickorymux_emulator.serving import CONNECTIONS

WAIT_TIMEOUT_SECONDS = 8.0


class Connection:
    """Represents a new connection to the upstream."""


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def test_connection_to_a_new_instance_is_refused_and_then_proved() -> (
    None
):
    service = EngineService(
        EngineSettings(load_lag_seconds=0.5, cold_seconds=1)
    )
    server = TestServer(service.app())
    await server.start_server()
    service.web_app[CONNECTIONS].server = server.runner.server
    upstream = Upstream('engine', 'a', f'127.0.0.1:{server.port}', 4)
    lost: list[str] = []
    reports: list[LoadReport] = []
    gate = ConnectionGate(
        SystemClock(),
        lambda _, report: reports.append(report),
        lambda one: lost.append(one.name),
        lambda _: True,
    )
    try:
        first = service.engine.instance
        with pytest.raises(ConnectionUnverified):
            await gate.verify(upstream, first, Connection())
        await wait_until(lambda: gate.is_verified(upstream, first))
        connection = Connection()
        await gate.verify(upstream, first, connection)
        service.engine.crash()
        with pytest.raises(ConnectionUnverified):
            await gate.verify(upstream, first, Connection())
        second = service.engine.instance
        await wait_until(lambda: gate.is_verified(upstream, second))
        with pytest.raises(ConnectionUnverified):
            await gate.verify(upstream, first, Connection())
        await gate.verify(upstream, second, Connection())
        assert lost
        assert {one.instance for one in reports} <= {first, second}
        instances = [one.instance for one in reports]
        assert instances == sorted(instances, key=[first, second].index)
        assert reports[-1].instance == second
    finally:
        await gate.close()
        await server.close()


async def test_anchor_survives_an_upstream_that_is_not_there() -> None:
    upstream = Upstream('engine', 'a', '127.0.0.1:9', 4)
    gate = ConnectionGate(
        SystemClock(), lambda *_: None, lambda *_: None, lambda _: True
    )
    with pytest.raises(ConnectionUnverified):
        await gate.verify(upstream, 'i1', Connection())
    await asyncio.sleep(0.05)
    with pytest.raises(ConnectionUnverified):
        await gate.verify(upstream, 'i1', Connection())
    await gate.close()


def test_report_made_before_the_connection_proves_nothing() -> None:
    proof = InstanceProof(connected_at=10)
    old = LoadReport('i1', 'warm', reported_at=99.5)
    assert not proof.apply_report(old, served_at=100, now=10)
    assert not proof.instance
    new = LoadReport('i2', 'cold', reported_at=101)
    assert proof.apply_report(new, served_at=101, now=11)
    assert proof.instance == 'i2'


def test_without_a_time_of_the_upstream_the_lag_is_waited_out() -> None:
    proof = InstanceProof(connected_at=10)
    report = LoadReport('i1', 'warm', reported_at=5)
    assert not proof.apply_report(report, served_at=None, now=11)
    assert proof.apply_report(report, served_at=None, now=12)


async def test_library_connections_can_be_marked() -> None:
    service = EngineService(EngineSettings())
    server = TestServer(service.app())
    await server.start_server()
    gate = ConnectionGate(
        SystemClock(), lambda *_: None, lambda *_: None, lambda _: True
    )
    async with aiohttp.ClientSession() as session:
        async with session.get(server.make_url('/load')) as response:
            connection = response.connection
            if connection is not None:
                gate.verified_instances[connection.protocol] = 'i1'
                assert gate.verified_instances[connection.protocol] == 'i1'
    await gate.close()
    await server.close()
