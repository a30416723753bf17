"""Specification of grants that expire: no holder acts on an expired grant after a suspension.

A grant (a lease, a proof, a bound on replaced weights) is renewed and ages. Its holder acts on it
below a maximum age on its own clock; others treat it as expired from a higher age on, in true time.
The holder's machine may be suspended at any time, for any duration; the rule under check is that
its clock counts this time.

State: (true age, age on the holder's clock, acted after expiry). Ages are in ticks.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

State = tuple[int, int, int]
Steps = list[tuple[str, State]]


@dataclasses.dataclass(frozen=True)
class SuspensionRules:
    """The protocol's rules; each mutant violates one. Ages are in ticks."""

    horizon: int = 8
    #: Age below which the holder acts, and age from which others treat the grant as expired.
    max_action_age: int = 2
    expires_at_age: int = 4
    counts_suspension: bool = True


def suspension_protocol(rules: SuspensionRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        age, seen, outlived = state
        steps: Steps = []
        if age < rules.horizon:
            steps.append(("tick", (age + 1, seen + 1, outlived)))
        for ticks in range(1, rules.horizon - age + 1):
            seen_after = seen + ticks if rules.counts_suspension else seen
            steps.append((f"sleep({ticks})", (age + ticks, seen_after, outlived)))
        if age < rules.expires_at_age:
            steps.append(("renew", (0, 0, outlived)))
        if seen < rules.max_action_age:
            steps.append(("act", (age, seen, 1 if age >= rules.expires_at_age else outlived)))
        return steps

    return Protocol(
        name="suspension",
        candidate=False,
        fields=("age", "seen", "outlived"),
        initial=(0, 0, 0),
        transitions=transitions,
        invariants={"nothing_done_on_an_outlived_belief": lambda state: not state["outlived"]},
    )


MUTANTS = {
    "clock_stands_still_asleep": SuspensionRules(counts_suspension=False),
    "holder_relies_as_long_as_others": SuspensionRules(max_action_age=5),
}
