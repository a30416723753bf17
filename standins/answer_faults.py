"""Faulty software of a replica: which of its answers are spoiled, and how."""

from __future__ import annotations

import asyncio
import enum
import random


class ReplicaFault(enum.Enum):
    """What is wrong with a replica's software."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"
    FAILS_LATE = "fails_late"


#: Part of its answers that a fault spoils, how much longer a slow one takes, in seconds, and how
#: long after it was set a late fault begins.
SPOILED_SHARE = 0.4
SLOWED_S = 0.25
LATE_S = 2.0


class AnswerSpoiler:
    """Draws the spoiled answers of one replica."""

    def __init__(self, seed: str) -> None:
        self._generator = random.Random(seed)
        self._fault = ReplicaFault.NONE
        self._since_s = 0.0
        #: Answers spoiled so far.
        self.spoiled = 0

    def set(self, fault: ReplicaFault) -> None:
        """Make the software faulty from now on."""
        self._fault = fault
        self._since_s = asyncio.get_running_loop().time()

    def draw(self) -> ReplicaFault:
        """Return what happens to the next answer: it fails, is slow, or none of both."""
        if self._fault is ReplicaFault.NONE:
            return ReplicaFault.NONE
        age_s = asyncio.get_running_loop().time() - self._since_s
        if self._fault is ReplicaFault.FAILS_LATE and age_s < LATE_S:
            return ReplicaFault.NONE
        if self._generator.random() >= SPOILED_SHARE:
            return ReplicaFault.NONE
        self.spoiled += 1
        slow = self._fault is ReplicaFault.SLOW
        return ReplicaFault.SLOW if slow else ReplicaFault.FAILS
