"""Keep a request that crashes upstreams from being run again and again.

A request that was in flight on an upstream that crashed becomes a crash
suspect. All routers recognize it by its fingerprint when a caller sends it
again. Crash suspects run one at a time in the whole fleet. A fingerprint that
was in flight at two crashes is refused until its entry expires.

Example::

    admission = await suspects.admit(call.fingerprint, seconds=30)
    try:
        await send()
    except UpstreamCut:
        await suspects.on_crash(upstream, instance, [call.fingerprint])
        raise
    finally:
        suspects.end_admission(admission)
"""

import dataclasses
import datetime as dt
import functools
import itertools
import logging
import random
from collections.abc import Iterable, Sequence
from typing import Any, final

from hickorymux._internal.coordination.ports import MemberView, PeerSender
from hickorymux._internal.coordination.suspect_messages import (
    CrashReceipt,
    CrashReport,
    SuspectCleared,
    SuspectKnown,
    TurnEnd,
    TurnGrant,
    TurnRequest,
    signed_fingerprint,
    unsigned_fingerprint,
)
from hickorymux._internal.coordination.suspect_permits import SuspectPermits
from hickorymux._internal.coordination.trial_owner import is_trial_owner
from hickorymux._internal.exceptions import CrashSuspect, NoCapacity
from hickorymux._internal.state.suspects import (
    CRASHES_UNTIL_REFUSED,
    Suspect,
    SuspectTable,
    Suspicion,
)
from hickorymux._internal.state.trials import TrialSchedule
from hickorymux._internal.utils.clock import Clock
from hickorymux._internal.utils.ids import new_incarnation

logger = logging.getLogger(__name__)

MAX_REPORTED_FINGERPRINTS = 512
# Routers of each other zone that receive a crash report and forward it.
DELEGATES_PER_ZONE = 2
RETRY_AFTER_SECONDS = 5.0
# Interval at which repeated suspects are sent to some peers, chosen at random.
GOSSIP_SECONDS = 1.0
GOSSIP_PEERS = 3
# Suspects sent at once. Requests that crash upstreams again and again are few.
MAX_GOSSIPED_SUSPECTS = 8
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectSettings:
    """Limits on the table of crash suspects and on sharing it.

    ``lifetime`` is how long a fingerprint is kept after its last crash.
    ``max_entries`` bounds the number of fingerprints. A fingerprint is refused
    after ``crashes_until_refused`` crashes. ``share_timeout`` bounds how long
    the answer to a caller is delayed until the routers of the zone know of a
    crash.
    """

    lifetime: dt.timedelta = dt.timedelta(minutes=10)
    max_entries: int = 4096
    crashes_until_refused: int = CRASHES_UNTIL_REFUSED
    share_timeout: dt.timedelta = dt.timedelta(milliseconds=200)


@dataclasses.dataclass(slots=True, frozen=True)
class Admission:
    """The permission to run a request.

    ``permit_number`` is that of a crash suspect's run permit, 0 for other
    requests.
    """

    fingerprint: int
    is_suspect: bool = False
    permit_number: int = 0


@final
class CrashSuspects:
    """The crash suspects that this router knows, shared with its peers."""

    __slots__ = (
        'clock',
        'members',
        'missing_receipts',
        'permits',
        'report_numbers',
        'rng',
        'sender',
        'settings',
        'table',
    )

    def __init__(
        self,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        settings: SuspectSettings,
    ) -> None:
        self.members = members
        self.sender = sender
        self.clock = clock
        self.settings = settings
        self.rng = random.Random()
        self.report_numbers = itertools.count(new_incarnation())
        self.missing_receipts: dict[int, set[str]] = {}
        self.permits = SuspectPermits(members, sender, clock)
        self.table = SuspectTable(
            settings.lifetime.total_seconds(),
            settings.max_entries,
            settings.crashes_until_refused,
        )

    @classmethod
    def from_config(
        cls,
        members: MemberView,
        sender: PeerSender,
        clock: Clock,
        settings: SuspectSettings | None = None,
    ) -> 'CrashSuspects':
        """Return an instance that knows no suspects yet."""
        return cls(members, sender, clock, settings or SuspectSettings())

    async def run(self) -> None:
        """Share repeated suspects with peers until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(GOSSIP_SECONDS)

    def tick(self) -> None:
        """Send the requests that were at several crashes to some peers.

        A router that has just started or was cut off learns of them so.
        """
        repeated = self.table.repeated(MAX_GOSSIPED_SUSPECTS)
        if not repeated:
            return
        peers = self._peers()
        chosen = self.rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        now = self.clock.monotonic()
        for fingerprint, suspect in repeated:
            known = _to_message(fingerprint, suspect, now)
            for router_id in chosen:
                self.sender.send(router_id, known)

    async def admit(self, fingerprint: int, seconds: float) -> Admission:
        """Return the permission to run a request.

        A crash suspect first waits up to ``seconds`` for a permit. Raises
        ``CrashSuspect`` for a request that is refused after too many crashes,
        and ``NoCapacity`` if no permit is granted in time.
        """
        if self._suspicion(fingerprint) is Suspicion.clear:
            return Admission(fingerprint)
        self.raise_if_refused(fingerprint)
        try:
            permit_number = await self.permits.acquire(seconds)
        except TimeoutError as error:
            raise NoCapacity(
                'other crash suspects are running or waiting',
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        admission = Admission(
            fingerprint, is_suspect=True, permit_number=permit_number
        )
        try:
            self.raise_if_refused(fingerprint)
        except CrashSuspect:
            self.end_admission(admission)
            raise
        return admission

    def raise_if_refused(self, fingerprint: int) -> None:
        """Raise ``CrashSuspect`` if too many upstreams crashed with it."""
        if self._suspicion(fingerprint) is Suspicion.refused:
            raise _refusal()

    def check(self, fingerprint: int) -> bool:
        """Return whether the request tries again what is refused.

        Most requests are no trial. One that is must be sent once only. Raises
        ``CrashSuspect`` if the request is refused and not to be tried now.
        """
        if self._suspicion(fingerprint) is not Suspicion.refused:
            return False
        trial = self.table.trial_of(fingerprint)
        now = self.clock.monotonic()
        if trial is None or not trial.is_due(now):
            wait = 0 if trial is None else trial.due_at - now
            raise _refusal(max(wait, RETRY_AFTER_SECONDS))
        if not is_trial_owner(fingerprint, self.members):
            raise _refusal(RETRY_AFTER_SECONDS)
        trial.postpone(now)
        logger.info(
            'crash suspect is tried again',
            extra={
                'event': 'crash_suspect_tried',
                'fingerprint': f'{fingerprint:016x}',
                'reason': 'the trial interval has passed',
            },
        )
        return True

    def end_admission(self, admission: Admission) -> None:
        """Release the permit of an admission; call it for every outcome."""
        if admission.permit_number:
            self.permits.release(admission.permit_number)

    def on_answered(self, fingerprint: int) -> None:
        """Clear a request that was answered whole, here and at all peers."""
        if fingerprint not in self.table.entries:
            return
        self.table.clear(fingerprint, self.clock.monotonic())
        cleared = SuspectCleared(signed_fingerprint(fingerprint))
        for router_id in self._peers():
            self.sender.send(router_id, cleared)

    async def on_crash(
        self,
        upstream: str,
        instance: str,
        fingerprints: Sequence[int],
    ) -> None:
        """Record a crash and share it with the other routers.

        Returns once all routers of the zone have confirmed the report, after
        ``share_timeout`` at the latest. Await it before answering the caller,
        so that the next router recognizes the request if it is sent again.
        """
        crash = f'{upstream}#{instance}'
        self._add_crash(crash, fingerprints)
        number = next(self.report_numbers)
        signed = [
            signed_fingerprint(fingerprint) for fingerprint in fingerprints
        ]
        report = CrashReport(number, crash, signed[:MAX_REPORTED_FINGERPRINTS])
        self._report_to_other_zones(report)
        await self._report_to_zone(report)

    def on_message(self, sender_id: str, message: Any) -> None:
        """Handle a message from another router."""
        if isinstance(message, TurnRequest | TurnGrant | TurnEnd):
            self.permits.on_message(sender_id, message)
        else:
            self._on_suspect_message(message, sender_id)

    @functools.singledispatchmethod
    def _on_suspect_message(self, message: Any, sender_id: str) -> None:
        """Handle a message; ignore those that are not about suspects."""

    @_on_suspect_message.register
    def _on_receipt(self, receipt: CrashReceipt, sender_id: str) -> None:
        self.missing_receipts.get(receipt.number, set()).discard(sender_id)

    @_on_suspect_message.register
    def _on_cleared(self, message: SuspectCleared, _sender_id: str) -> None:
        self.table.clear(
            unsigned_fingerprint(message.fingerprint), self.clock.monotonic()
        )

    def _suspicion(self, fingerprint: int) -> Suspicion:
        return self.table.suspicion_of(fingerprint, self.clock.monotonic())

    def _add_crash(self, crash: str, fingerprints: Iterable[int]) -> None:
        now = self.clock.monotonic()
        for fingerprint in fingerprints:
            self.table.add_crash(fingerprint, crash, now)
            logger.info(
                'crash suspect recorded',
                extra={
                    'event': 'crash_suspect',
                    'fingerprint': f'{fingerprint:016x}',
                    'crash': crash,
                    'reason': 'in flight when the upstream crashed',
                },
            )

    @_on_suspect_message.register
    def _on_report(self, report: CrashReport, sender_id: str) -> None:
        self._add_crash(
            report.crash, map(unsigned_fingerprint, report.fingerprints)
        )
        self.sender.send(sender_id, CrashReceipt(report.number))
        if report.for_zone:
            forwarded = dataclasses.replace(report, for_zone=False)
            for router_id in self._zone_peers():
                self.sender.send(router_id, forwarded)

    @_on_suspect_message.register
    def _on_known(self, message: SuspectKnown, sender_id: str) -> None:
        """Add what a peer knows, or tell it that the request is sound."""
        now = self.clock.monotonic()
        fingerprint = unsigned_fingerprint(message.fingerprint)
        interval = message.trial_interval_ms / _MS_PER_SECOND
        known = Suspect(
            now - message.age_ms / _MS_PER_SECOND,
            frozenset(message.crashes),
            TrialSchedule(interval, now) if interval else None,
        )
        if not self.table.merge(fingerprint, known, now):
            self.sender.send(sender_id, SuspectCleared(message.fingerprint))

    def _peers(self) -> list[str]:
        myself = self.members.myself.router_id
        ids = [member.router_id for member in self.members.live()]
        return [router_id for router_id in ids if router_id != myself]

    def _zone_peers(self) -> list[str]:
        myself = self.members.myself
        zone = self.members.live_in_zone(myself.zone)
        ids = [member.router_id for member in zone]
        return [router_id for router_id in ids if router_id != myself.router_id]

    def _report_to_other_zones(self, report: CrashReport) -> None:
        sent_by_zone: dict[str, int] = {
            self.members.myself.zone: DELEGATES_PER_ZONE
        }
        for_zone = dataclasses.replace(report, for_zone=True)
        for member in self.members.live():
            if sent_by_zone.setdefault(member.zone, 0) < DELEGATES_PER_ZONE:
                sent_by_zone[member.zone] += 1
                self.sender.send(member.router_id, for_zone)

    async def _report_to_zone(self, report: CrashReport) -> None:
        missing = set(self._zone_peers())
        self.missing_receipts[report.number] = missing
        deadline = self.clock.monotonic()
        deadline += self.settings.share_timeout.total_seconds()
        for router_id in tuple(missing):
            self.sender.send(router_id, report)
        poll_interval = self.settings.share_timeout.total_seconds() / 100
        while missing and self.clock.monotonic() < deadline:
            await self.clock.sleep(poll_interval)
        self.missing_receipts.pop(report.number)


def _to_message(fingerprint: int, suspect: Suspect, now: float) -> SuspectKnown:
    trial = suspect.trial
    return SuspectKnown(
        signed_fingerprint(fingerprint),
        sorted(suspect.crashes),
        age_ms=int((now - suspect.last_crash_at) * _MS_PER_SECOND),
        trial_interval_ms=(
            0 if trial is None else int(trial.interval_seconds * _MS_PER_SECOND)
        ),
    )


def _refusal(retry_after: float | None = None) -> CrashSuspect:
    return CrashSuspect(
        'the request was in flight when upstreams crashed',
        hint='change the request before sending it again',
        retry_after=retry_after,
    )
