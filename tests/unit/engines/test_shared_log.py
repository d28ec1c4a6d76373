"""The zone reader reads the log for all routers of its zone.

A router must know how old the records are that it gets from the zone reader,
and read the store itself if the zone reader gives no answer.
"""

import asyncio

from hickorymux._internal.coordination.ports import (
    UNKNOWN_ERA,
    KeyedPage,
    KeyedRecord,
    Member,
)
from hickorymux._internal.coordination.shared_log import (
    REPLY_TIMEOUT_SECONDS,
    SharedLog,
)
from hickorymux._internal.coordination.topic_messages import TopicAsk
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.utils.clock import SystemClock
from tests.lib.fake_clock import FakeClock


class Log:
    """A log whose reads wait for a record until the test sets ``gate``."""

    def __init__(self):
        self.records = []
        self.era = UNKNOWN_ERA
        self.reads = 0
        self.gate = asyncio.Event()

    async def read_newest(self, topic):
        return KeyedPage(tuple(self.records), len(self.records), era=self.era)

    async def read(self, topic, from_offset, *, wait_seconds=0):
        self.reads += 1
        if wait_seconds and not self.records[from_offset:]:
            await self.gate.wait()
            self.gate.clear()
        found = tuple(self.records[from_offset:])
        return KeyedPage(
            found,
            len(self.records),
            0 if found else wait_seconds,
            self.era,
        )


class Zone:
    """Routers of one zone that exchange encoded messages.

    Messages are lost while ``is_cut`` is set.
    """

    def __init__(self, *names):
        self.clock = FakeClock()
        self.members = [Member(name, 1, 'z', '', 0) for name in names]
        self.log = Log()
        self.routers = {}
        self.is_cut = False
        for member in self.members:
            view = View(self, member)
            self.routers[member.router_id] = SharedLog(
                self.log, view, view, self.clock, {'paced': 0.5}
            )


class View:
    """The ``MemberView`` and ``PeerSender`` of one router."""

    def __init__(self, zone, me):
        self.zone = zone
        self.myself = me

    def live_in_zone(self, _zone):
        return self.zone.members

    def send(self, router_id, message):
        if self.zone.is_cut:
            return False
        codec = thrift_codec()
        message = codec.decode(*codec.encode(message))
        router = self.zone.routers[router_id]
        asyncio.get_running_loop().call_soon(
            router.on_message, self.myself.router_id, message
        )
        return True


async def test_second_router_gets_the_records_that_the_first_reads():
    zone = Zone('a', 'b')
    reading = asyncio.create_task(
        zone.routers['a'].read('t', 0, wait_seconds=1)
    )
    requesting = asyncio.create_task(
        zone.routers['b'].read('t', 0, wait_seconds=1)
    )
    await asyncio.sleep(0.01)
    zone.log.records = [KeyedRecord('k', b'\x00\xff{}', 0)]
    zone.log.gate.set()
    assert (await reading).records == (await requesting).records
    assert (await requesting).records[0].value == b'\x00\xff{}'
    assert zone.log.reads == 1


async def test_answer_states_how_much_older_than_the_request_it_is():
    zone = Zone('a', 'b')
    reading = asyncio.create_task(
        zone.routers['a'].read('t', 0, wait_seconds=1)
    )
    await asyncio.sleep(0.01)
    zone.clock.advance(0.4)
    requesting = asyncio.create_task(
        zone.routers['b'].read('t', 0, wait_seconds=1)
    )
    await asyncio.sleep(0.01)
    zone.log.records = [KeyedRecord('k', b'1', 0)]
    zone.log.gate.set()
    await reading
    assert abs((await requesting).complete_until_seconds + 0.4) < 0.001


async def test_request_waits_for_the_next_read_of_a_topic_with_an_interval():
    """Guards against a timeout that is shorter than the read interval.

    A request that arrives just after a read then times out before the next.
    """
    zone = Zone('a', 'b')
    zone.log.records = [KeyedRecord('k', b'1', 0)]
    requesting = asyncio.create_task(zone.routers['b'].read('paced', 0))
    await asyncio.sleep(REPLY_TIMEOUT_SECONDS + 0.05)
    assert not requesting.done()
    await zone.routers['a'].read('paced', 0)
    assert (await requesting).next_offset == 1
    assert zone.log.reads == 1


async def test_request_without_an_answer_reads_the_store():
    zone = Zone('a', 'b')
    zone.is_cut = True
    zone.log.records = [KeyedRecord('k', b'1', 0)]
    page = await zone.routers['b'].read('t', 0, wait_seconds=0.01)
    assert page.next_offset == 1
    assert zone.log.reads == 1
    page = await zone.routers['b'].read('t', 0, wait_seconds=0.01)
    assert page.next_offset == 1


async def test_records_that_the_reader_lacks_come_from_the_store():
    zone = Zone('a', 'b')
    zone.log.records = [KeyedRecord('k', b'1', 0), KeyedRecord('k', b'2', 1)]
    zone.log.gate.set()
    requesting = asyncio.create_task(
        zone.routers['b'].read('t', 0, wait_seconds=1)
    )
    await asyncio.sleep(0.01)
    await zone.routers['a'].read('t', 1, wait_seconds=1)
    page = await requesting
    assert [record.value for record in page.records] == [b'1', b'2']
    assert zone.log.reads == 2


class Requester:
    """A router that keeps the answers to its requests."""

    def __init__(self):
        self.pages = []

    def on_message(self, _sender_id, page):
        self.pages.append(page)


async def test_former_reader_does_not_answer_from_its_old_records():
    """After a restart, the router with the lowest id is the reader again."""
    zone = Zone('a', 'b')
    zone.members = [zone.members[1]]
    zone.log.records = [KeyedRecord('k', b'1', 0)]
    await zone.routers['b'].read('t', 0)
    zone.members = [Member('a', 1, 'z', '', 0), *zone.members]
    zone.routers['c'] = requester = Requester()
    zone.routers['b'].on_message('c', TopicAsk(1, 't', 1))
    await asyncio.sleep(0.01)
    assert not requester.pages[0].is_whole


class SleepRecorder(SystemClock):
    """The real clock; records for how long it is asked to sleep."""

    def __init__(self):
        self.slept = []

    async def sleep(self, seconds):
        self.slept.append(seconds)
        await super().sleep(seconds)


async def test_router_pauses_after_it_waited_for_a_silent_reader():
    """Its view is late already; the pause only spaces reads of the store."""
    zone = Zone('a', 'b')
    router = zone.routers['b']
    router.clock = clock = SleepRecorder()
    zone.is_cut = True
    page = await router.read('paced', 0)
    assert sum(clock.slept) == 0
    assert page.complete_until_seconds >= 0.5 + REPLY_TIMEOUT_SECONDS
    zone.is_cut = False
    zone.members.pop(0)
    await router.read('paced', 0)
    assert sum(clock.slept) > 0.4


async def listed_zone():
    """Return a zone whose two routers have listed a log of two records."""
    zone = Zone('a', 'b')
    zone.log.era = 1
    zone.log.records = [KeyedRecord('k', b'1', 0), KeyedRecord('k', b'2', 1)]
    for router in zone.routers.values():
        await router.read_newest('t')
    return zone


async def read_both(zone):
    requesting = asyncio.create_task(
        zone.routers['b'].read('t', 2, wait_seconds=0.01)
    )
    await asyncio.sleep(0.01)
    zone.log.gate.set()
    page = await zone.routers['a'].read('t', 2, wait_seconds=0.01)
    zone.log.gate.set()
    return page, await requesting


async def test_router_reads_the_store_although_its_era_is_the_readers():
    zone = await listed_zone()
    _, page = await read_both(zone)
    assert page.era == 1
    assert zone.log.reads == 1


async def test_offset_of_another_era_is_answered_by_the_reader():
    """The store is restored; neither the offset nor the records are valid."""
    zone = await listed_zone()
    zone.log.era = 2
    reader_page, page = await read_both(zone)
    assert reader_page.era == page.era == 2
    assert zone.log.reads == 2


async def test_reader_that_is_an_era_behind_confirms_a_view():
    zone = await listed_zone()
    zone.log.era = 2
    await zone.routers['b'].read_newest('t')
    zone.log.era = 1
    requesting = asyncio.create_task(
        zone.routers['b'].read('t', 2, wait_seconds=0.01)
    )
    await asyncio.sleep(0.01)
    zone.log.gate.set()
    await zone.routers['a'].read('t', 2, wait_seconds=0.01)
    zone.log.era = 2
    zone.log.gate.set()
    assert (await requesting).era == 2


async def test_reader_passes_on_records_of_two_eras():
    zone = await listed_zone()
    await zone.routers['a'].read('t', 0)
    zone.log.era = 2
    zone.log.records.append(KeyedRecord('k', b'3', 2))
    await zone.routers['a'].read('t', 2)
    topic = zone.routers['a'].topics['t']
    assert topic.records_from(0, 2) is None
    assert topic.records_from(2, 1) is None
    assert [record.value for record in topic.records_from(2, 2)] == [b'3']
