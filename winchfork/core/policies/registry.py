"""Placement policies by name."""

from __future__ import annotations

import random

from winchfork.core.placement import PlacementPolicy, PolicyFactory
from winchfork.core.policies.expected_time import ExpectedTime
from winchfork.core.policies.least_loaded import LeastLoaded, PowerOfTwo
from winchfork.core.policies.local_tree import LocalTree
from winchfork.core.policies.rendezvous import BoundedRendezvous, Rendezvous
from winchfork.core.policies.round_robin import RoundRobin
from winchfork.errors import Failure, FailureKind

DEFAULT_POLICY = "expected-time"

POLICIES: dict[str, PolicyFactory] = {
    "round-robin": lambda generator: RoundRobin(),
    "least-loaded": lambda generator: LeastLoaded(),
    "power-of-two": PowerOfTwo,
    "rendezvous": lambda generator: Rendezvous(),
    "bounded-rendezvous": lambda generator: BoundedRendezvous(),
    "local-tree": lambda generator: LocalTree(),
    DEFAULT_POLICY: lambda generator: ExpectedTime(),
}


def make_policy(name: str, generator: random.Random) -> PlacementPolicy | Failure:
    """Build the policy called ``name``; a failure if there is none."""
    factory = POLICIES.get(name)
    if factory is None:
        known = ", ".join(sorted(POLICIES))
        return FailureKind.INVALID_REQUEST.because(
            f"unknown placement policy {name!r}", remedy=f"use one of: {known}"
        )
    return factory(generator)
