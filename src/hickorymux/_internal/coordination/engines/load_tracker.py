"""Tracks the load that all routers have placed on each upstream.

Load pattern: several routers send to the same engines, and an engine's own
report is some hundred milliseconds old when it arrives. If a burst reached all
routers at once, all of them would place it on the engine that was last
reported idle. So the tracker adds the load that peers report having placed to
this router's own, which it knows without delay.

Example::

    load = EngineLoad(running=1, unprocessed_tokens=1200, memory_tokens=2000)
    load_tracker.add('engine-7', load)
    load_tracker.total_load('engine-7').unprocessed_tokens
"""

import dataclasses
from collections.abc import Mapping
from typing import Final, final

# A peer that sends no report for longer is assumed to have no work in flight.
PEER_TIMEOUT_SECONDS: Final = 1.5


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """Work in flight at one upstream.

    ``running`` counts requests, ``unprocessed_tokens`` the prompt tokens of
    requests whose answer has not begun, and ``memory_tokens`` the tokens that
    requests occupy in the engine's memory.
    """

    running: int = 0
    unprocessed_tokens: int = 0
    memory_tokens: int = 0

    def has_work(self) -> bool:
        """Return whether any work is in flight."""
        return bool(
            self.running or self.unprocessed_tokens or self.memory_tokens
        )

    def add(self, other: 'EngineLoad') -> None:
        """Add another load to this one, in place."""
        self.running += other.running
        self.unprocessed_tokens += other.unprocessed_tokens
        self.memory_tokens += other.memory_tokens

    def subtract(self, other: 'EngineLoad') -> None:
        """Subtract another load from this one, in place."""
        self.running -= other.running
        self.unprocessed_tokens -= other.unprocessed_tokens
        self.memory_tokens -= other.memory_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class _PeerReport:
    rows: Mapping[str, EngineLoad]
    heard_at: float
    routers: int


@final
class LoadTracker:
    """The load of each upstream, by this router and by all routers.

    ``own_loads`` is the load that this router placed, by upstream id.
    ``peer_reports`` has the last report of each source, and ``peer_totals``
    their sum, by upstream id.
    """

    __slots__ = ('peer_totals', 'own_loads', 'peer_reports')

    def __init__(self) -> None:
        self.own_loads: dict[str, EngineLoad] = {}
        self.peer_totals: dict[str, EngineLoad] = {}
        self.peer_reports: dict[str, _PeerReport] = {}

    def add(self, upstream_id: str, load: EngineLoad) -> None:
        """Add work that this router placed."""
        self.own_loads.setdefault(upstream_id, EngineLoad()).add(load)

    def remove(self, upstream_id: str, load: EngineLoad) -> None:
        """Remove work of this router that has ended."""
        own = self.own_loads[upstream_id]
        own.subtract(load)
        if not own.running and not own.unprocessed_tokens:
            self.own_loads.pop(upstream_id)

    def mark_processed(self, upstream_id: str, tokens: int) -> None:
        """Record that prompt tokens are processed, as the answer has begun."""
        self.own_loads[upstream_id].unprocessed_tokens -= tokens

    def total_load(self, upstream_id: str) -> EngineLoad:
        """Return the load that all routers have placed on an upstream."""
        load = EngineLoad()
        for table in (self.own_loads, self.peer_totals):
            known = table.get(upstream_id)
            if known is not None:
                load.add(known)
        return load

    def own_running(self, upstream_id: str) -> int:
        """Return how many requests this router has at an upstream."""
        own = self.own_loads.get(upstream_id)
        return 0 if own is None else own.running

    def replace_report(
        self,
        source: str,
        rows: Mapping[str, EngineLoad],
        now: float,
        routers: int = 1,
    ) -> None:
        """Replace the former report of a source.

        ``source`` names the router or the zone that the report is about, and
        ``rows`` has the load that it placed on each upstream. The report is
        about so many ``routers``.
        """
        self._forget(source)
        # An upstream without load from any peer has no total to subtract an
        # empty row from.
        loaded = {each: load for each, load in rows.items() if load.has_work()}
        self.peer_reports[source] = _PeerReport(loaded, now, routers)
        for upstream_id, load in loaded.items():
            self.peer_totals.setdefault(upstream_id, EngineLoad()).add(load)

    def known_routers(self) -> int:
        """Return how many peers the reports are about."""
        return sum(peer.routers for peer in self.peer_reports.values())

    def expire(self, now: float) -> None:
        """Drop the reports of sources that have sent none for too long."""
        silent = [
            source
            for source, rows in self.peer_reports.items()
            if now - rows.heard_at > PEER_TIMEOUT_SECONDS
        ]
        for source in silent:
            self._forget(source)

    def _forget(self, source: str) -> None:
        former = self.peer_reports.pop(source, None)
        if former is None:
            return
        for upstream_id, load in former.rows.items():
            remaining = self.peer_totals[upstream_id]
            remaining.subtract(load)
            if not remaining.has_work():
                self.peer_totals.pop(upstream_id)
