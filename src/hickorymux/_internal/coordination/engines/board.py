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
    unread: int = 0
    memory: int = 0

    def add(self, other: 'EngineLoad') -> None:
        """Count more work."""
        self.running += other.running
        self.unread += other.unread
        self.memory += other.memory

    def subtract(self, other: 'EngineLoad') -> None:
        """Count less work."""
        self.running -= other.running
        self.unread -= other.unread
        self.memory -= other.memory


@dataclasses.dataclass(slots=True, frozen=True)
class _PeerRows:
    rows: Mapping[str, EngineLoad]
    heard_at: float


@final
class LoadBoard:
    """The load of each upstream, by this router and by all of them."""

    __slots__ = ('others', 'own', 'peers')

    def __init__(self) -> None:
        self.own: dict[str, EngineLoad] = {}
        self.others: dict[str, EngineLoad] = {}
        self.peers: dict[str, _PeerRows] = {}

    def add(self, upstream_id: str, load: EngineLoad) -> None:
        """Count work that this router placed."""
        self.own.setdefault(upstream_id, EngineLoad()).add(load)

    def remove(self, upstream_id: str, load: EngineLoad) -> None:
        """Count work of this router that ended."""
        own = self.own[upstream_id]
        own.subtract(load)
        if not own.running and not own.unread:
            self.own.pop(upstream_id)

    def mark_read(self, upstream_id: str, tokens: int) -> None:
        """Count prompt tokens as read, since the answer has begun."""
        self.own[upstream_id].unread -= tokens

    def total(self, upstream_id: str) -> EngineLoad:
        """Return the load by all routers."""
        load = EngineLoad()
        for side in (self.own, self.others):
            known = side.get(upstream_id)
            if known is not None:
                load.add(known)
        return load

    def take_report(
        self,
        source: str,
        rows: Mapping[str, EngineLoad],
        now: float,
    ) -> None:
        """Replace what one source of reports said before."""
        self._forget(source)
        self.peers[source] = _PeerRows(rows, now)
        for upstream_id, load in rows.items():
            self.others.setdefault(upstream_id, EngineLoad()).add(load)

    def expire(self, now: float) -> None:
        """Forget sources that have fallen silent."""
        silent = [
            source
            for source, rows in self.peers.items()
            if now - rows.heard_at > PEER_TIMEOUT_SECONDS
        ]
        for source in silent:
            self._forget(source)

    def _forget(self, source: str) -> None:
        former = self.peers.pop(source, None)
        if former is None:
            return
        for upstream_id, load in former.rows.items():
            left = self.others[upstream_id]
            left.subtract(load)
            if not (left.running or left.unread or left.memory):
                self.others.pop(upstream_id)
