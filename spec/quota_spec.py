"""Specification of how use of a quota is told: totals since a start, over datagrams.

One daemon uses units, is killed and starts anew, and tells its totals; datagrams are lost, late and
come twice, but none outlives the life after its own. Another daemon counts what is news. Mirrors
``UseTotals`` and ``UseReader`` of ``core/quota_book.py``.

Claims: it never counts more than was used, and once it has read the newest total of a life it has
counted all that was used in that life.

State: the sender's life and its use in it, all use; the receiver's known life and total, the life
before, what it has counted in all and in the known life; two messages under way.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

MOST_LIVES = 3
MOST_USED = 2
NONE = -1
State = tuple[int, ...]
Steps = list[tuple[str, State]]
FIELDS = (
    "life",
    "used",
    "used_in_all",
    "known_life",
    "known_used",
    "life_before",
    "counted",
    "counted_in_life",
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
    tells_totals: bool = True
    #: A total below the one that is known is late, and brings nothing.
    ignores_lower_totals: bool = True
    #: A message of the life before the known one is late, and brings nothing.
    ignores_life_before: bool = True
    #: A new life is counted from nothing, not from the total of the life before.
    starts_new_lives_at_zero: bool = True


def quota_protocol(rules: QuotaRules) -> Protocol:
    """Build the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        now = dict(zip(FIELDS, state, strict=True))
        return _sender_steps(now) + _message_steps(rules, now)

    return Protocol(
        name="quota",
        candidate=False,
        fields=FIELDS,
        initial=(0, 0, 0, 0, 0, NONE, 0, 0, NONE, NONE, NONE, NONE),
        transitions=transitions,
        invariants={
            "counts_no_more_than_was_used": _counts_no_more_than_was_used,
            "has_counted_what_it_knows": _has_counted_what_it_knows,
        },
    )


def _counts_no_more_than_was_used(state: dict[str, int]) -> bool:
    return state["counted"] <= state["used_in_all"]


def _has_counted_what_it_knows(state: dict[str, int]) -> bool:
    return state["counted_in_life"] == state["known_used"]


def _with(now: dict[str, int], **changes: int) -> State:
    after = {**now, **changes}
    return tuple(after[field] for field in FIELDS)


def _sender_steps(now: dict[str, int]) -> Steps:
    steps: Steps = []
    if now["used"] < MOST_USED:
        more = {"used": now["used"] + 1, "used_in_all": now["used_in_all"] + 1}
        steps.append(("use", _with(now, **more)))
    if now["life"] < MOST_LIVES - 1:
        steps.append(("restart", _with(now, life=now["life"] + 1, used=0, **_outlived(now))))
    for slot in _SLOTS:
        if now[f"{slot}_life"] == NONE:
            told = {f"{slot}_life": now["life"], f"{slot}_used": now["used"]}
            steps.append((f"tell({now['life']}:{now['used']})", _with(now, **told)))
            break
    return steps


def _outlived(now: dict[str, int]) -> dict[str, int]:
    """Messages of the life before this one are gone by the time of the next start."""
    gone: dict[str, int] = {}
    for slot in _SLOTS:
        if now[f"{slot}_life"] < now["life"]:
            gone |= {f"{slot}_life": NONE, f"{slot}_used": NONE}
    return gone


def _message_steps(rules: QuotaRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    for slot in _SLOTS:
        life, used = now[f"{slot}_life"], now[f"{slot}_used"]
        if life == NONE:
            continue
        gone = {f"{slot}_life": NONE, f"{slot}_used": NONE}
        read = _read(rules, now, life, used)
        steps.append((f"lose({life}:{used})", _with(now, **gone)))
        steps.append((f"read({life}:{used})", _with(now, **gone, **read)))
        steps.append((f"read_and_come_again({life}:{used})", _with(now, **read)))
    return steps


def _read(rules: QuotaRules, now: dict[str, int], life: int, used: int) -> dict[str, int]:
    """Mirror of ``UseReader.read``."""
    known = {key: now[key] for key in ("known_life", "known_used", "life_before")}
    in_life = now["counted_in_life"]
    if life == known["life_before"] and rules.ignores_life_before:
        return {}
    if life != known["known_life"]:
        start = 0 if rules.starts_new_lives_at_zero else known["known_used"]
        known = {"known_life": life, "known_used": start, "life_before": now["known_life"]}
        in_life = 0
    news = used if not rules.tells_totals else used - known["known_used"]
    if rules.ignores_lower_totals or not rules.tells_totals:
        news = max(0, news)
    known["known_used"] = max(known["known_used"], used)
    return {**known, "counted": now["counted"] + news, "counted_in_life": in_life + news}


MUTANTS = {
    "news_in_place_of_totals": QuotaRules(tells_totals=False),
    "late_totals_take_back": QuotaRules(ignores_lower_totals=False),
    "life_before_counts_again": QuotaRules(ignores_life_before=False),
    "new_life_counts_from_the_old": QuotaRules(starts_new_lives_at_zero=False),
}
