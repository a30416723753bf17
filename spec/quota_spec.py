"""Specification of quota usage reports: totals per start of a daemon, sent as datagrams.

The sender uses units, is killed and restarted, and reports its total since its last start.
Datagrams are lost, duplicated, and delayed over any number of restarts. The receiver counts the
growth of the totals, separately for each start. Mirrors ``UsageTotals`` and ``UsageReceiver`` of
``core/quota_ledger.py``, which remembers at least as many starts as are modelled here. Returned
units and the share of an unknown sender's usage are not modelled.

Checked: the receiver never counts more units than were used, and it has counted the highest total
that it has received of each start.

State: the sender's current start (``life``), its usage since then and its whole usage; the
receiver's known total of each start and its whole count; two messages in flight.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

MAX_STARTS = 3
MAX_USED = 2
NONE = -1
State = tuple[int, ...]
Steps = list[tuple[str, State]]
FIELDS = (
    "life",
    "used",
    "used_in_all",
    "known_0",
    "known_1",
    "known_2",
    "counted",
    "first_life",
    "first_used",
    "second_life",
    "second_used",
)
_SLOTS = ("first", "second")


@dataclasses.dataclass(frozen=True)
class QuotaRules:
    """The protocol's rules; each mutant violates one."""

    #: Messages carry totals, not the usage since the last message.
    sends_totals: bool = True
    #: A total below the known one comes from a delayed message and is ignored.
    ignores_lower_totals: bool = True
    #: A message of one start leaves the known totals of other starts unchanged.
    remembers_starts: bool = True
    #: A new start is counted from zero, not from the total of the previous start.
    counts_new_starts_from_zero: bool = True


def quota_protocol(rules: QuotaRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        now = dict(zip(FIELDS, state, strict=True))
        return _sender_steps(now) + _message_steps(rules, now)

    return Protocol(
        name="quota",
        candidate=False,
        fields=FIELDS,
        initial=(0, 0, 0, 0, 0, 0, 0, NONE, NONE, NONE, NONE),
        transitions=transitions,
        invariants={
            "counts_no_more_than_was_used": _counts_no_more_than_was_used,
            "has_counted_what_it_knows": _has_counted_what_it_knows,
        },
    )


def _counts_no_more_than_was_used(state: dict[str, int]) -> bool:
    return state["counted"] <= state["used_in_all"]


def _has_counted_what_it_knows(state: dict[str, int]) -> bool:
    return state["counted"] == sum(state[_known_key(start)] for start in range(MAX_STARTS))


def _known_key(start: int) -> str:
    return f"known_{start}"


def _with(now: dict[str, int], **changes: int) -> State:
    after = {**now, **changes}
    return tuple(after[field] for field in FIELDS)


def _sender_steps(now: dict[str, int]) -> Steps:
    steps: Steps = []
    if now["used"] < MAX_USED:
        more = {"used": now["used"] + 1, "used_in_all": now["used_in_all"] + 1}
        steps.append(("use", _with(now, **more)))
    if now["life"] < MAX_STARTS - 1:
        steps.append(("restart", _with(now, life=now["life"] + 1, used=0)))
    for slot in _SLOTS:
        if now[f"{slot}_life"] == NONE:
            sent = {f"{slot}_life": now["life"], f"{slot}_used": now["used"]}
            steps.append((f"tell({now['life']}:{now['used']})", _with(now, **sent)))
            break
    return steps


def _message_steps(rules: QuotaRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    for slot in _SLOTS:
        start, used = now[f"{slot}_life"], now[f"{slot}_used"]
        if start == NONE:
            continue
        cleared = {f"{slot}_life": NONE, f"{slot}_used": NONE}
        received = _apply_message(rules, now, start, used)
        steps.append((f"lose({start}:{used})", _with(now, **cleared)))
        steps.append((f"read({start}:{used})", _with(now, **cleared, **received)))
        steps.append((f"read_and_come_again({start}:{used})", _with(now, **received)))
    return steps


def _apply_message(rules: QuotaRules, now: dict[str, int], start: int, used: int) -> dict[str, int]:
    """Return the receiver's changes; mirrors ``UsageReceiver.receive``."""
    known = {_known_key(each): now[_known_key(each)] for each in range(MAX_STARTS)}
    if not rules.remembers_starts:
        known = {key: total if key == _known_key(start) else 0 for key, total in known.items()}
    baseline = known[_known_key(start)]
    if not baseline and start and not rules.counts_new_starts_from_zero:
        baseline = known[_known_key(start - 1)]
    newly_used = used - baseline if rules.sends_totals else used
    if rules.ignores_lower_totals:
        newly_used = max(0, newly_used)
    known[_known_key(start)] = max(known[_known_key(start)], used)
    return {**known, "counted": now["counted"] + newly_used}


MUTANTS = {
    "news_in_place_of_totals": QuotaRules(sends_totals=False),
    "late_totals_take_back": QuotaRules(ignores_lower_totals=False),
    "another_life_is_forgotten": QuotaRules(remembers_starts=False),
    "new_life_counts_from_the_old": QuotaRules(counts_new_starts_from_zero=False),
}
