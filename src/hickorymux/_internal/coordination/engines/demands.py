"""A request as the decisions about upstreams see it."""

import dataclasses

from hickorymux._internal.coordination.engines.prompts import Prompt
from hickorymux._internal.state.routing import PoolPolicy


@dataclasses.dataclass(slots=True, eq=False)
class Demand:
    """A request that wants an upstream; times are monotonic seconds.

    An answer should begin by ``due_at`` and must be whole by ``deadline``.
    ``excluded_ids`` holds the ids of upstreams that must not get it again.
    """

    request_id: str
    customer: str
    pool: PoolPolicy
    arrived_at: float
    start_deadline: float
    deadline: float
    regions: frozenset[str] = frozenset()
    excluded_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, eq=False)
class PlainDemand(Demand):
    """A request to a plain service, of which nothing is known before."""

    @property
    def cost(self) -> int:
        """Return the work of the request, in requests."""
        return 1


@dataclasses.dataclass(slots=True, eq=False)
class PromptDemand(Demand):
    """A request to a model engine."""

    prompt: Prompt = Prompt('', 0, 0, 0)

    @property
    def cost(self) -> int:
        """Return the work of the request, in tokens read."""
        return self.prompt.cost
