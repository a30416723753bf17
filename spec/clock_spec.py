"""Specification of a voter's authority: a vote that a restart lost is never contradicted.

The model has one voter and one key. The voter restarts, or is replaced, any number of times, and
the clock of each incarnation is ahead of true time by up to ``skew`` ticks. A panel change uses the
same arithmetic: the start of the new voters is the activation time on the changer's clock.

State: (time, the key's stamp, clock offset, start, voted in this incarnation, voted in an earlier
one, contradicted).
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

LONG_AGO = -100
State = tuple[int, int, int, int, int, int, int]
Steps = list[tuple[str, State]]


@dataclasses.dataclass(frozen=True)
class ClockRules:
    """The protocol's rules; each mutant violates one. Times are in ticks."""

    horizon: int = 6
    skew: int = 1
    future_margin: int = 1
    restart_margin: int = 2
    checks_future: bool = True


def has_authority(rules: ClockRules, stamp: int, clock: int, start: int) -> bool:
    """Return whether the voter may vote; mirrors ``ClaimVoter._has_authority``."""
    from_future = rules.checks_future and stamp > clock + rules.future_margin
    return not from_future and stamp > start + rules.restart_margin


def clock_protocol(rules: ClockRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        time, stamp, offset, start, voted, before, bad = state
        steps: Steps = []
        if stamp < 0:
            return [
                (f"issue(stamp={value})", (time, value, offset, start, voted, before, bad))
                for value in range(rules.horizon + 1)
            ]
        if time < rules.horizon:
            steps.append(("tick", (time + 1, stamp, offset, start, voted, before, bad)))
        if has_authority(rules, stamp, time + offset, start):
            contradicts = 1 if before else bad
            steps.append(("vote", (time, stamp, offset, start, 1, before, contradicts)))
        for new_offset in range(rules.skew + 1):
            new_start = time + new_offset
            earlier = max(before, voted)
            steps.append(
                (
                    f"restart(offset={new_offset})",
                    (time, stamp, new_offset, new_start, 0, earlier, bad),
                )
            )
        return steps

    return Protocol(
        name="clock",
        candidate=False,
        fields=("time", "stamp", "offset", "start", "voted", "before", "bad"),
        initial=(0, -1, 0, LONG_AGO, 0, 0, 0),
        transitions=transitions,
        invariants={"votes_never_contradicted": lambda state: not state["bad"]},
    )


MUTANTS = {
    "no_skew_margin": ClockRules(restart_margin=1),
    "no_future_check": ClockRules(checks_future=False),
}
