"""Data types of the prompt cache estimate."""

from collections.abc import Iterable, Sequence

import attrs
import xxhash

from ..models import PromptPart

# Key of each prompt prefix, and its last part's tokens.
Prefixes = Sequence[tuple[int, int]]


def list_prefixes(prompt: Sequence[PromptPart]) -> Iterable[tuple[int, int]]:
    """Yield each prompt prefix's key, and its last part's tokens.

    A key is a hash of all parts up to the prefix's end, of 64 bits.
    """
    hasher = xxhash.xxh3_64()
    for part in prompt:
        hasher.update(f",{part.part_id}".encode("utf-8", "surrogateescape"))
        yield hasher.intdigest(), part.tokens


# Not frozen, as it is created for each candidate.
@attrs.define
class CachedPrompt:
    """What an upstream has probably cached of a prompt."""

    # Tokens of the prompt's beginning that may be cached.
    tokens: int
    # Mean probability that one of these tokens is cached.
    chance: float

    @property
    def expected_tokens(self) -> int:
        """Return the expected number of cached tokens."""
        return round(self.tokens * self.chance)


@attrs.frozen
class PromptRun:
    """A request that an upstream runs, as far as its memory is concerned."""

    model: str
    prefixes: tuple[tuple[int, int], ...]
    # Prompt tokens beyond the prefixes.
    own_tokens: int
    # Tokens of memory that the request holds: its prompt and expected output.
    tokens: int
    sent_at_s: float


@attrs.frozen
class EvictedPart:
    """A part that a prompt would evict."""

    model: str
    tokens: int
    # Expected number of its uses that the eviction concerns, at most 1.
    uses: float
