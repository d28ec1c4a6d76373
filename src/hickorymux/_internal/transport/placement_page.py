"""The page ``/explain``: where a request would be sent now, and why.

Example::

    GET /explain?pool=models&customer=ann&parts=system:500,own:900
"""

from collections.abc import Mapping
from typing import Final

import msgspec
from aiohttp import web

from hickorymux._internal.coordination.engines.allocator import Allocator
from hickorymux._internal.coordination.engines.demands import (
    Demand,
    PlainDemand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.placement_report import (
    PlacementPreview,
)
from hickorymux._internal.coordination.engines.prompts import (
    Prompt,
    PromptPart,
)
from hickorymux._internal.exceptions import ParameterInvalid
from hickorymux._internal.protocol.placement_messages import ParameterError
from hickorymux._internal.state.routing import PoolPolicy, RoutingTable

# Placement of a request without shared parts depends on its id.
REQUEST_ID: Final = 'explain'
# Time limit of a request to a pool that no route leads to.
DEFAULT_LIMIT_SECONDS: Final = 10.0
MAX_TOKENS: Final = 100_000_000
MAX_OBJECTIVE_MS: Final = 3_600_000
MAX_PARTS: Final = 1000
_NAMES: Final = frozenset(
    ('pool', 'customer', 'tokens', 'unshared', 'parts', 'objective_ms')
)
_MS_PER_SECOND: Final = 1000
_STATUS_OK: Final = 200


def answer_placement_query(
    request: web.BaseRequest,
    table: RoutingTable | None,
    allocator: Allocator,
) -> web.Response:
    """Return the report as JSON, or the error of a parameter with status 400.

    Changes no state of the router.
    """
    if request.method not in {'GET', 'HEAD'}:
        return web.Response(status=405, headers={'Allow': 'GET, HEAD'})
    now = allocator.clock.monotonic()
    try:
        for name in request.query:
            if name not in _NAMES or len(request.query.getall(name)) > 1:
                raise ParameterInvalid('unknown or repeated', where=name)
        demand = read_demand(request.query, table, now)
    except ParameterInvalid as error:
        return _json(
            ParameterError(
                code=error.code, parameter=error.where, detail=error.detail
            ),
            error.http_status,
        )
    preview = PlacementPreview.from_allocator(allocator)
    return _json(preview.report(demand), _STATUS_OK)


def read_demand(
    query: Mapping[str, str], table: RoutingTable | None, now: float
) -> Demand:
    """Return the request that a query describes, arriving now.

    Raises ``ParameterInvalid`` for a missing or malformed parameter.
    """
    pool = None if table is None else table.pools.get(query.get('pool', ''))
    if table is None or pool is None:
        raise ParameterInvalid('no such pool', where='pool')
    objective, limit = _default_seconds(table, pool)
    stated = query.get('objective_ms')
    if stated is not None:
        milliseconds = _read_number(stated, 'objective_ms', MAX_OBJECTIVE_MS)
        objective = milliseconds / _MS_PER_SECOND
    if objective <= 0:
        raise ParameterInvalid('must be above 0', where='objective_ms')
    customer = query.get('customer', '')
    regions = next(
        (
            each.regions
            for each in table.customers_by_key.values()
            if each.name == customer
        ),
        frozenset[str](),
    )
    prompt = _read_prompt(query)
    times = (now, now + objective, now + max(limit, objective))
    if prompt is None or pool.engine is None:
        return PlainDemand(REQUEST_ID, customer, pool, *times, regions)
    return PromptDemand(
        REQUEST_ID, customer, pool, *times, regions, prompt=prompt
    )


def _default_seconds(
    table: RoutingTable, pool: PoolPolicy
) -> tuple[float, float]:
    """Return the objective and time limit of the first route to a pool."""
    for routes in table.routes_by_host.values():
        for route in routes:
            if any(share.pool == pool.name for share in route.pools):
                limit = route.timeout.total_seconds()
                objective = route.latency_objective.total_seconds()
                return min(objective or limit, limit), limit
    return DEFAULT_LIMIT_SECONDS, DEFAULT_LIMIT_SECONDS


def _read_prompt(query: Mapping[str, str]) -> Prompt | None:
    """Return the prompt that a query describes, ``None`` if it has none."""
    listed = query.get('parts')
    if listed is None:
        return _read_size(query.get('tokens'), query.get('unshared'))
    for name in ('tokens', 'unshared'):
        if name in query:
            raise ParameterInvalid('not together with parts', where=name)
    parts = _read_parts(listed)
    return Prompt('', sum(part.tokens for part in parts), 0, 0, parts)


def _read_size(tokens_text: str | None, unshared: str | None) -> Prompt | None:
    """Return a prompt of a size whose parts are not known."""
    if tokens_text is None:
        if unshared is not None:
            raise ParameterInvalid('needed with unshared', where='tokens')
        return None
    tokens = _read_number(tokens_text, 'tokens', MAX_TOKENS)
    own = tokens
    if unshared is not None:
        own = _read_number(unshared, 'unshared', tokens)
    # The name of the shared part is unknown, so it has no preferred engine.
    return Prompt(
        '', tokens, 0, 0, (PromptPart('', tokens - own), PromptPart('', own))
    )


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    entries = text.split(',')
    if len(entries) > MAX_PARTS:
        raise ParameterInvalid(f'more than {MAX_PARTS} parts', where='parts')
    parts = []
    for entry in entries:
        name, separator, tokens = entry.rpartition(':')
        if not separator or not name:
            raise ParameterInvalid('not a list of ID:TOKENS', where='parts')
        parts.append(
            PromptPart(name, _read_number(tokens, 'parts', MAX_TOKENS))
        )
    return tuple(parts)


def _read_number(text: str, name: str, most: int) -> int:
    # The length is checked first, as long digits take long to convert.
    is_number = (
        text.isascii() and text.isdigit() and len(text) <= len(str(most))
    )
    if not is_number or int(text) > most:
        raise ParameterInvalid(
            f'not a whole number from 0 to {most}', where=name
        )
    return int(text)


def _json(body: msgspec.Struct, status: int) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )
