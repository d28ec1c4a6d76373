"""How long an upstream takes, learned from the answers that it gave.

Load pattern: engines of one pool differ in speed, some turn slow for a while,
and long prompts that are being read delay all others. The estimate of when an
answer begins grows with the prompt tokens that the engine has yet to read,
times a factor that is learned for each engine.

Example::

    speeds.observe_prompt('engine-7', unread=24000, seconds=0.4)
    speeds.prompt_seconds('engine-7', unread=6000)
"""

from typing import Final, final

# An engine reads about 100 tokens a millisecond while it also writes.
PREFILL_TOKENS_PER_SECOND: Final = 100_000.0
# What an idle engine takes to begin, beside reading.
FIRST_TOKEN_SECONDS: Final = 0.08
# What a plain service takes until the first answers tell.
DEFAULT_SERVICE_SECONDS: Final = 0.03
# Weight of the newest observation.
NEWEST_WEIGHT: Final = 0.15
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 20.0


@final
class UpstreamSpeeds:
    """Learned speeds by upstream id."""

    __slots__ = ('prompt_factors', 'service_means')

    def __init__(self) -> None:
        self.prompt_factors: dict[str, float] = {}
        self.service_means: dict[str, float] = {}

    def prompt_seconds(
        self, upstream_id: str, unprocessed_tokens: float
    ) -> float:
        """Return when an answer begins if so many tokens are read first."""
        return nominal_seconds(unprocessed_tokens) * self.prompt_factors.get(
            upstream_id, 1.0
        )

    def observe_prompt(
        self,
        upstream_id: str,
        unprocessed_tokens: float,
        seconds: float,
    ) -> None:
        """Learn from an answer that began after so many seconds."""
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
        """Return what a plain service takes with so many others there."""
        mean = self.service_means.get(upstream_id, DEFAULT_SERVICE_SECONDS)
        return mean * max(1.0, (running + 1) / slots)

    def observe_service(
        self,
        upstream_id: str,
        running: int,
        slots: int,
        seconds: float,
    ) -> None:
        """Learn from a whole answer; waiting behind others is taken out."""
        alone = seconds / max(1.0, running / slots)
        previous = self.service_means.get(upstream_id, DEFAULT_SERVICE_SECONDS)
        self.service_means[upstream_id] = previous + NEWEST_WEIGHT * (
            alone - previous
        )

    def forget(self, upstream_id: str) -> None:
        """Drop what was learned of an upstream that is gone."""
        self.prompt_factors.pop(upstream_id, None)
        self.service_means.pop(upstream_id, None)


def nominal_seconds(unprocessed_tokens: float) -> float:
    """Return when a well engine begins after reading so many tokens."""
    return FIRST_TOKEN_SECONDS + unprocessed_tokens / PREFILL_TOKENS_PER_SECOND
