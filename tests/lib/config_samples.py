"""Small tables and changes for tests of the configuration."""

from hickorymux._internal.state.config_changes import (
    ConfigChange,
    Operation,
    PutPool,
    PutRoute,
    PutUpstream,
    encode_change,
)
from hickorymux._internal.state.rows import PoolRow, RouteRow, UpstreamRow
from hickorymux._internal.state.tables import PoolKind

ROUTES_TOML = """
[[route]]
name = "drafting"
pool = "drafting"
model = "dossier"

[[route]]
name = "register"
pool = "register"
path_prefix = "/register"
requires_key = true
total_timeout = "20s"
"""

POOLS_TOML = """
[[pool]]
name = "drafting"
kind = "model"

[pool.weights]
large = 4.0

[[pool.upstream]]
name = "engine-1"
zone = "a"
address = "127.0.0.1:9001"
slots = 8
cold_slots = 2

[[pool.upstream]]
name = "engine-2"
zone = "b"
address = "127.0.0.1:9002"
slots = 8

[[pool]]
name = "register"
kind = "service"

[[pool.upstream]]
name = "register-1"
zone = "a"
address = "127.0.0.1:9003"
slots = 4
"""


def upstream_row(name: str, *, zone: str = 'a', slots: int = 8) -> UpstreamRow:
    return UpstreamRow(
        pool='drafting',
        name=name,
        zone=zone,
        address='127.0.0.1:9001',
        slots=slots,
    )


def base_operations() -> tuple[Operation, ...]:
    """Return a change that adds a pool, two upstreams and a route.

    The upstreams are in the zones ``a`` and ``b``.
    """
    return (
        PutPool(PoolRow(name='drafting', kind=PoolKind.model)),
        PutUpstream(upstream_row('engine-1')),
        PutUpstream(upstream_row('engine-2', zone='b')),
        PutRoute(RouteRow(name='drafting', pool='drafting', model='dossier')),
    )


def change(
    base: int, *operations: Operation, id: str = '', author: str = 'ops'
) -> bytes:
    """Return the log record of a change.

    Without an id, one is derived from the content.
    """
    found = id or f'{author}/{base}/{operations}'[:200]
    return encode_change(ConfigChange(found, base, author, operations))
