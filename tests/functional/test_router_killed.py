"""A router that is killed while it serves causes no false answer.

Callers lose their connection and resend to another router. A stream must then
be complete. A write must neither run again nor be reported as not run.
"""

import asyncio

import aiohttp
import pytest
from lib.small_fleet import open_fleet

from demo.fleet import Fleet
from demo.outcomes import Outcome, Result, WorkKind
from demo.phases import Phases, now
from demo.guarantees import check_guarantees
from demo.requests import Caller
from demo.scenario import new_traffic
from demo.traffic import Entry, Traffic, uuid7

pytestmark = pytest.mark.processes

KILLED_ROUTER = 'entry-b1'
LONG_TOKENS = 300
MIN_COMPLETE_RESPONSES = 60
WRITE_LATENCY_MS = 1000
WAIT_SECONDS = 30
GUARANTEES = (
    'a write runs at most once',
    '"ran: no" is true',
    'an answered write has run',
    'a cold engine keeps to its cold limit',
)


async def wait_for_whole_responses(traffic: Traffic, minimum: int) -> None:
    """Wait until so many requests have a complete answer."""
    async with asyncio.timeout(WAIT_SECONDS):
        while (
            sum(one.result is Result.whole for one in traffic.outcomes)
            < minimum
        ):
            await asyncio.sleep(0.05)


async def wait_for_executions(fleet: Fleet, session, keys: set[str]) -> None:
    """Wait until the services have executed the writes with these keys."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            records = await fleet.platform.records(session, fleet.deployment)
            entries = sum(records.executions.values(), [])
            if keys <= {entry['idempotency_key'] for entry in entries}:
                return
            await asyncio.sleep(0.05)


async def slow_down_services(fleet: Fleet, session) -> None:
    for name, program in fleet.platform.upstreams.items():
        if name.startswith('orders'):
            change = {'latency_ms': WRITE_LATENCY_MS}
            await session.post(f'{program.url}/control', json=change)


def new_outcome(caller: Caller, number: int) -> Outcome:
    """Return a request to be in progress at the router when it is killed."""
    kind = WorkKind.write if number % 2 else WorkKind.stream
    key = uuid7() if kind is WorkKind.write else ''
    name = f'under-way-{caller.customer}-{number}'
    return Outcome(name, caller.customer, kind, KILLED_ROUTER, key=key)


async def kill_while_serving(
    fleet: Fleet, session, traffic: Traffic
) -> list[tuple[Caller, Outcome]]:
    """Kill the router; return the requests that were in progress there."""
    interrupted = [
        (caller, new_outcome(caller, number))
        for caller, _ in traffic.callers
        for number in range(2)
    ]
    await slow_down_services(fleet, session)
    url = fleet.urls()[KILLED_ROUTER]
    sending = [
        asyncio.create_task(caller.send(outcome, url, LONG_TOKENS))
        for caller, outcome in interrupted
    ]
    keys = {outcome.key for _, outcome in interrupted} - {''}
    await wait_for_executions(fleet, session, keys)
    fleet.routers[KILLED_ROUTER].kill()
    traffic.entries = [
        entry for entry in traffic.entries if entry.router != KILLED_ROUTER
    ]
    await asyncio.gather(*sending)
    return interrupted


async def resend(
    interrupted: list[tuple[Caller, Outcome]], entry: Entry
) -> list[Outcome]:
    """Send each interrupted request again, as its caller would."""
    resent = [
        Outcome(
            one.request_id, one.customer, one.kind, entry.router, key=one.key
        )
        for _, one in interrupted
    ]
    callers = [caller for caller, _ in interrupted]
    await asyncio.gather(
        *(
            caller.send(one, entry.url, LONG_TOKENS)
            for caller, one in zip(callers, resent, strict=True)
        )
    )
    return resent


async def test_killed_router_leaves_no_caller_with_a_false_answer() -> None:
    async with (
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
        open_fleet(session) as fleet,
    ):
        traffic = new_traffic(fleet, session)
        serving = asyncio.create_task(traffic.run())
        await wait_for_whole_responses(traffic, MIN_COMPLETE_RESPONSES)
        interrupted = await kill_while_serving(fleet, session, traffic)
        served = sum(one.result is Result.whole for one in traffic.outcomes)
        await wait_for_whole_responses(traffic, served + MIN_COMPLETE_RESPONSES)
        resent = await resend(interrupted, traffic.entries[-1])
        traffic.stop()
        await serving
        records = await fleet.platform.records(session, fleet.deployment)

    first = [outcome for _, outcome in interrupted]
    everything = [*traffic.outcomes, *first, *resent]
    lost = [one for one in everything if one.result is Result.lost]
    assert {one.router for one in lost} == {KILLED_ROUTER}
    assert all(one.result is Result.lost for one in first)

    streams = [one for one in resent if one.kind is WorkKind.stream]
    assert [one.result for one in streams] == [Result.whole] * len(streams)
    writes = [one for one in resent if one.kind is WorkKind.write]
    assert {(one.code, one.ran == 'no') for one in writes} == {
        ('duplicate_request', False)
    }

    results = check_guarantees(
        everything, records, Phases('', now(), now()), {}
    )
    violations = {one.guarantee: one.violations for one in results}
    assert {name: violations[name] for name in GUARANTEES} == dict.fromkeys(
        GUARANTEES, ()
    )
