"""The prompt of a request to a model engine: its size and its parts."""

import dataclasses
from typing import Final

# Generating a token costs an engine about as much as processing two prompt
# tokens.
OUTPUT_TOKEN_COST: Final = 2


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Parts with the same name are assumed to have the same text. ``tokens`` is
    the length of the part.
    """

    name: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """The size of a request in tokens, and the parts of its prompt.

    ``parts`` are in the order of the prompt; all but the last one may be
    shared with other requests. The last one belongs to the request or its
    session alone.
    """

    model: str
    tokens: int
    max_output: int
    expected_output: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Return the name of the last shared part, empty if there is none."""
        return self.parts[-2].name if len(self.parts) > 1 else ''

    @property
    def unshared_tokens(self) -> int:
        """Return the number of tokens outside the shared parts."""
        return self.tokens - sum(part.tokens for part in self.shared_parts)

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the request occupies when it ends."""
        return self.tokens + self.expected_output

    @property
    def cost(self) -> int:
        """Return the cost of the request in prompt tokens."""
        return self.tokens + OUTPUT_TOKEN_COST * self.expected_output
