"""Specification of how use of a quota is told: totals since a start, over datagrams.

One daemon uses units, is killed and starts anew, and tells its totals; datagrams are lost, late by
any number of lives, and come twice. Another daemon counts what is news, for each life by itself.
Mirrors ``UseTotals`` and ``UseReader`` of ``core/quota_book.py``, which remembers as many lives as
are modelled here and one more.

Claims: it never counts more than was used, and it has counted the newest total of each life that it
has read.

State: the sender's life and its use in it, all use; the receiver's known total of each life and
what it has counted in all; two messages under way.
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
    """The rules under check; the mutants change one each."""

    #: Totals are told, not what was used since the last message.
    sends_totals: bool = True
    #: A total below the one that is known is late, and brings nothing.
    ignores_lower_totals: bool = True
    #: What is known of other lives stays when a message of another life is read.
    remembers_starts: bool = True
    #: A new life is counted from nothing, not from the total of the life before.
    counts_new_starts_from_zero: bool = True


def quota_protocol(rules: QuotaRules) -> Protocol:
    """Build the protocol for minicheck."""

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
    return state["counted"] == sum(state[_known_key(life)] for life in range(MAX_STARTS))


def _known_key(life: int) -> str:
    return f"known_{life}"


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
            told = {f"{slot}_life": now["life"], f"{slot}_used": now["used"]}
            steps.append((f"tell({now['life']}:{now['used']})", _with(now, **told)))
            break
    return steps


def _message_steps(rules: QuotaRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    for slot in _SLOTS:
        life, used = now[f"{slot}_life"], now[f"{slot}_used"]
        if life == NONE:
            continue
        gone = {f"{slot}_life": NONE, f"{slot}_used": NONE}
        read = _apply_message(rules, now, life, used)
        steps.append((f"lose({life}:{used})", _with(now, **gone)))
        steps.append((f"read({life}:{used})", _with(now, **gone, **read)))
        steps.append((f"read_and_come_again({life}:{used})", _with(now, **read)))
    return steps


def _apply_message(rules: QuotaRules, now: dict[str, int], life: int, used: int) -> dict[str, int]:
    """Mirror of ``UseReader.read``."""
    known = {_known_key(each): now[_known_key(each)] for each in range(MAX_STARTS)}
    if not rules.remembers_starts:
        known = {key: total if key == _known_key(life) else 0 for key, total in known.items()}
    start = known[_known_key(life)]
    if not start and life and not rules.counts_new_starts_from_zero:
        start = known[_known_key(life - 1)]
    newly_used = used - start if rules.sends_totals else used
    if rules.ignores_lower_totals:
        newly_used = max(0, newly_used)
    known[_known_key(life)] = max(known[_known_key(life)], used)
    return {**known, "counted": now["counted"] + newly_used}


MUTANTS = {
    "news_in_place_of_totals": QuotaRules(sends_totals=False),
    "late_totals_take_back": QuotaRules(ignores_lower_totals=False),
    "another_life_is_forgotten": QuotaRules(remembers_starts=False),
    "new_life_counts_from_the_old": QuotaRules(counts_new_starts_from_zero=False),
}
