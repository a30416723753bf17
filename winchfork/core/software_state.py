"""How far the rollout of a service's software has come: the durable record and its rules.

Replicas of one service may run several versions of its software. One version is in force. An
operator's order names another, the target, whose replicas are started beside the old ones; traffic
moves to it in stages, or back. Each stage is written to the platform's store before any daemon acts
on it, so that what a daemon knows is never ahead of what a restart would find. Stopping the target
needs no such agreement: any daemon may, at any time, send it nothing.

Not to be confused with rollouts of model weights, which replicas load in place.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence

import msgspec

#: Versions that were judged bad and are remembered for each service.
MAX_REJECTED_VERSIONS = 16


class SoftwarePhase(enum.Enum):
    """The stage of a service's rollout."""

    #: One version gets everything.
    STABLE = "settled"
    #: A small share of requests goes to a few replicas of the target.
    TRIAL = "trial"
    #: The share rises, and every replica of the target takes part.
    MOVING = "moving"
    #: Everything new goes to the target; the other versions finish what they have.
    MOVED = "moved"


class RolloutOutcome(enum.Enum):
    """How an order stands, as operators are told."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class StopCause(enum.Enum):
    """Why a target gets nothing more, whatever the record says."""

    #: It was found bad.
    BAD = "bad"
    #: It was not approved, and has got what a bad version may get.
    BUDGET_EXHAUSTED = "budget_spent"


class SoftwareOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service to ``target`` within ``duration_s``.

    ``revision`` is that of its entry in the store and tells one order from the next.
    """

    service: str
    target: str
    duration_s: float
    revision: int = 0


class SoftwareState(msgspec.Struct, frozen=True):
    """The durable record of one service.

    ``in_force`` is the version that gets what the target does not. ``share`` is the part of the
    service's requests that may go to the target, on its first ``trial_replicas`` replicas while the
    phase is TRIAL. ``elapsed_s`` is how long ago the order was given when this was written.
    ``unapproved``: the target has moved on since all that was expected fitted into the budget.
    """

    service: str
    in_force: str
    phase: SoftwarePhase = SoftwarePhase.STABLE
    target: str = ""
    share: float = 0.0
    trial_replicas: int = 0
    order_revision: int = 0
    duration_s: float = 0.0
    elapsed_s: float = 0.0
    outcome: RolloutOutcome = RolloutOutcome.COMPLETED
    judged_bad: tuple[str, ...] = ()
    unapproved: bool = False

    @property
    def running(self) -> bool:
        """Whether an order is being carried out."""
        return self.phase is not SoftwarePhase.STABLE

    @property
    def returning(self) -> bool:
        """Whether the order says to stay at, or go back to, the version in force."""
        return self.running and self.target == self.in_force

    def is_earlier_than(self, other: SoftwareState) -> bool:
        """Whether another record of the same service was written after this one."""
        own_age = (self.order_revision, self.elapsed_s)
        return own_age < (other.order_revision, other.elapsed_s)

    def advanced(
        self, phase: SoftwarePhase, share: float, elapsed_s: float, trial_replicas: int = 0
    ) -> SoftwareState:
        """Return the record of a later stage of the same order."""
        return msgspec.structs.replace(
            self, phase=phase, share=share, elapsed_s=elapsed_s, trial_replicas=trial_replicas
        )

    def completed(self) -> SoftwareState:
        """Return the record of a rollout whose target is in force."""
        return msgspec.structs.replace(
            self,
            in_force=self.target,
            phase=SoftwarePhase.STABLE,
            share=0.0,
            trial_replicas=0,
            outcome=RolloutOutcome.COMPLETED,
        )

    def rolled_back(self, *, judged_bad: bool) -> SoftwareState:
        """Return the record of a rollout that was given up; a bad target is remembered as such."""
        bad = (*self.judged_bad, self.target) if judged_bad else self.judged_bad
        return msgspec.structs.replace(
            self,
            phase=SoftwarePhase.STABLE,
            share=0.0,
            trial_replicas=0,
            outcome=RolloutOutcome.ROLLED_BACK,
            judged_bad=bad[-MAX_REJECTED_VERSIONS:],
        )

    def with_order(self, order: SoftwareOrder) -> SoftwareState:
        """Return the record with a new order.

        The same target once more goes on where it is, with a new time limit: what it has been given
        is not given again. Another target begins from nothing.
        """
        known = msgspec.structs.replace(
            self,
            order_revision=order.revision,
            duration_s=order.duration_s,
            elapsed_s=0.0,
            outcome=RolloutOutcome.RUNNING,
        )
        if self.running and order.target == self.target:
            return known
        return msgspec.structs.replace(
            known,
            target=order.target,
            phase=SoftwarePhase.TRIAL,
            share=0.0,
            trial_replicas=0,
            unapproved=False,
        )


class VersionRule(msgspec.Struct, frozen=True):
    """Which versions a request may go to: ``first``, and ``otherwise`` when none of it takes work.

    ``otherwise`` is empty where there is no second choice. ``trial_replicas`` bounds how many
    replicas of ``first`` take part; 0: all.
    """

    preferred: str
    fallback: str = ""
    trial_replicas: int = 0


def version_rule(state: SoftwareState, *, on_target: bool) -> VersionRule:
    """Return where a request goes; ``on_target`` if it is one of those that go to the target.

    The version in force never hands a request on to the target: that would exceed the share when
    the old replicas fail, however little is known of the new ones.
    """
    if state.phase is SoftwarePhase.MOVED:
        fallback = "" if state.returning else state.in_force
        return VersionRule(state.target, fallback)
    if on_target and state.phase is not SoftwarePhase.STABLE and not state.returning:
        return VersionRule(state.target, state.in_force, state.trial_replicas)
    return VersionRule(state.in_force)


def infer_in_force(accepting: Iterable[str], listed: Iterable[str], target: str = "") -> str:
    """Return the version that is in force where no record says so; "" where none is listed.

    That is the one of most replicas. The target of an order that no record mentions yet is not.
    """
    for versions in (accepting, listed):
        counts: dict[str, int] = {}
        for version in versions:
            if version != target:
                counts[version] = counts.get(version, 0) + 1
        if counts:
            return min(counts, key=lambda version: (-counts[version], version))
    return ""


def select_trial_replicas(hashes: Sequence[int], count: int) -> frozenset[int]:
    """Return the replicas, by the hash of their ids, that take part in a trial of ``count``.

    The same on every daemon that knows the same replicas.
    """
    return frozenset(sorted(hashes)[:count])
