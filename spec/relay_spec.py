"""Specification of relayed store entries and of the proofs that they are current.

The model has a store with changes, a hub that reads it, and a follower that receives the changes
from the hub only. Updates and answers are lost or delayed. Each read of the hub is atomic. One
clock models all daemons: ages are measured on each daemon's own clock, and only the rates of these
clocks have to agree.

Checked: a follower that claims to know everything up to revision R knows it, and one that claims to
have been current at time P knows every change written before P.

State: time, store revision, times of the changes, revision and proof of the hub, revision, entries
and proof of the follower, a question, an answer and two updates in flight.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

#: Number of changes to the store.
CHANGES = 2
#: An unset time or revision.
NONE = -1
LONG_AGO = -9
State = tuple[int, ...]
Steps = list[tuple[str, State]]
FIELDS = (
    "time",
    "revision",
    "changed_1",
    "changed_2",
    "hub_revision",
    "hub_proof",
    "known_revision",
    "entries",
    "proof",
    "asked",
    "answer_revision",
    "answer_age",
    "answer_asked",
    "first_base",
    "first_at",
    "second_base",
    "second_at",
)


@dataclasses.dataclass(frozen=True)
class RelayRules:
    """The protocol's rules; each mutant violates one. ``horizon`` is in ticks."""

    horizon: int = 4
    #: A proof is dated from the question, not from the receipt of its answer.
    dated_from_question: bool = True
    #: A proof counts only for a follower that knows everything up to the prover's revision.
    checks_revision: bool = True
    #: An update whose base is unknown installs its entries, but does not raise the revision.
    checks_base: bool = True


def relay_protocol(rules: RelayRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        now = dict(zip(FIELDS, state, strict=True))
        steps = _store_steps(rules, now)
        steps += _question_steps(rules, now)
        steps += _update_steps(rules, now)
        return steps

    initial = (0, 0, NONE, NONE, 0, LONG_AGO, 0, 0, LONG_AGO) + (NONE,) * 8
    return Protocol(
        name="relay",
        candidate=False,
        fields=FIELDS,
        initial=initial,
        transitions=transitions,
        invariants={
            "knows_what_it_says": _knows_what_it_says,
            "current_when_it_says": _current_when_it_says,
        },
    )


def _knows_what_it_says(state: dict[str, int]) -> bool:
    needed = range(1, state["known_revision"] + 1)
    return all(state["entries"] & (1 << number) for number in needed)


def _current_when_it_says(state: dict[str, int]) -> bool:
    """Return whether every change written before the time of the proof is known."""
    for number in range(1, state["revision"] + 1):
        written = state[f"changed_{number}"]
        if written < state["proof"] and not state["entries"] & (1 << number):
            return False
    return True


def _with(now: dict[str, int], **changes: int) -> State:
    after = {**now, **changes}
    return tuple(after[field] for field in FIELDS)


def _store_steps(rules: RelayRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    if now["time"] < rules.horizon:
        steps.append(("tick", _with(now, time=now["time"] + 1)))
    if now["revision"] < CHANGES:
        number = now["revision"] + 1
        changed = {f"changed_{number}": now["time"]}
        steps.append((f"write({number})", _with(now, revision=number, **changed)))
    read = {"hub_revision": now["revision"], "hub_proof": now["time"]}
    pushed = _enqueue_update(now, now["hub_revision"], now["revision"])
    if pushed is not None and now["revision"] > now["hub_revision"]:
        steps.append(("hub_reads_and_pushes", _with(now, **read, **pushed)))
    if now["hub_proof"] != now["time"]:
        steps.append(("hub_reads", _with(now, **read)))
    return steps


def _question_steps(rules: RelayRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    if now["asked"] == NONE and now["answer_asked"] == NONE:
        steps.append(("ask", _with(now, asked=now["time"])))
    if now["asked"] != NONE and now["hub_proof"] != LONG_AGO:
        answer = {
            "answer_revision": now["hub_revision"],
            "answer_age": now["time"] - now["hub_proof"],
            "answer_asked": now["asked"],
        }
        steps.append(("hub_answers", _with(now, asked=NONE, **answer)))
    if now["answer_asked"] != NONE:
        steps.append(("read_answer", _read_answer(rules, now)))
    return steps


def _read_answer(rules: RelayRules, now: dict[str, int]) -> State:
    """Return the state after the follower has processed an answer.

    Mirrors ``PeerGroup._handle_proof`` and ``DocumentRelay.handle_position``.
    """
    cleared = {"answer_revision": NONE, "answer_age": NONE, "answer_asked": NONE}
    if rules.checks_revision and now["answer_revision"] > now["known_revision"]:
        pulled = _enqueue_update(now, now["known_revision"], now["hub_revision"])
        return _with(now, **cleared, **(pulled or {}))
    base = now["answer_asked"] if rules.dated_from_question else now["time"]
    return _with(now, **cleared, proof=max(now["proof"], base - now["answer_age"]))


def _update_steps(rules: RelayRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    for slot in ("first", "second"):
        base, at = now[f"{slot}_base"], now[f"{slot}_at"]
        if at == NONE:
            continue
        cleared = {f"{slot}_base": NONE, f"{slot}_at": NONE}
        steps.append((f"lose({base}..{at})", _with(now, **cleared)))
        steps.append(
            (f"take({base}..{at})", _with(now, **cleared, **_apply_update(rules, now, base, at)))
        )
    return steps


def _apply_update(rules: RelayRules, now: dict[str, int], base: int, at: int) -> dict[str, int]:
    """Return the follower's changes; mirrors ``StoreSync.install_update``."""
    entries = now["entries"]
    for number in range(base + 1, at + 1):
        entries |= 1 << number
    advances = not rules.checks_base or base <= now["known_revision"]
    known = max(now["known_revision"], at) if advances else now["known_revision"]
    return {"entries": entries, "known_revision": known}


def _enqueue_update(now: dict[str, int], base: int, at: int) -> dict[str, int] | None:
    """Put an update in flight; return None if two already are."""
    for slot in ("first", "second"):
        if now[f"{slot}_at"] == NONE:
            return {f"{slot}_base": base, f"{slot}_at": at}
    return None


MUTANTS = {
    "proof_dated_by_arrival": RelayRules(dated_from_question=False),
    "proof_of_unknown_entries": RelayRules(checks_revision=False),
    "gap_is_not_seen": RelayRules(checks_base=False),
}
