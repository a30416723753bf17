"""The placement interface: one request, the candidates, what is believed cached; one decision.

Every policy is a small class behind :class:`PlacementPolicy`, chosen by name, so that a baseline
and a new policy differ by one file. Policies are deterministic: randomness is passed in as a seeded
generator when a policy is built.
"""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from winchfork.constants import BLOCK_TOKENS
from winchfork.core.fleet import Replica
from winchfork.core.prefix import PromptPrefix


class PlacementReason(enum.Enum):
    """Why a replica was chosen; shown by ``winchfork explain``."""

    ROTATION = "rotation"
    LEAST_LOADED = "least_loaded"
    FEWER_OF_TWO = "fewer_of_two"
    PREFIX_OWNER = "prefix_owner"
    PREFIX_OWNER_FULL = "prefix_owner_full"
    LONGEST_PREFIX = "longest_prefix"
    CHEAPEST_WITH_PREFIX = "cheapest_with_prefix"
    CHEAPEST_COLD = "cheapest_cold"
    HOT_PREFIX_WIDENED = "hot_prefix_widened"
    HOT_PREFIX_COPIED = "hot_prefix_copied"


@dataclasses.dataclass(frozen=True)
class ClassWeights:
    """How a traffic class weighs its goals; both multiply seconds.

    ``first_token`` multiplies the expected time to first token, ``recompute`` the engine time spent
    on prefill that a better placement would have avoided.
    """

    first_token: float = 1.0
    recompute: float = 1.0


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """What a policy may know about a request."""

    request_id: str
    prefix: PromptPrefix
    weights: ClassWeights = ClassWeights()
    zone: str = ""
    urgent: bool = False


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One replica that was weighed: predicted cached blocks, wait and cost in seconds.

    ``imported_blocks`` is how many leading blocks it would hold after copying from another.
    """

    replica_id: str
    cached_blocks: int
    wait_s: float
    prefill_s: float
    cost: float
    imported_blocks: int = 0
    import_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class PlacementDecision:
    """The chosen replica with the reason and the best of the candidates that were weighed.

    With ``import_from`` set, the replica first copies the prompt's leading ``import_blocks`` from
    that replica.
    """

    replica_id: str
    reason: PlacementReason
    cached_blocks: int
    uncached_tokens: int
    expected_first_token_s: float
    candidates: tuple[Candidate, ...] = ()
    import_from: str = ""
    import_blocks: int = 0


class PlacementPolicy(Protocol):
    """Chooses one of ``replicas`` (never empty). ``matched`` maps replica id to cached blocks."""

    def choose(
        self, request: PlacementRequest, replicas: Sequence[Replica], matched: Mapping[str, int]
    ) -> PlacementDecision:
        """Return the decision; pure but for the policy's own memory of earlier decisions."""
        ...


PolicyFactory = Callable[[random.Random], PlacementPolicy]


def uncached_tokens(prefix: PromptPrefix, cached_blocks: int) -> int:
    """Return the prompt tokens left to prefill when ``cached_blocks`` leading blocks are reused."""
    return max(1, prefix.prompt_tokens - cached_blocks * BLOCK_TOKENS)


def decide(
    request: PlacementRequest,
    replica: Replica,
    reason: PlacementReason,
    cached_blocks: int,
    candidates: tuple[Candidate, ...] = (),
) -> PlacementDecision:
    """Build a decision with its predictions filled in."""
    tokens = uncached_tokens(request.prefix, cached_blocks)
    wait_s = replica.expected_wait_s(urgent=request.urgent)
    first_token_s = wait_s + tokens / replica.load.prefill_tokens_per_s
    return PlacementDecision(
        replica.replica_id, reason, cached_blocks, tokens, first_token_s, candidates
    )
