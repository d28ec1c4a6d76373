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
READ_TOKENS_PER_SECOND: Final = 100_000.0
# What an idle engine takes to begin, beside reading.
FIRST_TOKEN_SECONDS: Final = 0.08
# What a plain service takes until the first answers tell.
INITIAL_SERVICE_SECONDS: Final = 0.03
# Weight of the newest observation.
GAIN: Final = 0.15
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 20.0


@final
class UpstreamSpeeds:
    """Learned speeds by upstream id."""

    __slots__ = ('factors', 'service')

    def __init__(self) -> None:
        self.factors: dict[str, float] = {}
        self.service: dict[str, float] = {}

    def prompt_seconds(self, upstream_id: str, unread: float) -> float:
        """Return when an answer begins if so many tokens are read first."""
        return nominal_seconds(unread) * self.factors.get(upstream_id, 1.0)

    def observe_prompt(
        self,
        upstream_id: str,
        unread: float,
        seconds: float,
    ) -> None:
        """Learn from an answer that began after so many seconds."""
        ratio = seconds / nominal_seconds(unread)
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, ratio))
        former = self.factors.get(upstream_id, 1.0)
        self.factors[upstream_id] = former + GAIN * (ratio - former)

    def service_seconds(
        self,
        upstream_id: str,
        running: int,
        slots: int,
    ) -> float:
        """Return what a plain service takes with so many others there."""
        mean = self.service.get(upstream_id, INITIAL_SERVICE_SECONDS)
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
        former = self.service.get(upstream_id, INITIAL_SERVICE_SECONDS)
        self.service[upstream_id] = former + GAIN * (alone - former)

    def forget(self, upstream_id: str) -> None:
        """Drop what was learned of an upstream that is gone."""
        self.factors.pop(upstream_id, None)
        self.service.pop(upstream_id, None)


def nominal_seconds(unread: float) -> float:
    """Return when a well engine begins after reading so many tokens."""
    return FIRST_TOKEN_SECONDS + unread / READ_TOKENS_PER_SECOND
