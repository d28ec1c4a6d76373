"""A caller's request, and the route and pool that it is matched to."""

import dataclasses
import hashlib
from collections.abc import Mapping

import msgspec
import xxhash
from multidict import CIMultiDict

from hickorymux._internal.exceptions import BadRequest, RouteNotFound
from hickorymux._internal.state.tables import Pool, PoolKind, Route, Tables

CHAT_PATH = '/v1/chat/completions'
BODY_DIGEST_BYTES = 16


class ChatFields(msgspec.Struct):
    """The fields of a chat completion request that routing needs."""

    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """One request of one customer, matched to its route and pool.

    ``arrived_at`` is in monotonic seconds. ``cost_hint`` is the expected cost
    in tokens for model pools, or 0 if it is unknown.
    """

    request_id: str
    customer: str
    route: Route
    pool: Pool
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    arrived_at: float
    idempotency_key: str = ''
    cost_hint: float = 0

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        if self.pool.kind is PoolKind.model:
            return True
        return self.method in self.route.idempotent_methods

    @property
    def body_digest(self) -> bytes:
        """Return the digest that a reused idempotency key must match."""
        target = f'{self.method}\n{self.path}\n'.encode()
        digest = hashlib.sha256(target + self.body)
        return digest.digest()[:BODY_DIGEST_BYTES]

    @property
    def fingerprint(self) -> int:
        """Return a number that stays the same when a request is sent again."""
        digest = xxhash.xxh3_64(self.body)
        digest.update(f'{self.customer}\n{self.method}\n{self.path}'.encode())
        return digest.intdigest()

    def queue_deadline(self) -> float:
        """Return when the wait for a slot ends, in monotonic seconds."""
        return self.arrived_at + self.route.queue_timeout.total_seconds()


def parse_chat_fields(body: bytes) -> ChatFields:
    """Return the fields that routing needs.

    Raises ``BadRequest`` if the body is not valid JSON or a field is malformed.
    """
    try:
        return msgspec.json.decode(body, type=ChatFields)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(str(error), where='body') from error


def _may_use(route: Route, customer: str) -> bool:
    return not route.customers or customer in route.customers


def match_model(tables: Tables, customer: str, model: str) -> Route:
    """Return the route of a model; prefer one that names the customer.

    Raises ``RouteNotFound`` if the customer may use no route of the model.
    """
    found = [
        route
        for route in tables.routes.values()
        if route.model == model and _may_use(route, customer)
    ]
    if not found:
        raise RouteNotFound(
            f'no route for model "{model}"',
            where='body.model',
            hint='name a model that the operator has published',
        )
    return max(found, key=_specificity)


def _is_below(path: str, prefix: str) -> bool:
    """Return whether a path is the prefix itself or lies below it."""
    if not prefix or not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return not rest or prefix.endswith('/') or rest.startswith('/')


def match_path(tables: Tables, customer: str, path: str) -> Route:
    """Return the route with the longest matching path prefix.

    Raises ``RouteNotFound`` if no route matches that the customer may use.
    """
    found = [
        route
        for route in tables.routes.values()
        if _is_below(path, route.path_prefix) and _may_use(route, customer)
    ]
    if not found:
        raise RouteNotFound(f'no route for path "{path}"', where='path')
    return max(found, key=_specificity)


def _specificity(route: Route) -> tuple[int, bool]:
    return len(route.path_prefix), bool(route.customers)


def cost_hint_of(fields: ChatFields) -> float:
    """Return the requested maximum of tokens, or 0 if it is not given."""
    return float(fields.max_completion_tokens or fields.max_tokens or 0)


def pool_of(tables: Tables, route: Route) -> Pool:
    """Return the pool of a route.

    The pool always exists: a configuration whose route names an unknown pool
    is rejected before it takes effect.
    """
    pools: Mapping[str, Pool] = tables.pools
    return pools[route.pool]
