"""Two customers may use the same request id, as callers choose the ids.

If work were cancelled by the caller's id alone, a caller that disconnects would
end the work of another customer.
"""

import asyncio

import aiohttp
import pytest
from lib.small_fleet import open_fleet

from demo.outcomes import Outcome, Result, WorkKind
from demo.scenario import new_traffic

pytestmark = pytest.mark.processes

SAME_ID = 'same-id'
LONG_TOKENS = 200


async def drain_all_engines_but_one(fleet) -> None:
    """Drain all engines but one, so that both requests run there."""
    log = f'--log={fleet.platform.log.url}'
    for name in fleet.platform.upstreams:
        if name.startswith('engine') and name != 'engine-a1':
            await fleet.run_operator_command('drain', f'--upstream={name}', log)


async def fetch_runs(fleet, session) -> list[dict]:
    url = fleet.platform.upstreams['engine-a1'].url
    async with session.get(f'{url}/runs') as answer:
        return await answer.json()


async def wait_for_run_count(fleet, session, minimum: int) -> None:
    async with asyncio.timeout(30):
        while len(await fetch_runs(fleet, session)) < minimum:
            await asyncio.sleep(0.05)


async def test_caller_that_leaves_ends_no_work_of_another() -> None:
    async with aiohttp.ClientSession() as session, open_fleet(session) as fleet:
        await drain_all_engines_but_one(fleet)
        callers = [caller for caller, _ in new_traffic(fleet, session).callers]
        url = next(iter(fleet.urls().values()))
        sends = []
        outcomes = []
        for number, caller in enumerate(callers[:2]):
            outcome = Outcome(
                SAME_ID, caller.customer, WorkKind.stream, 'entry-a1'
            )
            outcomes.append(outcome)
            send = caller.send(outcome, url, LONG_TOKENS)
            sends.append(asyncio.create_task(send))
            await wait_for_run_count(fleet, session, number + 1)
        sends[0].cancel()
        await sends[1]
        runs = await fetch_runs(fleet, session)
    assert outcomes[1].result is Result.whole, outcomes[1].cause
    ends = {run['customer_text'].split()[0]: run['end'] for run in runs}
    assert ends == {
        callers[0].customer: 'cancelled',
        callers[1].customer: 'finished',
    }
