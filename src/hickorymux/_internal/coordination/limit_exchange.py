"""Tells peers which request rates upstreams have named.

A router learns of a limit from the answers to its own requests. One that has
no part of it sends none, and would never learn that the limit has ended.
"""

import random
from collections.abc import Iterable
from typing import Final, final

from hickorymux._internal.coordination.engines.request_limits import (
    NamedLimit,
    RequestLimits,
)
from hickorymux._internal.coordination.load_messages import LimitReport
from hickorymux._internal.coordination.membership import SendDatagram
from hickorymux._internal.coordination.ports import MemberView
from hickorymux._internal.utils.clock import Clock

# Interval at which limits are sent to some peers, chosen at random.
GOSSIP_SECONDS: Final = 1.0
GOSSIP_PEERS: Final = 3
# Limits in one message, those that were named last.
MAX_REPORTED_LIMITS: Final = 64
# Stands for a limit that has ended.
_ENDED: Final = -1
_MILLI: Final = 1000


@final
class LimitExchange:
    """Sends the limits that this router knows and merges those of its peers.

    ``send`` sends a message to members, and may lose it.
    """

    __slots__ = ('clock', 'limits', 'members', 'rng', 'send')

    def __init__(
        self,
        limits: RequestLimits,
        members: MemberView,
        send: SendDatagram,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.limits = limits
        self.members = members
        self.send = send
        self.clock = clock
        self.rng = rng

    async def run(self) -> None:
        """Send the limits until cancelled."""
        while True:
            self.tick()
            await self.clock.sleep(GOSSIP_SECONDS)

    def tick(self) -> None:
        """Send the known limits to some peers."""
        rows = sorted(
            self.limits.known().items(),
            key=lambda row: row[1].named_at,
            reverse=True,
        )
        if not rows:
            return
        me = self.members.myself.router_id
        peers = [
            member for member in self.members.live() if member.router_id != me
        ]
        chosen = self.rng.sample(peers, min(GOSSIP_PEERS, len(peers)))
        report = _to_report(rows[:MAX_REPORTED_LIMITS], self.clock.monotonic())
        self.send(chosen, report)

    def on_message(self, report: LimitReport) -> None:
        """Merge the limits of a peer."""
        now = self.clock.monotonic()
        columns = (report.upstreams, report.milli_per_second, report.ages_ms)
        for incarnation, rate, age in zip(*columns, strict=False):
            self.limits.merge(
                incarnation,
                None if rate == _ENDED else rate / _MILLI,
                now - age / _MILLI,
                now,
            )


def _to_report(
    rows: Iterable[tuple[str, NamedLimit]], now: float
) -> LimitReport:
    report = LimitReport()
    for incarnation, limit in rows:
        rate = limit.per_second
        report.upstreams.append(incarnation)
        report.milli_per_second.append(
            _ENDED if rate is None else int(rate * _MILLI)
        )
        report.ages_ms.append(int((now - limit.named_at) * _MILLI))
    return report
