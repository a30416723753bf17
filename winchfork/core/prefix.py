"""Prompt prefixes as chained block keys.

A key identifies a block together with everything before it: it is a hash over the tenant, the
model, the versions of weights and adapter, the parent key and the block's content. Two prompts
share a key only if they share all of these, so entries never match across tenants or weights
versions. Keys have 64 bits; they are used for placement only, so a collision can cause a poor
placement but not a wrong answer.
"""

from __future__ import annotations

import dataclasses

import xxhash

from winchfork.constants import BLOCK_BYTES, BYTES_PER_TOKEN, FAMILY_DEPTH_BLOCKS

BlockKey = int
_KEY_BYTES = 8


@dataclasses.dataclass(frozen=True)
class CacheScope:
    """The tenant, model and versions that a cached block belongs to."""

    tenant: str
    model: str
    weights_version: int
    adapter_version: int = 0

    def root_key(self) -> BlockKey:
        """Return the parent key of the first block in this scope."""
        return root_key_of(self.salt())

    def salt(self) -> str:
        """Return the scope as unambiguous text; engines include it in their own block hashes."""
        parts = (self.tenant, self.model, str(self.weights_version), str(self.adapter_version))
        return "".join(f"{len(part)}:{part}" for part in parts)


def root_key_of(salt: str) -> BlockKey:
    """Return the parent key of the first block under a scope's salt."""
    return xxhash.xxh3_64_intdigest(salt.encode())


@dataclasses.dataclass(frozen=True)
class PromptPrefix:
    """The chained keys of a prompt's full blocks and its length in tokens."""

    block_keys: tuple[BlockKey, ...]
    prompt_tokens: int

    @property
    def family(self) -> BlockKey:
        """Key that selects the owner daemon; 0 for prompts shorter than one block."""
        if not self.block_keys:
            return 0
        return self.block_keys[min(FAMILY_DEPTH_BLOCKS, len(self.block_keys)) - 1]


def count_tokens(data: bytes) -> int:
    """Estimate the number of tokens in ``data`` from its length in bytes."""
    return -(-len(data) // BYTES_PER_TOKEN)


def chain_key(parent: BlockKey, block: bytes) -> BlockKey:
    """Return the key of ``block`` under ``parent``."""
    return xxhash.xxh3_64_intdigest(parent.to_bytes(_KEY_BYTES, "big") + block)


def chain_prompt(root: BlockKey, prompt: bytes) -> tuple[BlockKey, ...]:
    """Return the chained keys of the full blocks of ``prompt``; a partial last block has none."""
    keys: list[BlockKey] = []
    parent = root
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        parent = chain_key(parent, prompt[start : start + BLOCK_BYTES])
        keys.append(parent)
    return tuple(keys)


def prompt_prefix(scope: CacheScope, prompt: bytes) -> PromptPrefix:
    """Split ``prompt`` into full blocks and chain their keys under ``scope``."""
    return PromptPrefix(chain_prompt(scope.root_key(), prompt), count_tokens(prompt))
