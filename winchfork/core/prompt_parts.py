"""Prompts as sequences of parts (id and token count), and the namespaces that isolate caches.

The router does not see a prompt's text. The caller lists the parts in order; the last one belongs
to the request or its session, those before it may be shared with other requests.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

_SHARED_ISOLATION_KEY = "-"


def shared_isolation_key(isolated_tenants: Iterable[str]) -> str:
    """Return the isolation key that the tenants share which are not isolated.

    It differs with the isolated ones: a tenant that becomes isolated leaves its cached parts in the
    namespaces that it has shared until then, so the others must not use those any more.
    """
    names = sorted(isolated_tenants)
    if not names:
        return _SHARED_ISOLATION_KEY
    return _SHARED_ISOLATION_KEY + xxhash.xxh3_64_hexdigest("\0".join(names).encode())


class PromptPart(msgspec.Struct, frozen=True):
    """One part: its id and its length in tokens."""

    part_id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """A prompt for ``model``; ``output_tokens`` is the maximum number of generated tokens."""

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
        """The id of the last shared part, or of the only part; requests are grouped by it."""
        if len(self.parts) >= 2:
            return self.parts[-2].part_id
        return self.parts[-1].part_id if self.parts else ""

    @property
    def memory_tokens(self) -> int:
        """The largest number of tokens that the run may hold in a replica's cache memory."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)


class CacheScope(msgspec.Struct, frozen=True):
    """The cache that a prompt may use: one tenant's or the shared one, for one model.

    A namespace combines the scope and the weights version, so that a request cannot refer to cache
    of another isolation key or weights version, in a replica or in a store.
    """

    isolation_key: str
    model: str

    @classmethod
    def for_tenant(
        cls, tenant: str, isolated: bool, model: str, shared_key: str = _SHARED_ISOLATION_KEY
    ) -> CacheScope:
        """Return the tenant's own scope where it is isolated, else the one under ``shared_key``."""
        return cls(f"t.{tenant}" if isolated else shared_key, model)

    def namespace(self, weights_version: int) -> str:
        """Return the namespace of cached parts under this weights version."""
        return f"{self.isolation_key}/{self.model}/{weights_version}"
