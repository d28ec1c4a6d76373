"""What a request asks of a model engine."""

import dataclasses
from typing import Final

# Writing a token takes about as much of an engine as reading two.
OUTPUT_TOKEN_COST: Final = 2


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share, and its tokens."""

    name: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """The size of a request in tokens, and the parts it may share.

    ``parts`` are in order; the last one belongs to the request or its session
    alone.
    """

    model: str
    tokens: int
    max_output: int
    expected_output: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have in common."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Return the name of the last shared part, empty if there is none."""
        return self.parts[-2].name if len(self.parts) > 1 else ''

    @property
    def unshared_tokens(self) -> int:
        """Return the tokens that no other request may share."""
        return self.tokens - sum(part.tokens for part in self.shared_parts)

    @property
    def memory_tokens(self) -> int:
        """Return what the request occupies by the time it ends."""
        return self.tokens + self.expected_output

    @property
    def cost(self) -> int:
        """Return the work of the request, in tokens read."""
        return self.tokens + OUTPUT_TOKEN_COST * self.expected_output
