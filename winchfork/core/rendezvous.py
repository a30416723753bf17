"""Rendezvous (highest random weight) hashing: who owns a key among the current members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: int | str, member: str) -> int:
    """Return the weight of ``member`` for ``key``; the highest weight owns the key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def rendezvous_rank(key: int | str, members: Iterable[str]) -> list[str]:
    """Return the members from the first choice for ``key`` to the last."""
    return sorted(members, key=lambda member: (-rendezvous_score(key, member), member))


def rendezvous_owner(key: int | str, members: Iterable[str]) -> str | None:
    """Return the member that owns ``key``, or None when there are no members."""
    return max(members, key=lambda member: (rendezvous_score(key, member), member), default=None)
