"""Claim permits on the log to send requests to upstreams in a cold start.

A cold upstream fails above a small number of concurrent requests. Its slots
are therefore not leased out, as the expiry of a lease is not a strong enough
guarantee. Instead, the slot coordinator of the upstream offers permits to
routers with waiting requests, and these claim them on the log. While the log
is unreachable, a cold upstream without a claimed permit gets no requests.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterable
from typing import final

import msgspec

from hickorymux._internal.coordination.ports import (
    LogClient,
    LogRecord,
    MemberView,
)
from hickorymux._internal.exceptions import (
    LogAppendUnknown,
    LogError,
    LogTrimmed,
)
from hickorymux._internal.state.cold_permits import (
    PermitFold,
    PermitKey,
    PermitRecord,
    PermitState,
    permit_keys,
    pick_permit,
)
from hickorymux._internal.state.slot_ledger import MAX_CLOCK_DRIFT_RATIO
from hickorymux._internal.state.tables import Upstream
from hickorymux._internal.state.upstream_state import (
    REPORT_LAG_SECONDS,
    LoadReport,
)
from hickorymux._internal.utils.clock import Clock

CONFIRMATION_VALID_SECONDS = 10.0
REFRESH_INTERVAL_SECONDS = 3.0
CLAIM_RENEWAL_SECONDS = 300.0
# Until then the earlier holder may send requests on its last confirmation,
# and the load report may not show them.
QUARANTINE_SECONDS = (
    CONFIRMATION_VALID_SECONDS * (1 + MAX_CLOCK_DRIFT_RATIO)
    + REPORT_LAG_SECONDS
)
STREAM_PREFIX = 'cold-starts.'

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class ColdPermit:
    """A permit that this router holds; it allows one request at a time.

    A permit taken over from a router that has ended is quarantined until
    ``quarantined_until``, and after that until a load report shows that the
    upstream runs no requests. ``used_at`` is when its last request ended.
    Times are in seconds on the monotonic clock.
    """

    key: PermitKey
    upstream: Upstream
    offset: int
    claimed_at: float
    quarantined_until: float = 0
    is_quarantined: bool = False
    is_busy: bool = False
    is_releasing: bool = False
    used_at: float = 0


@dataclasses.dataclass(slots=True, frozen=True)
class PermitOffer:
    """An offer by a slot coordinator to claim a permit that seems free.

    ``limit`` is the number of permits of the instance.
    """

    upstream: Upstream
    instance: str
    limit: int


@dataclasses.dataclass(slots=True)
class PermitStreamState:
    """The replayed permits of one zone's log stream, and offers to claim.

    ``confirmed_at`` is when the last complete read of the stream began, in
    seconds on the monotonic clock.
    """

    name: str
    fold: PermitFold = dataclasses.field(default_factory=PermitFold)
    next_offset: int = 0
    confirmed_at: float = float('-inf')
    offers: list[PermitOffer] = dataclasses.field(default_factory=list)


@final
class ColdStarts:
    """Claims, renews and releases the permits of this router on the log.

    ``has_ended`` takes a router id and an incarnation, and returns whether
    that incarnation has ended for good: a later one is live, or the
    platform's host list has dropped its host. ``on_change`` is called with an
    upstream whose permits became usable.

    Example::

        starts = ColdStarts(members, log_client, clock, has_ended, on_change)
        starts.add_offer(PermitOffer(upstream, 'i2', 1))
        await starts.synchronize()
    """

    __slots__ = (
        'clock',
        'has_ended',
        'log_client',
        'members',
        'on_change',
        'permits',
        'streams',
        'upstreams',
        'wakeup',
    )

    def __init__(
        self,
        members: MemberView,
        log_client: LogClient,
        clock: Clock,
        has_ended: Callable[[str, int], bool],
        on_change: Callable[[Upstream], None],
    ) -> None:
        self.members = members
        self.log_client = log_client
        self.clock = clock
        self.has_ended = has_ended
        self.on_change = on_change
        self.permits: dict[PermitKey, ColdPermit] = {}
        self.streams: dict[str, PermitStreamState] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.wakeup = asyncio.Event()

    async def run(self) -> None:
        """Synchronize with the log on each change, and at intervals.

        This runs until it is cancelled.
        """
        while True:
            try:
                await asyncio.wait_for(
                    self.wakeup.wait(), REFRESH_INTERVAL_SECONDS
                )
            except TimeoutError:
                log.debug('refreshing cold start permits from the log')
            self.wakeup.clear()
            await self.synchronize()

    async def synchronize(self) -> None:
        """Read and append to every stream with offers or own permits."""
        for stream in list(self.streams.values()):
            if self._needs_sync(stream):
                await self._sync_stream(stream)

    def add_offer(self, offer: PermitOffer) -> None:
        """Add an offered permit, to be claimed by ``synchronize``."""
        stream = self._stream_of(offer.upstream)
        stream.offers.append(offer)
        self.wakeup.set()

    def release(self, permit: ColdPermit) -> None:
        """Stop using a permit, to be released by ``synchronize``."""
        if permit.is_releasing:
            return
        permit.is_releasing = True
        self.wakeup.set()

    def idle_permits(
        self, names: Iterable[str], now: float
    ) -> list[ColdPermit]:
        """Return the usable, idle permits of the named upstreams."""
        wanted = set(names)
        return [
            permit
            for key, permit in self.permits.items()
            if key.upstream in wanted
            and not permit.is_busy
            and self.is_usable(permit, now)
        ]

    def is_usable(self, permit: ColdPermit, now: float) -> bool:
        """Return whether a request may be sent on a permit now.

        The permit is void once the log names another holder. It is unusable
        while the log has not confirmed it for ``CONFIRMATION_VALID_SECONDS``.
        """
        if self.permits.get(permit.key) is not permit:
            return False
        if permit.is_releasing or permit.is_quarantined:
            return False
        confirmed_at = self._stream_of(permit.upstream).confirmed_at
        return now < confirmed_at + CONFIRMATION_VALID_SECONDS * (
            1 - MAX_CLOCK_DRIFT_RATIO
        )

    def upstreams_to_poll(self) -> list[Upstream]:
        """Return the upstreams whose load report may end a quarantine."""
        return [
            permit.upstream
            for permit in self.permits.values()
            if permit.is_quarantined
        ]

    def on_load_report(self, name: str, report: LoadReport) -> None:
        """End a quarantine when the earlier holder's requests have ended."""
        now = self.clock.monotonic()
        if report.running + report.waiting > 0:
            return
        for key, permit in self.permits.items():
            if (key.upstream, key.instance) != (name, report.instance):
                continue
            if permit.is_quarantined and now >= permit.quarantined_until:
                permit.is_quarantined = False
                self.on_change(permit.upstream)

    def on_instance(self, name: str, instance: str) -> None:
        """Release the permits of former instances of an upstream."""
        for key, permit in self.permits.items():
            if key.upstream == name and key.instance != instance:
                self.release(permit)

    def end_use(self, permit: ColdPermit, *, is_ended: bool) -> None:
        """Mark a permit as idle after its request.

        ``is_ended`` is false for a request that was cut off and may still run
        on the upstream. The permit is then quarantined until a load report
        shows that the upstream runs no requests.
        """
        permit.is_busy = False
        permit.used_at = self.clock.monotonic()
        if not is_ended:
            permit.is_quarantined = True
            permit.quarantined_until = permit.used_at + REPORT_LAG_SECONDS

    def _stream_of(self, upstream: Upstream) -> PermitStreamState:
        self.upstreams[upstream.name] = upstream
        stream = self.streams.get(upstream.zone)
        if stream is None:
            stream = PermitStreamState(STREAM_PREFIX + upstream.zone)
            self.streams[upstream.zone] = stream
        return stream

    def _needs_sync(self, stream: PermitStreamState) -> bool:
        if stream.offers:
            return True
        return any(
            self._stream_of(permit.upstream) is stream
            for permit in self.permits.values()
        )

    async def _sync_stream(self, stream: PermitStreamState) -> None:
        offers = stream.offers
        stream.offers = []
        try:
            await self._sync_records(stream, offers)
        except LogError as error:
            log.warning(
                'cannot synchronize cold start permits with the log',
                extra={'event': 'cold_log_down', 'reason': error.code},
            )

    async def _sync_records(
        self, stream: PermitStreamState, offers: list[PermitOffer]
    ) -> None:
        await self._read_stream(stream)
        records = [
            *self._release_records(stream),
            *self._renewal_records(stream),
        ]
        records.extend(self._claim_records(stream, offers))
        if not records:
            return
        try:
            await self.log_client.append(
                stream.name, msgspec.json.encode(records)
            )
        except LogAppendUnknown:
            log.info(
                'outcome of the append of cold start permits is unknown, '
                'reading it back'
            )
        await self._read_stream(stream)

    async def _read_stream(self, stream: PermitStreamState) -> None:
        """Read the stream to its end.

        The permits count as confirmed from before the last read was sent.
        """
        while True:
            read_started_at = self.clock.monotonic()
            try:
                page = await self.log_client.read(
                    stream.name, stream.next_offset
                )
            except LogTrimmed as error:
                stream.fold = PermitFold(start=error.first_offset)
                stream.next_offset = error.first_offset
                continue
            stream.fold.drop_before(page.first_offset)
            for record in page.records:
                stream.fold.apply(record.offset, _decode(record))
            stream.next_offset = page.next_offset
            if page.next_offset >= page.end_offset:
                break
        stream.confirmed_at = read_started_at
        self._update_own_permits(stream, self.clock.monotonic())

    def _update_own_permits(
        self, stream: PermitStreamState, now: float
    ) -> None:
        """Add and drop own permits so that they match the log."""
        for key, state in stream.fold.states.items():
            if self._is_own(state) and key.upstream in self.upstreams:
                self._record_claimed(key, state, now)
        for key, permit in list(self.permits.items()):
            if self._stream_of(permit.upstream) is not stream:
                continue
            if not self._is_own(stream.fold.state(key)):
                self.permits.pop(key)

    def _record_claimed(
        self, key: PermitKey, state: PermitState, now: float
    ) -> None:
        permit = self.permits.get(key)
        if permit is not None:
            if permit.offset != state.offset:
                permit.offset = state.offset
                permit.claimed_at = now
            return
        upstream = self.upstreams[key.upstream]
        self.permits[key] = ColdPermit(
            key,
            upstream,
            state.offset,
            now,
            quarantined_until=now + QUARANTINE_SECONDS,
            is_quarantined=state.is_inherited,
            used_at=now,
        )
        log.info(
            'cold start permit claimed',
            extra={
                'event': 'cold_permit',
                'upstream': key.upstream,
                'instance': key.instance,
                'permit': key.index,
                'offset': state.offset,
                'reason': 'first_on_log',
            },
        )
        self.on_change(upstream)

    def _is_own(self, state: PermitState) -> bool:
        myself = self.members.myself
        return state.is_held_by(myself.router_id, myself.incarnation)

    def _claim_records(
        self, stream: PermitStreamState, offers: Iterable[PermitOffer]
    ) -> list[PermitRecord]:
        records: list[PermitRecord] = []
        for offer in offers:
            name = offer.upstream.name
            claimed = {record.key for record in records}
            keys = [
                key
                for key in permit_keys(name, offer.instance, offer.limit)
                if key not in claimed
            ]
            key = pick_permit(stream.fold, keys, self.has_ended)
            if key is not None:
                records.append(self._claim_record(stream, key))
        return records

    def _claim_record(
        self, stream: PermitStreamState, key: PermitKey
    ) -> PermitRecord:
        myself = self.members.myself
        return PermitRecord(
            key,
            myself.router_id,
            myself.incarnation,
            read_to=stream.next_offset,
        )

    def _release_records(self, stream: PermitStreamState) -> list[PermitRecord]:
        return [
            PermitRecord(permit.key, '', 0, read_to=stream.next_offset)
            for permit in self._permits_on(stream)
            if permit.is_releasing and not permit.is_busy
        ]

    def _renewal_records(self, stream: PermitStreamState) -> list[PermitRecord]:
        now = self.clock.monotonic()
        return [
            self._claim_record(stream, permit.key)
            for permit in self._permits_on(stream)
            if now - permit.claimed_at > CLAIM_RENEWAL_SECONDS
            and not permit.is_releasing
        ]

    def _permits_on(self, stream: PermitStreamState) -> list[ColdPermit]:
        return [
            permit
            for permit in self.permits.values()
            if self._stream_of(permit.upstream) is stream
        ]


def _decode(record: LogRecord) -> list[PermitRecord]:
    try:
        return msgspec.json.decode(record.payload, type=list[PermitRecord])
    except msgspec.DecodeError:
        log.warning(
            'ignoring a malformed record of the cold start stream',
            extra={'event': 'cold_record', 'offset': record.offset},
        )
        return []
