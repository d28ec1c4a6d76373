"""What a router answers to the operators' commands, as JSON.

``GET /admin/status`` answers a ``RouterStatus``; ``GET
/admin/explain/{request_id}`` answers a list of decision lines.
"""

from typing import final

import msgspec

STATUS_PATH = '/admin/status'
EXPLAIN_PATH = '/admin/explain'


@final
class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream as one router sees it; counts are concurrent requests.

    ``in_use`` is what this router runs on it, ``leased`` what this router
    may run on it.
    """

    name: str
    zone: str
    state: str
    slots: int
    in_use: int = 0
    leased: int = 0
    drained: bool = False


@final
class PoolStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A pool as one router sees it; ``backlog`` counts waiting requests."""

    backlog: int = 0
    upstreams: tuple[UpstreamStatus, ...] = ()


@final
class RouterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What one router knows; ``members`` are the ids of live routers."""

    router_id: str
    zone: str
    incarnation: int = 0
    config_version: int = 0
    ready: bool = False
    members: tuple[str, ...] = ()
    pools: dict[str, PoolStatus] = {}
