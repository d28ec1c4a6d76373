"""Estimates how long upstreams take, learning from their answers.

Load pattern: engines of one pool differ in speed, some become slow for a while,
and long prompts that are being processed delay all others. The estimated time
until an answer begins grows with the unprocessed prompt tokens of the engine.
It is multiplied by a factor that is learned for each engine.

Example::

    speeds.observe_prompt('engine-7', unprocessed_tokens=24000, seconds=0.4)
    speeds.prompt_seconds('engine-7', unprocessed_tokens=6000)
"""

from typing import Final, final

# Prompt tokens that an engine processes while it also generates answers.
PREFILL_TOKENS_PER_SECOND: Final = 100_000.0
# Time until an idle engine begins an answer, besides processing the prompt.
FIRST_TOKEN_SECONDS: Final = 0.08
# Assumed service time of a plain service before its first answer.
DEFAULT_SERVICE_SECONDS: Final = 0.03
# Weight of the newest observation in the moving averages.
NEWEST_WEIGHT: Final = 0.15
# Bounds of the learned factors.
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 20.0


@final
class UpstreamSpeeds:
    """Learned speeds of upstreams, by upstream id.

    ``prompt_factors`` relates the time until an engine begins an answer to
    that of a nominal engine; ``service_means`` is the mean service time of a
    plain service in seconds.
    """

    __slots__ = ('prompt_factors', 'service_means')

    def __init__(self) -> None:
        self.prompt_factors: dict[str, float] = {}
        self.service_means: dict[str, float] = {}

    def prompt_seconds(
        self, upstream_id: str, unprocessed_tokens: float
    ) -> float:
        """Return the expected time until an answer begins, in seconds.

        The engine first processes ``unprocessed_tokens`` of prompts, which
        include the request's own.
        """
        return nominal_seconds(unprocessed_tokens) * self.prompt_factors.get(
            upstream_id, 1.0
        )

    def observe_prompt(
        self,
        upstream_id: str,
        unprocessed_tokens: float,
        seconds: float,
    ) -> None:
        """Update the engine's factor from the time until an answer began."""
        ratio = seconds / nominal_seconds(unprocessed_tokens)
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, ratio))
        previous = self.prompt_factors.get(upstream_id, 1.0)
        self.prompt_factors[upstream_id] = previous + NEWEST_WEIGHT * (
            ratio - previous
        )

    def service_seconds(
        self,
        upstream_id: str,
        running: int,
        slots: int,
    ) -> float:
        """Return the expected service time of a plain service, in seconds.

        ``running`` is the number of requests that are already there.
        """
        mean = self.service_means.get(upstream_id, DEFAULT_SERVICE_SECONDS)
        return mean * max(1.0, (running + 1) / slots)

    def observe_service(
        self,
        upstream_id: str,
        running: int,
        slots: int,
        seconds: float,
    ) -> None:
        """Update the mean service time from an answer received whole.

        The time spent waiting behind other requests is not counted.
        ``running`` includes the request itself.
        """
        alone = seconds / max(1.0, running / slots)
        previous = self.service_means.get(upstream_id, DEFAULT_SERVICE_SECONDS)
        self.service_means[upstream_id] = previous + NEWEST_WEIGHT * (
            alone - previous
        )

    def forget(self, upstream_id: str) -> None:
        """Drop what was learned of an upstream that no longer exists."""
        self.prompt_factors.pop(upstream_id, None)
        self.service_means.pop(upstream_id, None)


def nominal_seconds(unprocessed_tokens: float) -> float:
    """Return the time in which a healthy engine begins an answer.

    ``unprocessed_tokens`` is the number of prompt tokens to process first.
    """
    return FIRST_TOKEN_SECONDS + unprocessed_tokens / PREFILL_TOKENS_PER_SECOND
