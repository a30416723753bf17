"""Specification of beliefs that age: nothing is done on one that has outlived its bound.

A belief (a lease, a proof, a bound on replaced weights) is renewed, grows old, and is acted on
while it is younger than its holder may rely on it. Others take it for over at a larger age, by true
time. The holder's machine may be suspended at any moment, for any time; whether its clock counts
that is the rule under check.

State: (true age, age by the holder's clock, outlived). Ages in ticks.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

State = tuple[int, int, int]
Steps = list[tuple[str, State]]


@dataclasses.dataclass(frozen=True)
class SuspensionRules:
    """The rules under check; the mutants change one each."""

    horizon: int = 8
    #: Age up to which the holder acts, and from which others take the belief for over.
    max_action_age: int = 2
    expires_at_age: int = 4
    counts_suspension: bool = True


def suspension_protocol(rules: SuspensionRules) -> Protocol:
    """Build the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        age, seen, outlived = state
        steps: Steps = []
        if age < rules.horizon:
            steps.append(("tick", (age + 1, seen + 1, outlived)))
        for ticks in range(1, rules.horizon - age + 1):
            slept = seen + ticks if rules.counts_suspension else seen
            steps.append((f"sleep({ticks})", (age + ticks, slept, outlived)))
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
