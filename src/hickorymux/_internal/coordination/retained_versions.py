"""Reads from the store which software versions upstreams had lately.

A router that has just started has no history of its own. The topic on which
upstreams register retains the entries of the last seconds, so it shows the
versions that were registered before the router started.

Example::

    retained = await read_retained_versions(log, topic, decoder, renewal, now)
    if retained is not None and retained.covered_seconds > 15:
        ...
"""

import dataclasses
import datetime as dt
from collections.abc import Iterable
from typing import Final, Protocol

from hickorymux._internal.coordination.ports import KeyedPage, KeyedRecord
from hickorymux._internal.exceptions import ConfigError
from hickorymux._internal.state.upstream_registry import RegisteredUpstream


class RetainedLog(Protocol):
    """A log that keeps the records of a topic for a limited time."""

    async def read_retained(self, topic: str) -> KeyedPage:
        """Return all retained records; raises ``LogUnavailable``."""


class UpstreamDecoder(Protocol):
    """Decodes the entries by which upstreams register."""

    def decode_upstream(
        self, upstream_id: str, value: bytes, now: float
    ) -> RegisteredUpstream:
        """Return the upstream; raises ``ConfigError`` for an invalid entry."""


@dataclasses.dataclass(slots=True, frozen=True)
class RetainedVersions:
    """The pools and versions of all upstreams of the last seconds.

    No other version was registered in the last ``covered_seconds``.
    """

    versions: frozenset[tuple[str, str]]
    covered_seconds: float


# Nothing is known of any time.
UNKNOWN: Final = RetainedVersions(frozenset(), 0)


async def read_retained_versions(
    log: RetainedLog,
    topic: str,
    decoder: UpstreamDecoder,
    renewal: dt.timedelta,
    now: float,
) -> RetainedVersions:
    """Return the versions in the retained entries of upstreams.

    ``renewal`` is the interval at which upstreams renew their entries and
    ``now`` monotonic time in seconds. Raises ``LogUnavailable``.
    """
    page = await log.read_retained(topic)
    return _versions_of(page.records, decoder, renewal, now)


def _versions_of(
    records: Iterable[KeyedRecord],
    decoder: UpstreamDecoder,
    renewal: dt.timedelta,
    now: float,
) -> RetainedVersions:
    """Return the versions of all records, and the time that they cover.

    The entries of an upstream are numbered without a gap. Where numbers are
    missing, the store was restored from a copy and lost records, so only what
    follows counts as covered.
    """
    seen_ids: set[str] = set()
    versions: set[tuple[str, str]] = set()
    # First and last number of the entries of each incarnation.
    numbers: dict[str, tuple[int, int]] = {}
    for record in records:
        if not record.value:
            if record.key not in seen_ids:
                # The version of an upstream that left meanwhile is not known.
                return UNKNOWN
            continue
        try:
            upstream = decoder.decode_upstream(record.key, record.value, now)
        except ConfigError:
            # An entry of another writer, which no router uses; the follower
            # of the topic logs it.
            continue
        seen_ids.add(record.key)
        versions.add((upstream.pool, upstream.version))
        first, last = numbers.get(
            upstream.incarnation,
            (upstream.entry_number, upstream.entry_number),
        )
        if upstream.entry_number > last + 1:
            numbers.clear()
            first = upstream.entry_number
        numbers[upstream.incarnation] = (
            first,
            max(last, upstream.entry_number),
        )
    renewals = max(
        (last - first for first, last in numbers.values()), default=0
    )
    return RetainedVersions(
        frozenset(versions), renewals * renewal.total_seconds()
    )
