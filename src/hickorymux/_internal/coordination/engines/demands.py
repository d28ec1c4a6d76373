"""The properties of a request that placement and queueing decide by."""

import dataclasses

from hickorymux._internal.coordination.engines.prompts import Prompt
from hickorymux._internal.state.routing import PoolPolicy


@dataclasses.dataclass(slots=True, eq=False)
class Demand:
    """A request that needs an upstream; times are monotonic seconds.

    The answer should begin by ``start_deadline`` and must be whole by
    ``deadline``. ``regions`` is empty if any region will do. ``excluded_ids``
    are the ids of upstreams that must not get the request again. ``version``
    is the software version that began the stream, which must go on at it;
    ``None`` if any version will do.
    """

    request_id: str
    customer: str
    pool: PoolPolicy
    arrived_at: float
    start_deadline: float
    deadline: float
    regions: frozenset[str] = frozenset()
    excluded_ids: set[str] = dataclasses.field(default_factory=set)
    version: str | None = None

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has a part of the answer already."""
        return self.version is not None

    @property
    def is_restricted(self) -> bool:
        """Return whether some upstreams of the pool must not get it."""
        return bool(self.excluded_ids or self.regions) or (
            self.version is not None
        )


@dataclasses.dataclass(slots=True, eq=False)
class PlainDemand(Demand):
    """A request to a plain service, whose cost is not known in advance."""

    @property
    def cost(self) -> int:
        """Return the cost of the request, which counts requests."""
        return 1


@dataclasses.dataclass(slots=True, eq=False)
class PromptDemand(Demand):
    """A request to a model engine."""

    prompt: Prompt = Prompt('', 0, 0, 0)

    @property
    def cost(self) -> int:
        """Return the cost of the request in prompt tokens."""
        return self.prompt.cost
