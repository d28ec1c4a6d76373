"""A stream holds events of one software version of its upstreams.

What two versions write does not fit together, and the engines do not check
which version began a stream. The tests count the streams that callers got
events of two versions of, and those that went on at the version they began at.
"""

import asyncio
import dataclasses

import aiohttp
import pytest
import uvloop

from hickorymux._internal.coordination.engines.load_tracker import EngineLoad
from tests.lib.platform_engine import (
    PlatformEngine,
    ReceivedRequest,
    reset_connection,
)
from tests.lib.platform_fleet import (
    PlatformFleet,
    manifest,
    platform_fleet,
    route,
)

EVENT_COUNT = 5
EVENTS_UNTIL_CUT = 2
STREAM_COUNT = 24
BEGIN_TIMEOUT_SECONDS = 10
MAX_RESUMES = 5
RESUMED = route('/stream/', 'streaming', resumable=True, maxAttempts=4)
RESUMED_BY_CALLER = route('/stream/', 'streaming', resumable=True)


@pytest.fixture(
    scope='module',
    params=(uvloop.EventLoopPolicy(), asyncio.DefaultEventLoopPolicy()),
    ids=('uvloop', 'asyncio'),
)
def event_loop_policy(request):
    """Run each test on uvloop, as the entry process does, and on asyncio."""
    return request.param


@dataclasses.dataclass
class Stream:
    """What one caller got of a stream over all of its tries.

    ``refusal`` is the error code of the last try, empty if it was served.
    """

    name: str
    first_request_id: str = ''
    versions: list[str] = dataclasses.field(default_factory=list)
    refusal: str = ''

    @property
    def is_mixed(self) -> bool:
        """Return whether events of two versions arrived."""
        return len(set(self.versions)) > 1

    @property
    def went_on(self) -> bool:
        """Return whether all events arrived."""
        return len(self.versions) == EVENT_COUNT


class VersionedEngine(PlatformEngine):
    """An engine that names its version in each event.

    It resets streams that begin after some events, and holds them there until
    ``gate`` is set.
    """

    def __init__(self, number: int, version: str) -> None:
        super().__init__(f'e{number}', self.stream)
        self.version = version
        self.gate = asyncio.Event()
        self.gate.set()

    async def stream(self, received: ReceivedRequest) -> None:
        """Send the events after the last one that the caller has."""
        first = int(received.headers.get('last-event-id', 0)) + 1
        received.writer.write(
            received.head(
                '200 OK',
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        for number in range(first, EVENT_COUNT + 1):
            event = f'id: {number}\ndata: {self.version}\n\n'
            received.writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await received.writer.drain()
            if first == 1 and number == EVENTS_UNTIL_CUT:
                # Bytes that the router has not read yet would be lost.
                await asyncio.sleep(0.02)
                await self.gate.wait()
                reset_connection(received)
                await asyncio.sleep(0.1)
                return
        received.writer.write(b'0\r\n\r\n')


async def add_engines(fleet: PlatformFleet, *versions: str) -> None:
    for version in versions:
        await fleet.add_engine(VersionedEngine(len(fleet.engines), version))


async def read(fleet, stream: Stream, request_id: str, router=None) -> None:
    """Send one try of a stream and add what arrives to it."""
    headers = {'X-Request-Id': request_id, 'X-Request-Deadline': '10000'}
    stream.refusal = ''
    if stream.first_request_id:
        headers['Resumes'] = stream.first_request_id
        headers['Last-Event-Id'] = str(len(stream.versions))
    try:
        async with fleet.request(
            'POST', '/stream/x', router, headers=headers, data=b'1'
        ) as answer:
            if answer.status != 200:
                stream.refusal = (await answer.text()).partition(':')[0]
                return
            async for line in answer.content:
                if line.startswith(b'data: '):
                    stream.first_request_id = (
                        stream.first_request_id or request_id
                    )
                    stream.versions.append(line[6:].decode().strip())
    except (aiohttp.ClientError, ConnectionError):
        # The events that arrived before the cut count.
        return


def new_streams() -> list[Stream]:
    return [Stream(f's{number}') for number in range(STREAM_COUNT)]


async def begin_streams(fleet, streams=()) -> list[Stream]:
    """Begin many streams at the first router, which are cut after some events."""
    streams = streams or new_streams()

    async def begin(stream: Stream) -> None:
        # A router may refuse some while engines that cut streams are ejected.
        tries = 0
        while not stream.versions:
            tries += 1
            await read(fleet, stream, f'{stream.name}-1.{tries}')
            await asyncio.sleep(0.05)

    async with asyncio.timeout(BEGIN_TIMEOUT_SECONDS):
        await asyncio.gather(*map(begin, streams))
    return streams


async def resume_streams(fleet, streams, router) -> None:
    """Resume streams, again if the router sheds load of the whole test."""

    async def resume(stream: Stream) -> None:
        for number in range(2, 2 + MAX_RESUMES):
            await read(fleet, stream, f'{stream.name}-{number}', router)
            if stream.refusal != 'not_ready':
                return
            await asyncio.sleep(0.1)

    await asyncio.gather(*map(resume, streams))


def mixed(streams) -> list[Stream]:
    return [each for each in streams if each.is_mixed]


def count_gone_on(streams) -> int:
    return sum(each.went_on for each in streams)


@pytest.mark.parametrize('versions', [('v1', 'v2'), ('v1', 'v2', 'v3')])
async def test_answer_goes_on_at_another_version(versions):
    async with platform_fleet(RESUMED) as fleet:
        await add_engines(fleet, *versions, *versions, *versions)
        await fleet.wait_until_ready()
        streams = await begin_streams(fleet)
        assert not mixed(streams)
        assert count_gone_on(streams) > STREAM_COUNT / 2


async def test_caller_resumes_at_another_version_at_the_same_router():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v2', 'v1', 'v2')
        await fleet.wait_until_ready()
        streams = await begin_streams(fleet)
        await resume_streams(fleet, streams, fleet.process)
        assert not mixed(streams)
        assert count_gone_on(streams) > STREAM_COUNT / 2


@pytest.mark.parametrize('is_first_router_killed', [False, True])
async def test_caller_resumes_at_another_version_at_another_router(
    is_first_router_killed,
):
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v2', 'v3', 'v1', 'v2', 'v3')
        routers = [await fleet.add_router() for _ in range(3)]
        await fleet.wait_until_ready()
        for engine in fleet.engines:
            engine.gate.clear()
        streams = new_streams()
        beginning = asyncio.create_task(begin_streams(fleet, streams))
        async with asyncio.timeout(BEGIN_TIMEOUT_SECONDS):
            while not all(each.versions for each in streams):
                await asyncio.sleep(0.02)
        if is_first_router_killed:
            await fleet.process.close()
        for engine in fleet.engines:
            engine.gate.set()
        await beginning
        for index, router in enumerate(routers):
            await resume_streams(fleet, streams[index::3], router)
        assert not mixed(streams)
        assert count_gone_on(streams) > STREAM_COUNT / 2


async def test_stream_of_an_unknown_version_is_sent_on_at_a_guess():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v2')
        await fleet.wait_until_ready()
        stream = Stream('s', 'never-seen', ['v1'])
        await resume_streams(fleet, [stream], fleet.process)
        assert stream.refusal == 'stream_unknown'
        assert not any(engine.received for engine in fleet.engines)


async def test_unknown_version_is_looked_for_beyond_the_deadline():
    impatient = route('/stream/', 'streaming', resumable=True, timeoutMs=100)
    async with platform_fleet(impatient) as fleet:
        await add_engines(fleet, 'v1', 'v2')
        silent = await fleet.add_router()
        await fleet.wait_until_ready()
        silent.network.handler = lambda _sender_id, _message: None
        stream = Stream('s', 'never-seen', ['v1'])
        started_at = fleet.process.clock.monotonic()
        await read(fleet, stream, 's-2')
        assert stream.refusal == 'stream_unknown'
        assert fleet.process.clock.monotonic() - started_at < 0.25


async def test_stream_is_resumed_though_no_engine_has_its_version():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v2', 'v2')
        await fleet.wait_until_ready()
        streams = await begin_streams(fleet)
        await fleet.store.put('keyed.servers', 'e0', None)
        while 'e0' in fleet.process.view.registry.upstreams:
            await asyncio.sleep(0.02)
        lost = [each for each in streams if each.versions[0] == 'v1']
        assert lost
        started_at = fleet.process.clock.monotonic()
        await resume_streams(fleet, lost, fleet.process)
        assert {each.refusal for each in lost} == {'stream_version_gone'}
        # The caller should know at once.
        assert fleet.process.clock.monotonic() - started_at < 1


async def test_stream_is_resumed_at_another_pool():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v1')
        await fleet.wait_until_ready()
        streams = await begin_streams(fleet)
        moved = manifest(2, {**RESUMED_BY_CALLER, 'service': 'other'})
        services = [{'name': name} for name in ('pool', 'other')]
        await fleet.store.put(
            'keyed.op', 'config', {**moved, 'services': services}
        )
        await fleet.add_engine(VersionedEngine(9, 'v1'), pool='other')
        await fleet.wait_until_ready()
        while fleet.process.view.table.version < 2:
            await asyncio.sleep(0.02)
        await resume_streams(fleet, streams, fleet.process)
        assert {each.refusal for each in streams} == {'stream_version_gone'}


async def test_new_version_takes_over_running_streams():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v1')
        other = await fleet.add_router()
        await fleet.wait_until_ready()
        streams = await begin_streams(fleet)
        await add_engines(fleet, 'v2', 'v2', 'v2')
        await fleet.wait_until_ready()
        await resume_streams(fleet, streams, other)
        assert not mixed(streams)
        assert count_gone_on(streams) > STREAM_COUNT / 2


# Origins are appended to the store by then, as a second version is seen at
# intervals of 0.5 s.
ARCHIVE_SECONDS = 1.2


async def begin_and_lose_all_routers(fleet: PlatformFleet) -> list[Stream]:
    """Begin streams, and replace all routers after their last events."""
    streams = await begin_streams(fleet)
    await asyncio.sleep(ARCHIVE_SECONDS)
    await fleet.lose_all_routers()
    await fleet.wait_until_ready()
    return streams


async def renew_entries(fleet: PlatformFleet, *engines, seconds=24) -> None:
    """Let the store have the entries of engines over some time."""
    for engine in engines:
        for number in range(int(seconds / 1.2)):
            entry = engine.entry(version=engine.version, seq=number)
            await fleet.store.put('keyed.servers', engine.engine_id, entry)


async def test_streams_of_two_versions_are_lost_with_all_routers():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v2', 'v1', 'v2')
        await fleet.add_router()
        await fleet.add_router()
        await fleet.wait_until_ready()
        streams = await begin_and_lose_all_routers(fleet)
        await resume_streams(fleet, streams, fleet.routers[1])
        assert not mixed(streams)
        assert count_gone_on(streams) > 0.8 * STREAM_COUNT


async def test_streams_begun_before_the_second_version_are_lost():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v1')
        await fleet.wait_until_ready()
        streams = await begin_streams(fleet)
        await add_engines(fleet, 'v2', 'v2')
        await fleet.wait_until_ready()
        await asyncio.sleep(ARCHIVE_SECONDS)
        await fleet.lose_all_routers()
        await fleet.wait_until_ready()
        await resume_streams(fleet, streams, fleet.process)
        assert not mixed(streams)
        assert count_gone_on(streams) > 0.8 * STREAM_COUNT


async def test_streams_of_one_version_are_lost_with_all_routers():
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v1')
        await renew_entries(fleet, *fleet.engines)
        await fleet.add_router()
        await fleet.wait_until_ready()
        streams = await begin_and_lose_all_routers(fleet)
        await resume_streams(fleet, streams, fleet.routers[1])
        assert count_gone_on(streams) > 0.8 * STREAM_COUNT
        # One version alone needs no records.
        assert 'stream-origins' not in fleet.store.topics


@pytest.mark.parametrize('is_history_compacted', [False, True])
async def test_version_that_left_before_the_loss_is_forgotten(
    is_history_compacted,
):
    """The only version that is left may not be the one of the stream."""
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        await add_engines(fleet, 'v1', 'v2', 'v2')
        await renew_entries(fleet, *fleet.engines)
        await fleet.wait_until_ready()
        await fleet.remove_engine(fleet.engines[0])
        if is_history_compacted:
            fleet.store.compact('keyed.servers')
        await fleet.lose_all_routers()
        await fleet.wait_until_ready()
        stream = Stream('s', 'never-seen', ['v1'])
        await resume_streams(fleet, [stream], fleet.process)
        assert stream.refusal == 'stream_unknown'


async def test_resumed_stream_is_refused_like_one_that_has_not_begun():
    """A new stream waits for 0.2 s at most; its engine is busy for longer."""
    async with platform_fleet(RESUMED_BY_CALLER) as fleet:
        engine = VersionedEngine(0, 'v1')
        await fleet.add_engine(engine, version='v1', slots=2)
        await fleet.wait_until_ready()
        cut = Stream('cut')
        await begin_streams(fleet, [cut])
        tracker = fleet.process.allocator.load_tracker
        load = EngineLoad(100, 0, 0)
        tracker.add(engine.engine_id, load)
        new = Stream('new')
        waiting = [
            asyncio.create_task(read(fleet, new, 'new-1')),
            asyncio.create_task(read(fleet, cut, 'cut-2')),
        ]
        await asyncio.sleep(0.35)
        tracker.remove(engine.engine_id, load)
        await asyncio.gather(*waiting)
        assert new.refusal == 'no_capacity'
        assert cut.went_on
