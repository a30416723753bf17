"""The durable record of a service's software rollout and its transitions.

Replicas of one service may run several versions of its software. One version is in force. An
operator's order names a target version, whose replicas are started beside the old ones; traffic
moves to the target in stages, or back. Each stage is written to the platform's store before any
daemon acts on it, so that a restart never finds an earlier stage than the daemons followed. Any
daemon may stop sending requests to the target at any time, without a record.

Rollouts of model weights are separate; see :mod:`winchfork.core.weight_rollout`.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence

import msgspec

#: Number of rejected versions recorded for each service.
MAX_REJECTED_VERSIONS = 16


class SoftwarePhase(enum.Enum):
    """The stage of a service's rollout."""

    #: One version gets all requests.
    STABLE = "settled"
    #: A small share of requests goes to a few replicas of the target.
    TRIAL = "trial"
    #: The share rises in stages, over all replicas of the target.
    MOVING = "moving"
    #: All new requests go to the target; the other versions drain.
    MOVED = "moved"


class RolloutOutcome(enum.Enum):
    """The status of an order as reported to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class StopCause(enum.Enum):
    """Why a target gets no more requests, regardless of the record."""

    #: It was found bad.
    BAD = "bad"
    #: It was not approved and has used up the exposure budget.
    BUDGET_EXHAUSTED = "budget_spent"


class SoftwareOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service to ``target`` within ``duration_s``.

    ``revision`` is that of its store entry and identifies the order.
    """

    service: str
    target: str
    duration_s: float
    revision: int = 0


class SoftwareState(msgspec.Struct, frozen=True):
    """The durable record of one service.

    ``in_force`` is the version that gets the requests that the target does not get. ``share`` is
    the share of the service's requests that may go to the target, on its first ``trial_replicas``
    replicas while the phase is TRIAL. ``elapsed_s`` is the time from the order to the writing of
    this record. ``unapproved``: the target moved without approval because all expected requests
    fitted into the exposure budget.
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
    def targets_version_in_force(self) -> bool:
        """Whether the order's target is the version in force."""
        return self.running and self.target == self.in_force

    def is_earlier_than(self, other: SoftwareState) -> bool:
        """Whether ``other``, a record of the same service, was written after this one."""
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
        """Return the record of a rolled back rollout; ``judged_bad`` records the target as bad."""
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

        An order with the same target continues at the current stage with a new time limit, so that
        the exposure budget is not granted twice. Another target begins a new trial.
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
    """The versions that a request may go to.

    ``fallback`` is used when no replica of ``preferred`` accepts requests; empty: none.
    ``trial_replicas`` is the number of replicas of ``preferred`` that take part; 0: all.
    """

    preferred: str
    fallback: str = ""
    trial_replicas: int = 0


def version_rule(state: SoftwareState, *, on_target: bool) -> VersionRule:
    """Return the versions for a request; ``on_target``: it was selected for the target.

    The target is never the fallback for the version in force, because failing old replicas would
    then push the target over its share.
    """
    if state.phase is SoftwarePhase.MOVED:
        fallback = "" if state.targets_version_in_force else state.in_force
        return VersionRule(state.target, fallback)
    if on_target and state.phase is not SoftwarePhase.STABLE and not state.targets_version_in_force:
        return VersionRule(state.target, state.in_force, state.trial_replicas)
    return VersionRule(state.in_force)


def infer_in_force(accepting: Iterable[str], listed: Iterable[str], target: str = "") -> str:
    """Return the version assumed to be in force without a record; "" if no version is listed.

    It is the version of most accepting replicas, or else of most listed ones. ``target``, the
    target of an order without a record, is excluded.
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
    """Return the hashes of the ``count`` replicas that take part in a trial.

    The result is the same on every daemon that knows the same replicas.
    """
    return frozenset(sorted(hashes)[:count])
