"""The routing tables in force: routes, pools, upstreams and drains.

These are the checked and converted forms of the rows in ``rows``. A slot
stands for one concurrent request. Weights are relative shares without a unit.
"""

import dataclasses
import datetime as dt
import enum
from collections.abc import Mapping


class PoolKind(enum.StrEnum):
    """Whether the upstreams of a pool serve chat completions or plain HTTP."""

    model = 'model'
    service = 'service'


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Sends matching requests to a pool.

    A route matches by ``model`` (chat completions) or by ``path_prefix``
    (plain services). An empty ``customers`` admits every customer.
    ``idempotent_methods`` lists the HTTP methods that may be retried.
    With ``requires_key``, a request to a service with another method is
    refused unless it carries an idempotency key. ``queue_timeout``
    limits the wait for an upstream, ``total_timeout`` the time to answer,
    which includes that wait.
    """

    name: str
    pool: str
    model: str = ''
    path_prefix: str = ''
    customers: frozenset[str] = frozenset()
    idempotent_methods: frozenset[str] = frozenset(('GET', 'HEAD'))
    requires_key: bool = False
    queue_timeout: dt.timedelta = dt.timedelta(seconds=30)
    total_timeout: dt.timedelta = dt.timedelta(seconds=300)


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """A server of a pool and its capacity.

    ``slots`` is the number of requests that it serves concurrently and
    ``cold_slots`` the number while it is cold. ``reports_load`` is false for
    a server without a load report. ``checks_fence`` says that the server
    refuses requests with an outdated fencing number.
    """

    name: str
    zone: str
    address: str
    slots: int
    cold_slots: int = 1
    reports_load: bool = True
    checks_fence: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Pool:
    """A group of interchangeable upstreams.

    ``weights`` holds the fair-queueing weight by customer; other customers
    have ``default_weight``.
    """

    name: str
    kind: PoolKind
    upstreams: tuple[Upstream, ...]
    weights: Mapping[str, float] = dataclasses.field(default_factory=dict)
    default_weight: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Tables:
    """Routes, pools and drains as of one version of the configuration.

    Version 0 means that no change was accepted yet.
    """

    version: int = 0
    routes: Mapping[str, Route] = dataclasses.field(default_factory=dict)
    pools: Mapping[str, Pool] = dataclasses.field(default_factory=dict)
    drained_zones: frozenset[str] = frozenset()
    drained_upstreams: frozenset[str] = frozenset()

    def is_drained(self, upstream: Upstream) -> bool:
        """Return whether the upstream or its zone is drained."""
        if upstream.zone in self.drained_zones:
            return True
        return upstream.name in self.drained_upstreams
