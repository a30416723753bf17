"""Rendezvous (highest random weight) hashing: who owns a key among the current members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_RANGE = float(1 << 64)


def rendezvous_score(key: int | str, member: str) -> int:
    """Return the weight of ``member`` for ``key``; the highest weight owns the key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())


def member_hash(member: str) -> int:
    """Return the 64-bit hash of a member's name, for :func:`mixed_order`."""
    return xxhash.xxh3_64_intdigest(member.encode())


def mixed_order(key: int, hashed_member: int) -> float:
    """Return the member's position for ``key`` in [0, 1); the lowest is the first choice.

    ``hashed_member`` comes from :func:`member_hash`. Integer mixing is used instead of hashing text
    because this runs for every candidate of every decision.
    """
    return (((key ^ hashed_member) * _MIX) & _MASK) / _RANGE


def rendezvous_rank(key: int | str, members: Iterable[str]) -> list[str]:
    """Return the members in order of preference for ``key``, the owner first."""
    return sorted(members, key=lambda member: (-rendezvous_score(key, member), member))


def rendezvous_owner(key: int | str, members: Iterable[str]) -> str | None:
    """Return the member that owns ``key``, or None when there are no members."""
    return max(members, key=lambda member: (rendezvous_score(key, member), member), default=None)
