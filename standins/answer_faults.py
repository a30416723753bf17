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
FAULTY_SHARE = 0.4
SLOW_ANSWER_DELAY_S = 0.25
LATE_FAULT_DELAY_S = 2.0


class AnswerFaultInjector:
    """Draws the spoiled answers of one replica."""

    def __init__(self, seed: str) -> None:
        self._generator = random.Random(seed)
        self._fault = ReplicaFault.NONE
        self._since_s = 0.0
        #: Answers spoiled so far.
        self.faulty_answers = 0

    def set_fault(self, fault: ReplicaFault) -> None:
        """Make the software faulty from now on."""
        self._fault = fault
        self._since_s = asyncio.get_running_loop().time()

    def draw_fault(self) -> ReplicaFault:
        """Return what happens to the next answer: it fails, is slow, or none of both."""
        if self._fault is ReplicaFault.NONE:
            return ReplicaFault.NONE
        age_s = asyncio.get_running_loop().time() - self._since_s
        if self._fault is ReplicaFault.FAILS_LATE and age_s < LATE_FAULT_DELAY_S:
            return ReplicaFault.NONE
        if self._generator.random() >= FAULTY_SHARE:
            return ReplicaFault.NONE
        self.faulty_answers += 1
        slow = self._fault is ReplicaFault.SLOW
        return ReplicaFault.SLOW if slow else ReplicaFault.FAILS
