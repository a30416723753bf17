"""The interface of placement policies, which choose a replica for each request.

Each policy implements :class:`PlacementPolicy` and is chosen by name. Policies are deterministic:
randomness comes from a seeded generator that is passed in when a policy is built.
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
    """Cost weights of a traffic class; both multiply seconds.

    ``first_token`` multiplies the expected time to first token, ``recompute`` the engine time spent
    on prefill that a better placement would have avoided.
    """

    first_token: float = 1.0
    recompute: float = 1.0


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """The properties of a request that a policy may use."""

    request_id: str
    prefix: PromptPrefix
    weights: ClassWeights = ClassWeights()
    zone: str = ""
    urgent: bool = False


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One replica that was considered: predicted cached blocks, wait and cost in seconds.

    ``imported_blocks`` is the number of leading blocks cached after a copy from another replica.
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
    """The chosen replica, the reason, and the best of the candidates that were considered.

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
        """Return the decision; it may depend on the policy's own record of earlier decisions."""
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
    """Build a decision, with the expected time to first token from the replica's load."""
    tokens = uncached_tokens(request.prefix, cached_blocks)
    wait_s = replica.expected_wait_s(urgent=request.urgent)
    first_token_s = wait_s + tokens / replica.load.prefill_tokens_per_s
    return PlacementDecision(
        replica.replica_id, reason, cached_blocks, tokens, first_token_s, candidates
    )
