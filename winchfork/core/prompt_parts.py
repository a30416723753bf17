"""Prompts described by part ids and token counts, and the namespaces that keep cache apart.

The router never sees a prompt's text. A caller names the parts in order; parts before the last are
shared with other requests, the last belongs to the request or its session.
"""

from __future__ import annotations

import msgspec

_SHARED_ISOLATION_KEY = "-"


class PromptPart(msgspec.Struct, frozen=True):
    """One part: its id and its length in tokens."""

    part_id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """A prompt for ``model``; ``output_tokens`` is the most that may be generated."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def family(self) -> str:
        """The id of the last shared part, or of the only part: what placement keeps together."""
        if len(self.parts) >= 2:
            return self.parts[-2].part_id
        return self.parts[-1].part_id if self.parts else ""

    @property
    def memory_tokens(self) -> int:
        """Tokens of a replica's memory that the run may come to take."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)


class CacheScope(msgspec.Struct, frozen=True):
    """Whose cache a prompt may use: that of one tenant or the shared one, for one model.

    A namespace names the scope and the weights version. Cache across a wall or of other weights
    cannot be named at all, in a replica or in a store.
    """

    isolation_key: str
    model: str

    @classmethod
    def for_tenant(cls, tenant: str, isolated: bool, model: str) -> CacheScope:
        """Return the tenant's own scope where it is isolated, else the shared one."""
        return cls(f"t.{tenant}" if isolated else _SHARED_ISOLATION_KEY, model)

    def namespace(self, weights_version: int) -> str:
        """Return the text under which replicas with these weights keep and find parts."""
        return f"{self.isolation_key}/{self.model}/{weights_version}"
