"""Requests and upstreams for the tests of placement and queueing."""

import datetime as dt

from hickorymux._internal.coordination.engines.demands import (
    PlainDemand,
    PromptDemand,
)
from hickorymux._internal.coordination.engines.prompts import (
    Prompt,
    PromptPart,
)
from hickorymux._internal.state.routing import EngineModel, PoolPolicy
from hickorymux._internal.state.upstream_registry import (
    RegisteredUpstream,
    UpstreamRegistry,
)

MODELS = PoolPolicy(
    'models', dt.timedelta(seconds=3), 16, EngineModel(64, 500_000)
)
PLAIN = PoolPolicy('plain', dt.timedelta(), 0)


def prompt(
    subject: str = 'subject',
    own: int = 1000,
    shared: int = 5000,
    output: int = 200,
) -> Prompt:
    """Return a prompt that shares its parts with others of its subject.

    ``own`` and ``shared`` are the numbers of tokens outside and inside the
    shared parts, ``output`` that of the answer.
    """
    parts = (
        PromptPart('system', 500),
        PromptPart(subject, shared - 500),
        PromptPart('own', own),
    )
    return Prompt('m', own + shared, output, output, parts)


def prompt_demand(
    customer: str = 'ann',
    *,
    now: float = 0,
    objective: float = 0.6,
    deadline: float = 10,
    **sizes: object,
) -> PromptDemand:
    """Return a request to the model engines; ``sizes`` are for ``prompt``."""
    return PromptDemand(
        'r',
        customer,
        MODELS,
        now,
        now + objective,
        now + deadline,
        prompt=prompt(**sizes),
    )


def plain_demand(customer: str = 'ann', now: float = 0) -> PlainDemand:
    """Return a request to the plain service."""
    return PlainDemand('r', customer, PLAIN, now, now + 0.1, now + 1)


def upstream(number: int, pool: str = 'models', **changes: object):
    """Return a registered upstream; ``changes`` override its fields."""
    fields = {
        'upstream_id': f'e{number}',
        'pool': pool,
        'address': f'10.0.0.{number}:80',
        'zone': 'z1',
        'slots': 64,
        'is_ready': True,
        **changes,
    }
    return RegisteredUpstream(**fields)


def registry(count: int, pool: str = 'models', **changes: object):
    """Return a registry of ``count`` upstreams."""
    found = UpstreamRegistry()
    for number in range(count):
        found.put(upstream(number, pool, **changes))
    return found
