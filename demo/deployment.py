"""A deployment from ``examples/``: its tables, zones and customers."""

import dataclasses
import itertools
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Final, Self, final

from hickorymux._internal.state.rows import (
    PoolRow,
    RouteRow,
    UpstreamRow,
)
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.state.tables import PoolKind

_EXAMPLES: Final = Path(__file__).parent.parent / 'examples'
_ROUTERS_PER_ZONE: Final = 2
_MAX_ROUTERS: Final = 7
_LARGE_WIDTH: Final = 6
_SMALL_WIDTH: Final = 2
_LARGE_CUSTOMERS: Final = 2


class DeploymentError(Exception):
    """The deployment lacks what the demo shows."""


@dataclasses.dataclass(slots=True, frozen=True)
class RouterPlace:
    """A router to start and its availability zone."""

    name: str
    zone: str


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """The two table files and what the demo reads from them.

    ``customers`` maps each customer to the number of requests that it sends
    at a time; those that the file lists first are large.
    """

    name: str
    routes_file: Path
    pools_file: Path
    customers_file: Path
    routes: tuple[RouteRow, ...]
    pools: Mapping[str, PoolRow]
    upstreams: tuple[UpstreamRow, ...]
    customers: Mapping[str, int]

    @classmethod
    def from_examples(cls, name: str) -> Self:
        """Return the deployment ``examples/NAME``."""
        directory = _EXAMPLES / name
        if not directory.is_dir():
            known = ', '.join(sorted(path.name for path in _EXAMPLES.iterdir()))
            raise DeploymentError(f'no deployment {name!r}; there are {known}')
        files = directory / 'routes.toml', directory / 'pools.toml'
        rows = TableFiles.load(*files).rows.rows.values()
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
            customers=_widths(directory / 'customers.toml'),
        )

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the availability zones in order."""
        return tuple(sorted({upstream.zone for upstream in self.upstreams}))

    @property
    def routers(self) -> tuple[RouterPlace, ...]:
        """Return the routers: two a zone, and no more than seven."""
        numbers = range(1, _ROUTERS_PER_ZONE + 1)
        pairs = itertools.product(numbers, self.zones)
        places = (
            RouterPlace(f'{zone}-{number}', zone) for number, zone in pairs
        )
        return tuple(itertools.islice(places, _MAX_ROUTERS))

    @property
    def model(self) -> str:
        """Return the model of the first model route."""
        return self._first_route(PoolKind.model).model

    @property
    def path_prefix(self) -> str:
        """Return the path prefix of the first service route."""
        return self._first_route(PoolKind.service).path_prefix

    def key_of(self, customer: str) -> str:
        """Return the key of a customer, as the examples give them."""
        return f'key-{customer}'

    def kind_of(self, upstream: UpstreamRow) -> PoolKind:
        """Return what an upstream speaks."""
        return self.pools[upstream.pool].kind

    def models_of(self, upstream: UpstreamRow) -> tuple[str, ...]:
        """Return the models that an engine must have loaded."""
        return tuple(
            route.model
            for route in self.routes
            if route.pool == upstream.pool and route.model
        )

    def write_pools(self, path: Path, addresses: Mapping[str, str]) -> None:
        """Write the pools file with the addresses that were given out."""
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


def _widths(path: Path) -> dict[str, int]:
    rows = tomllib.loads(path.read_text(encoding='utf-8'))['customer']
    return {
        row['name']: _LARGE_WIDTH if number < _LARGE_CUSTOMERS else _SMALL_WIDTH
        for number, row in enumerate(rows)
    }
