"""How much work the routers have given to each upstream.

Load pattern: several routers send to the same engines, and an engine's own
report is some hundred milliseconds old when it arrives. A burst that reaches
all routers at once would be placed by all of them on the engine that looked
idle last. The board adds what other routers say they have placed to what this
router placed itself, which it knows at once.

Example::

    board.add('engine-7', EngineLoad(running=1, unread=1200, memory=2000))
    board.total('engine-7').unread
"""

import dataclasses
from collections.abc import Mapping
from typing import Final, final

# A router that is silent for longer is taken to have no work in flight.
PEER_TIMEOUT_SECONDS: Final = 1.5


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """Work in flight at one upstream.

    ``running`` counts requests, ``unread`` prompt tokens of requests whose
    answer has not begun, ``memory`` tokens that requests occupy.
    """

    running: int = 0
    unprocessed_tokens: int = 0
    memory_tokens: int = 0

    def add(self, other: 'EngineLoad') -> None:
        """Count more work."""
        self.running += other.running
        self.unprocessed_tokens += other.unprocessed_tokens
        self.memory_tokens += other.memory_tokens

    def subtract(self, other: 'EngineLoad') -> None:
        """Count less work."""
        self.running -= other.running
        self.unprocessed_tokens -= other.unprocessed_tokens
        self.memory_tokens -= other.memory_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class _PeerReport:
    rows: Mapping[str, EngineLoad]
    received_at: float


@final
class LoadTracker:
    """The load of each upstream, by this router and by all of them."""

    __slots__ = ('peer_totals', 'own_loads', 'peer_reports')

    def __init__(self) -> None:
        self.own_loads: dict[str, EngineLoad] = {}
        self.peer_totals: dict[str, EngineLoad] = {}
        self.peer_reports: dict[str, _PeerReport] = {}

    def add(self, upstream_id: str, load: EngineLoad) -> None:
        """Count work that this router placed."""
        self.own_loads.setdefault(upstream_id, EngineLoad()).add(load)

    def remove(self, upstream_id: str, load: EngineLoad) -> None:
        """Count work of this router that ended."""
        own = self.own_loads[upstream_id]
        own.subtract(load)
        if not own.running and not own.unprocessed_tokens:
            self.own_loads.pop(upstream_id)

    def mark_processed(self, upstream_id: str, tokens: int) -> None:
        """Count prompt tokens as read, since the answer has begun."""
        self.own_loads[upstream_id].unprocessed_tokens -= tokens

    def total_load(self, upstream_id: str) -> EngineLoad:
        """Return the load by all routers."""
        load = EngineLoad()
        for table in (self.own_loads, self.peer_totals):
            known = table.get(upstream_id)
            if known is not None:
                load.add(known)
        return load

    def replace_report(
        self,
        source: str,
        rows: Mapping[str, EngineLoad],
        now: float,
    ) -> None:
        """Replace what one source of reports said before."""
        self._drop(source)
        self.peer_reports[source] = _PeerReport(rows, now)
        for upstream_id, load in rows.items():
            self.peer_totals.setdefault(upstream_id, EngineLoad()).add(load)

    def expire(self, now: float) -> None:
        """Forget sources that have fallen silent."""
        silent = [
            source
            for source, rows in self.peer_reports.items()
            if now - rows.received_at > PEER_TIMEOUT_SECONDS
        ]
        for source in silent:
            self._drop(source)

    def _drop(self, source: str) -> None:
        previous = self.peer_reports.pop(source, None)
        if previous is None:
            return
        for upstream_id, load in previous.rows.items():
            remaining = self.peer_totals[upstream_id]
            remaining.subtract(load)
            if not (
                remaining.running
                or remaining.unprocessed_tokens
                or remaining.memory_tokens
            ):
                self.peer_totals.pop(upstream_id)
