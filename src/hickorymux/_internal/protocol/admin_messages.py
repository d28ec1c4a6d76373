"""JSON answers of a router's admin interface.

``GET /admin/status`` returns a ``RouterStatus``, and
``GET /admin/explain/{request_id}`` returns a list of decision lines.
"""

from typing import final

import msgspec

STATUS_PATH = '/admin/status'
EXPLAIN_PATH = '/admin/explain'


@final
class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream as one router sees it.

    ``slots`` is how many requests the upstream runs at once, ``leased`` is
    how many of them this router may run on it, and ``in_use`` how many this
    router runs on it now.
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
    """State of one router; ``members`` are the ids of the live routers."""

    router_id: str
    zone: str
    incarnation: int = 0
    config_version: int = 0
    ready: bool = False
    members: tuple[str, ...] = ()
    pools: dict[str, PoolStatus] = {}
