"""Reads a deployment from ``examples/``: its tables, zones and customers."""

import dataclasses
import datetime as dt
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, Final, Self, final

from hickorymux._internal.state.rows import (
    PoolRow,
    RouteRow,
    UpstreamRow,
)
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.state.tables import PoolKind
from hickorymux._internal.utils.durations import parse_duration

_EXAMPLES_DIRECTORY: Final = Path(__file__).parent.parent / 'examples'
_LARGE_CUSTOMER_CONCURRENCY: Final = 6
_SMALL_CUSTOMER_CONCURRENCY: Final = 2


class DeploymentError(Exception):
    """The deployment does not exist, or lacks a route that the demo needs."""


@dataclasses.dataclass(slots=True, frozen=True)
class RouterSpec:
    """Name and availability zone of a router that the demo starts."""

    name: str
    zone: str


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """The configuration files of a deployment and their parsed content.

    ``customers`` maps each customer to the number of requests that it sends
    concurrently, which is larger for customers with a weight in some pool.
    ``client_delay`` is the one-way delay between callers and routers.
    """

    name: str
    routes_file: Path
    pools_file: Path
    customers_file: Path
    routes: tuple[RouteRow, ...]
    pools: Mapping[str, PoolRow]
    upstreams: tuple[UpstreamRow, ...]
    customers: Mapping[str, int]
    routers: tuple[RouterSpec, ...]
    client_delay: dt.timedelta

    @classmethod
    def from_examples(cls, name: str) -> Self:
        """Return the deployment in ``examples/NAME``.

        Raises ``DeploymentError`` if that directory does not exist.
        """
        directory = _EXAMPLES_DIRECTORY / name
        if not directory.is_dir():
            known = ', '.join(
                sorted(path.name for path in _EXAMPLES_DIRECTORY.iterdir())
            )
            raise DeploymentError(
                f'unknown deployment {name!r}; expected one of {known}'
            )
        files = directory / 'routes.toml', directory / 'pools.toml'
        rows = TableFiles.load(*files).rows.rows.values()
        network = _read_toml(directory / 'network.toml')
        pools = [row for row in rows if isinstance(row, PoolRow)]
        return cls(
            name=name,
            routes_file=files[0],
            pools_file=files[1],
            routes=tuple(row for row in rows if isinstance(row, RouteRow)),
            pools={pool.name: pool for pool in pools},
            upstreams=tuple(
                row for row in rows if isinstance(row, UpstreamRow)
            ),
            customers_file=directory / 'customers.toml',
            customers=_concurrency_by_customer(
                directory / 'customers.toml', pools
            ),
            routers=_routers(network),
            client_delay=parse_duration(network['client_delay']),
        )

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the availability zones of the upstreams, sorted."""
        return tuple(sorted({upstream.zone for upstream in self.upstreams}))

    @property
    def model(self) -> str:
        """Return the model of the first model route."""
        return self._first_route(PoolKind.model).model

    @property
    def path_prefix(self) -> str:
        """Return the path prefix of the first service route."""
        return self._first_route(PoolKind.service).path_prefix

    def key_of(self, customer: str) -> str:
        """Return the API key that the examples give to a customer."""
        return f'key-{customer}'

    def kind_of(self, upstream: UpstreamRow) -> PoolKind:
        """Return whether an upstream is a model engine or a plain service."""
        return self.pools[upstream.pool].kind

    def models_of(self, upstream: UpstreamRow) -> tuple[str, ...]:
        """Return the models whose routes lead to the pool of an engine."""
        return tuple(
            route.model
            for route in self.routes
            if route.pool == upstream.pool and route.model
        )

    def write_pools(self, path: Path, addresses: Mapping[str, str]) -> None:
        """Write the pools file with the addresses of the started upstreams.

        ``addresses`` maps the name of an upstream to its address.
        """
        text = self.pools_file.read_text(encoding='utf-8')
        for upstream in self.upstreams:
            old = f'"{upstream.address}"'
            text = text.replace(old, f'"{addresses[upstream.name]}"')
        path.write_text(text, encoding='utf-8')

    def _first_route(self, kind: PoolKind) -> RouteRow:
        for route in self.routes:
            if self.pools[route.pool].kind is kind:
                return route
        raise DeploymentError(f'{self.name} has no route of kind {kind.value}')


def _routers(network: Mapping[str, Any]) -> tuple[RouterSpec, ...]:
    hosts = network['entry_host']
    return tuple(RouterSpec(host['name'], host['zone']) for host in hosts)


def _concurrency_by_customer(
    path: Path, pools: Iterable[PoolRow]
) -> dict[str, int]:
    large = {customer for pool in pools for customer in pool.weights}
    rows = _read_toml(path)['customer']
    return {
        row['name']: _LARGE_CUSTOMER_CONCURRENCY
        if row['name'] in large
        else _SMALL_CUSTOMER_CONCURRENCY
        for row in rows
    }


def _read_toml(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding='utf-8'))
