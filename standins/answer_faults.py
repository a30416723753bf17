"""Simulate faulty replica software: answers that fail or are slow."""

from __future__ import annotations

import asyncio
import enum
import random


class ReplicaFault(enum.Enum):
    """The kinds of faulty software.

    FAILS and SLOW affect a share of the answers from the start; FAILS_LATE behaves like FAILS
    after a delay.
    """

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"
    FAILS_LATE = "fails_late"


#: Share of the answers that a fault affects.
FAULTY_SHARE = 0.4
#: Delay of a slow answer.
SLOW_ANSWER_DELAY_S = 0.25
#: Time between setting FAILS_LATE and its first failed answer.
LATE_FAULT_DELAY_S = 2.0


class AnswerFaultInjector:
    """Draws at random, from a seed, which answers of one replica are faulty."""

    def __init__(self, seed: str) -> None:
        self._generator = random.Random(seed)
        self._fault = ReplicaFault.NONE
        self._since_s = 0.0
        #: Number of faulty answers so far.
        self.faulty_answers = 0

    def set_fault(self, fault: ReplicaFault) -> None:
        """Apply a fault from now on; NONE ends it."""
        self._fault = fault
        self._since_s = asyncio.get_running_loop().time()

    def draw_fault(self) -> ReplicaFault:
        """Return what happens to the next answer: FAILS, SLOW or NONE."""
        if self._fault is ReplicaFault.NONE:
            return ReplicaFault.NONE
        age_s = asyncio.get_running_loop().time() - self._since_s
        if self._fault is ReplicaFault.FAILS_LATE and age_s < LATE_FAULT_DELAY_S:
            return ReplicaFault.NONE
        if self._generator.random() >= FAULTY_SHARE:
            return ReplicaFault.NONE
        self.faulty_answers += 1
        is_slow = self._fault is ReplicaFault.SLOW
        return ReplicaFault.SLOW if is_slow else ReplicaFault.FAILS
