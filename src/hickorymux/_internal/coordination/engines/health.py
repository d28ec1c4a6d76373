"""Excludes failing upstreams for a while, based on their answers.

Load pattern: an engine crashes, stops responding, or fails part of its requests
while its own health check passes. Each request that is sent there is lost or
late. An upstream is excluded at once if a connection to it fails, and also if
it fails far more often than the rest of its pool. After a pause, it gets single
requests until one succeeds.

Example::

    health.on_connect_failed('engine-7', now)
    health.is_available('engine-7', now)
"""

import dataclasses
from collections.abc import Collection
from typing import Final, final

FIRST_PAUSE_SECONDS: Final = 0.5
MAX_PAUSE_SECONDS: Final = 4.0
# Weight of the newest answer in the moving average of failures.
NEWEST_WEIGHT: Final = 0.15
# An upstream is excluded if its failure share exceeds the mean of the others of
# its pool by more than this.
MAX_EXCESS_FAILURE_SHARE: Final = 0.25
# How long an upstream gets no requests after it had no free slot.
FULL_PAUSE_SECONDS: Final = 0.1


@dataclasses.dataclass(slots=True)
class _Record:
    failure_share: float = 0
    pause_seconds: float = FIRST_PAUSE_SECONDS
    paused_until: float = 0
    is_on_trial: bool = False
    trial_until: float = 0


@final
class UpstreamHealth:
    """Tracks failures of upstreams and excludes those that fail too often.

    A paused upstream gets no requests. After the pause it is on trial: it gets
    at most one request per pause length, until an answer is received whole.
    Until then, each further pause is twice as long as the one before, up to
    ``MAX_PAUSE_SECONDS``.
    """

    __slots__ = ('records',)

    def __init__(self) -> None:
        self.records: dict[str, _Record] = {}

    def is_available(self, upstream_id: str, now: float) -> bool:
        """Return whether the upstream may get a request now."""
        record = self.records.get(upstream_id)
        if record is None:
            return True
        if now < record.paused_until:
            return False
        return not record.is_on_trial or now >= record.trial_until

    def on_sent(self, upstream_id: str, now: float) -> None:
        """Record a request; an upstream on trial gets no other for a while."""
        record = self.records.get(upstream_id)
        if record is not None and record.is_on_trial:
            record.trial_until = now + record.pause_seconds

    def on_success(self, upstream_id: str) -> None:
        """Record an answer that was received whole; it ends a trial."""
        record = self.records.get(upstream_id)
        if record is None:
            return
        record.failure_share *= 1 - NEWEST_WEIGHT
        record.is_on_trial = False
        record.pause_seconds = FIRST_PAUSE_SECONDS

    def on_full(self, upstream_id: str, now: float) -> None:
        """Record that the upstream had no free slot, and pause it briefly."""
        record = self.records.setdefault(upstream_id, _Record())
        record.paused_until = max(record.paused_until, now + FULL_PAUSE_SECONDS)

    def on_connect_failed(self, upstream_id: str, now: float) -> None:
        """Record a failed connection attempt, and exclude the upstream."""
        self._pause(self.records.setdefault(upstream_id, _Record()), now)

    def on_failure(
        self,
        upstream_id: str,
        pool_ids: Collection[str],
        now: float,
    ) -> None:
        """Record an answer that failed or was cut off.

        ``pool_ids`` are the ids of all upstreams of the pool.
        """
        record = self.records.setdefault(upstream_id, _Record())
        record.failure_share += NEWEST_WEIGHT * (1 - record.failure_share)
        excess = record.failure_share - self._mean_share(upstream_id, pool_ids)
        if excess > MAX_EXCESS_FAILURE_SHARE:
            self._pause(record, now)

    def forget(self, upstream_id: str) -> None:
        """Drop the record of an upstream that no longer exists."""
        self.records.pop(upstream_id, None)

    def _mean_share(self, upstream_id: str, pool_ids: Collection[str]) -> float:
        shares = [
            self.records[other].failure_share
            for other in pool_ids
            if other != upstream_id and other in self.records
        ]
        return sum(shares) / max(1, len(pool_ids) - 1)

    def _pause(self, record: _Record, now: float) -> None:
        if now < record.paused_until:
            return
        record.paused_until = now + record.pause_seconds
        record.trial_until = record.paused_until
        record.is_on_trial = True
        record.pause_seconds = min(
            MAX_PAUSE_SECONDS,
            2 * record.pause_seconds,
        )
