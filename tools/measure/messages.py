"""Measure the size and processor time of the messages between routers.

The builders return messages with a given number of rows, so that a line can be
fitted through the measurements at several sizes.
"""

import functools
import itertools
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import msgspec

from hickorymux._internal.coordination.claim_messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimVerdict,
)
from hickorymux._internal.coordination.config_messages import ConfigOffer
from hickorymux._internal.coordination.membership_messages import (
    Heartbeat,
    ZoneDigest,
)
from hickorymux._internal.coordination.service_messages import (
    ServiceReport,
    ServiceRows,
)
from hickorymux._internal.coordination.slot_messages import (
    GrantedSlots,
    HeadCustomer,
    PoolDemand,
    SlotCount,
    SlotGrant,
    SlotRenew,
    SlotReturn,
)
from hickorymux._internal.protocol.frames import Envelope, FrameSealer
from hickorymux._internal.protocol.thrift_codec import thrift_codec
from hickorymux._internal.state.claim_fold import ClaimEntry, encode_entries
from hickorymux._internal.state.config_changes import (
    ConfigChange,
    PutPool,
    PutRoute,
    PutUpstream,
)
from hickorymux._internal.state.config_fold import ConfigFold
from hickorymux._internal.state.rows import PoolRow, RouteRow, UpstreamRow
from tools.measure import fixtures
from tools.measure.slopes import Slope, processor_us

DIGEST_BYTES = 16
ROWS_IN_CHANGE = 200
SLOT_SIZES = (1, 8, 32)
ZONE_SIZES = (2, 15, 45)
CLAIM_SIZES = (1, 16, 256)
SERVICE_SIZES = (16, 360, 3600)
CONFIG_SIZES = (100, 1000, 12000)

Build = Callable[[int], Any]


def heartbeats(count: int) -> list[Heartbeat]:
    """Return the heartbeats of ``count`` routers of a zone."""
    return [
        Heartbeat(
            f'zone-1-r{number}',
            1_796_344_000_000 + number,
            'zone-1',
            '10.0.0.1',
            8082,
        )
        for number in range(count)
    ]


def zone_digest(members: int) -> ZoneDigest:
    """Return the digest of a zone with ``members`` routers."""
    rows = heartbeats(members)
    return ZoneDigest('zone-1', 1 << 60, rows[0], rows)


def slot_renew(pools: int) -> SlotRenew:
    """Return a lease renewal with the demand of ``pools`` pools."""
    heads = [HeadCustomer(f'customer-{number}', 1e6, 5) for number in range(4)]
    demands = [
        PoolDemand(pool=f'pool-{number}', target=20, heads=heads)
        for number in range(pools)
    ]
    return SlotRenew(
        session=7,
        sequence=1000,
        seen=500,
        held_total=120,
        demands=demands,
    )


def slot_grant(leases: int) -> SlotGrant:
    """Return a grant in which ``leases`` leases have changed."""
    rows = [
        GrantedSlots(f'engine-{number:05}', 'a' * 16, 5000, 40)
        for number in range(leases)
    ]
    return SlotGrant(
        session=7,
        sequence=1000,
        epoch=1_796_344_000_000,
        lease_ms=3000,
        base=10,
        version=20,
        loans=rows,
    )


def slot_return(upstreams: int) -> SlotReturn:
    """Return a message that returns slots of ``upstreams`` upstreams."""
    rows = [
        SlotCount(f'engine-{number:05}', 5000) for number in range(upstreams)
    ]
    return SlotReturn(session=7, sequence=1000, returned=rows)


def claim_ask(entries: int) -> ClaimAsk:
    """Return a request for the verdicts on a batch of claims."""
    return ClaimAsk(5, 3, claim_record(entries))


def claim_record(entries: int) -> bytes:
    """Return the log record of a batch of claims."""
    return encode_entries(
        ClaimEntry(
            number.to_bytes(DIGEST_BYTES, 'big'),
            bytes(DIGEST_BYTES),
            bytes(DIGEST_BYTES),
        )
        for number in range(entries)
    )


def claim_answer(entries: int) -> ClaimAnswer:
    """Return the answer to a batch of claims."""
    verdict = ClaimVerdict('won', b'', 0, 1_796_344_000_000, 0)
    return ClaimAnswer(5, list(itertools.repeat(verdict, entries)))


def service_report(customers: int) -> ServiceReport:
    """Return a report of the service of ``customers`` customers."""
    step = (1 << 31) // customers
    rows = ServiceRows(
        customers=list(itertools.repeat(step, customers)),
        served=[1_000_000 + number for number in range(customers)],
    )
    return ServiceReport(
        pool='pool-1',
        incarnation=1_796_344_000_000,
        rows=rows,
        term=1,
        is_complete=True,
    )


def config_fold(upstreams: int) -> ConfigFold:
    """Return a configuration fold with ``upstreams`` upstreams."""
    fold = ConfigFold()
    rows = fixtures.rows_of(upstreams)
    for start in range(0, len(rows), ROWS_IN_CHANGE):
        operations = [
            put_operation(row) for row in rows[start : start + ROWS_IN_CHANGE]
        ]
        fold.apply_record(fold.next_offset, encode_change(operations, start))
    return fold


def encode_change(operations: Sequence[Any], number: int) -> bytes:
    """Return the log record of a configuration change."""
    return msgspec.json.encode(
        ConfigChange(
            id=f'change-{number}',
            base=0,
            author='operator',
            operations=tuple(operations),
        ),
    )


@functools.singledispatch
def put_operation(row: Any) -> Any:
    """Return the operation that adds or replaces a row."""
    raise TypeError(type(row))


@put_operation.register
def _put_pool(row: PoolRow) -> PutPool:
    return PutPool(row)


@put_operation.register
def _put_route(row: RouteRow) -> PutRoute:
    return PutRoute(row)


@put_operation.register
def _put_upstream(row: UpstreamRow) -> PutUpstream:
    return PutUpstream(row)


MESSAGE_KINDS: tuple[tuple[str, str, tuple[int, ...], Build], ...] = (
    ('digest of a zone', 'members', ZONE_SIZES, zone_digest),
    ('slot renewal', 'pools with demand', SLOT_SIZES, slot_renew),
    ('slot grant', 'changed loans', SLOT_SIZES, slot_grant),
    ('slot return', 'upstreams', SLOT_SIZES, slot_return),
    ('claim ask', 'claims', CLAIM_SIZES, claim_ask),
    ('claim answer', 'claims', CLAIM_SIZES, claim_answer),
    ('service report', 'customers', SERVICE_SIZES, service_report),
)


def message_slopes() -> Iterator[Slope]:
    """Yield the size, send time and receive time of each kind of message."""
    for name, size_unit, sizes, build in MESSAGE_KINDS:
        frames = [(size, seal(build(size))) for size in sizes]
        yield Slope.fit(
            f'{name}: size',
            size_unit,
            'octets',
            [(size, len(frame)) for size, frame in frames],
        )
        yield Slope.fit(
            f'{name}: send',
            size_unit,
            'us',
            [(size, send_us(build(size))) for size in sizes],
        )
        yield Slope.fit(
            f'{name}: take',
            size_unit,
            'us',
            [(size, receive_us(frame)) for size, frame in frames],
        )


def heartbeat_figures() -> dict[str, float]:
    """Return the bytes and microseconds of a heartbeat, which has no rows."""
    heartbeat = heartbeats(1)[0]
    frame = seal(heartbeat)
    return {
        'octets': len(frame),
        'send_us': send_us(heartbeat),
        'take_us': receive_us(frame),
    }


_SEALER = FrameSealer(b'measure', thrift_codec())
_CHALLENGE = bytes(DIGEST_BYTES)


def seal(message: Any) -> bytes:
    """Return the frame of a message."""
    code, body = thrift_codec().encode(message)
    envelope = Envelope('zone-1-r1', 1_796_344_000_000, 1000, code, body)
    return _SEALER.seal(envelope, _CHALLENGE)


def send_us(message: Any) -> float:
    """Return the microseconds to encode and seal a message."""
    return processor_us(lambda: seal(message))


def receive_us(frame: bytes) -> float:
    """Return the microseconds to open and decode a frame."""

    def receive() -> None:  # noqa: WPS430 (the work that is timed)
        envelope = _SEALER.open(frame, _CHALLENGE)
        thrift_codec().decode(envelope.type_code, envelope.body)

    return processor_us(receive)


def snapshot_slopes() -> Iterator[Slope]:
    """Yield the size and times of a configuration snapshot by upstreams."""
    folds = [(size, config_fold(size)) for size in CONFIG_SIZES]
    offers = [
        (size, ConfigOffer.from_snapshot(1, fold.snapshot()))
        for size, fold in folds
    ]
    yield Slope.fit(
        'configuration offer: size',
        'upstreams',
        'octets',
        [(size, len(offer.snapshot)) for size, offer in offers],
    )
    yield Slope.fit(
        'configuration snapshot: write',
        'upstreams',
        'us',
        [(size, processor_us(fold.snapshot)) for size, fold in folds],
    )
    yield Slope.fit(
        'configuration snapshot: read',
        'upstreams',
        'us',
        [
            (size, processor_us(_snapshot_reader(offer.decompress())))
            for size, offer in offers
        ],
    )


def _snapshot_reader(snapshot: bytes) -> Callable[[], object]:
    return lambda: ConfigFold.from_snapshot(snapshot)
