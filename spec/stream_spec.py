"""Specification of streams that are continued: no caller gets events of two software versions.

One caller, two routers, one more daemon that holds records, and two versions of a service's
software. The caller takes its stream up again at any router within the deadline of its first
attempt. Versions come and go, the first router and the holder die and lose what they know, records
are lost, and questions to the holder may stay unanswered. The second router's list of replicas may
be old: it reads the store at any time, or not at all.

Checked: the caller never has events of both versions. A router that does not know how a stream
began refuses it; that is a step like any other, so it is also checked that a stream can go on after
the death of the router that began it, by the record and by the only version.

State: time, listed versions, when both were listed last, when the first router started and when it
saw both last, the versions that the second router has listed, whether it has read all changes, and
when it saw both last, what each router and the holder know, events of the caller, time since its
first attempt, the running attempt (router, version, whether it has brought events), attempts so
far, whether the first router died after it had begun the stream.
"""

from __future__ import annotations

import dataclasses

from minicheck import Protocol

State = tuple[int, ...]
Steps = list[tuple[str, State]]
#: Sets of versions are bit masks: version 1 is 1, version 2 is 2, both are 3.
BOTH = 3
VERSIONS = (1, 2)
ROUTERS = (0, 1)
NONE = -1
FIELDS = (
    "time",
    "listed",
    "both_at",
    "started_0",
    "saw_both_0",
    "listed_1",
    "is_current_1",
    "saw_both_1",
    "known_0",
    "known_1",
    "held",
    "events",
    "age",
    "router",
    "version",
    "brought",
    "attempts",
    "first_router_died",
)


@dataclasses.dataclass(frozen=True)
class StreamRules:
    """The protocol's rules; each mutant violates one. Times are in ticks."""

    horizon: int = 3
    max_attempts: int = 2
    #: All attempts of the caller lie within this time from the first one.
    deadline: int = 1
    #: A retry inside an answer that has begun goes to the same version.
    binds_retries: bool = True
    #: A new attempt of the caller goes to the version that is known to have begun the stream.
    binds_attempts: bool = True
    #: A version counts as the only one after it was alone for the deadline, not at once.
    waits_for_history: bool = True
    #: A router counts the time alone from its start on.
    counts_from_start: bool = True
    #: A conclusion needs a list that is current when the attempt has arrived.
    confirms_list: bool = True
    #: The record names the version of the first event, not that of the first sending.
    records_at_first_event: bool = True


def stream_protocol(rules: StreamRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        now = dict(zip(FIELDS, state, strict=True))
        return [
            *_environment_steps(rules, now),
            *_attempt_steps(rules, now),
            *_answer_steps(rules, now),
        ]

    initial = (0, 1, NONE, 0, NONE, 1, 1, NONE, 0, 0, 0, 0, 0, NONE, 0, 0, 0, 0)
    return Protocol(
        name="stream",
        candidate=False,
        fields=FIELDS,
        initial=initial,
        transitions=transitions,
        invariants={"events_of_one_version": lambda state: state["events"] != BOTH},
    )


def _after(now: dict[str, int], **changes: int) -> State:
    return tuple({**now, **changes}[name] for name in FIELDS)


def _environment_steps(rules: StreamRules, now: dict[str, int]) -> Steps:
    steps: Steps = []
    if now["time"] < rules.horizon:
        both = {"both_at": now["time"] + 1, "saw_both_0": now["time"] + 1}
        seen = both if now["listed"] == BOTH else {}
        if now["listed_1"] == BOTH:
            seen = seen | {"saw_both_1": now["time"] + 1}
        age = now["age"] + 1 if now["attempts"] else 0
        steps.append(("tick", _after(now, time=now["time"] + 1, age=age, **seen)))
    for version in VERSIONS:
        listed = now["listed"] ^ version
        if listed:
            both = {"both_at": now["time"], "saw_both_0": now["time"]}
            seen = both if BOTH in (listed, now["listed"]) else {}
            changes = {"listed": listed, "is_current_1": 0} | seen
            steps.append((f"list({listed})", _after(now, **changes)))
    if not now["is_current_1"]:
        changes = {"listed_1": now["listed"], "is_current_1": 1, "saw_both_1": now["both_at"]}
        steps.append(("second router reads the store", _after(now, **changes)))
    steps.append(("first router dies", _after_death(now)))
    if now["held"]:
        steps.append(("holder dies", _after(now, held=0)))
    return steps


def _after_death(now: dict[str, int]) -> State:
    saw_both = now["time"] if now["listed"] == BOTH else NONE
    changes = {"known_0": 0, "started_0": now["time"], "saw_both_0": saw_both}
    if now["router"] == 0:
        changes |= {"router": NONE, "version": 0, "brought": 0}
    if now["events"] and now["known_0"]:
        changes["first_router_died"] = 1
    return _after(now, **changes)


def _attempt_steps(rules: StreamRules, now: dict[str, int]) -> Steps:
    """Return the caller's next attempt at each router, also where it is refused."""
    if (
        now["router"] != NONE
        or now["attempts"] == rules.max_attempts
        or now["age"] > rules.deadline
    ):
        return []
    steps: Steps = []
    for router in ROUTERS:
        refused = _after(now, attempts=now["attempts"] + 1)
        steps.append((f"refuse({router})", refused))
        for version in _allowed(rules, now, router):
            if version & now["listed"] & _listed_at(now, router):
                changes = {"router": router, "version": version, "attempts": now["attempts"] + 1}
                if not rules.records_at_first_event and not now["events"]:
                    changes |= {f"known_{router}": version, "held": version}
                steps.append((f"send({router}, {version})", _after(now, **changes)))
    return steps


def _allowed(rules: StreamRules, now: dict[str, int], router: int) -> set[int]:
    """Return the versions that a router may send an attempt to; the holder may not reply."""
    if not now["events"] or not rules.binds_attempts:
        return set(VERSIONS)
    found = {now[f"known_{router}"], now["held"]} - {0}
    is_confirmed = not router or bool(now["is_current_1"]) or not rules.confirms_list
    listed = _listed_at(now, router)
    if listed != BOTH and is_confirmed and _is_only_for_long(rules, now, router):
        found.add(listed)
    return found


def _listed_at(now: dict[str, int], router: int) -> int:
    """Return the versions that a router has listed; the first one's list is always current."""
    return now["listed_1"] if router else now["listed"]


def _is_only_for_long(rules: StreamRules, now: dict[str, int], router: int) -> bool:
    if not rules.waits_for_history:
        return True
    since = now["saw_both_1"] if router else now["saw_both_0"]
    if rules.counts_from_start and not router:
        since = max(since, now["started_0"])
    return now["time"] - since > rules.deadline


def _answer_steps(rules: StreamRules, now: dict[str, int]) -> Steps:
    router, version = now["router"], now["version"]
    if router == NONE:
        return []
    ended = {"router": NONE, "version": 0, "brought": 0}
    steps: Steps = [("break", _after(now, **ended))]
    changes = {"events": now["events"] | version, "brought": 1}
    if rules.records_at_first_event and not now["brought"]:
        changes[f"known_{router}"] = version
        steps.append(("event, recorded", _after(now, **changes, held=version)))
    steps.append(("event", _after(now, **changes)))
    for other in VERSIONS:
        is_bound = rules.binds_retries and bool(now["events"])
        if other & now["listed"] and (not is_bound or other == version):
            steps.append((f"retry({other})", _after(now, version=other)))
    return steps


WITNESSES = {
    "a_stream_goes_on_after_the_first_router_died": lambda state: bool(
        state["first_router_died"] and state["brought"] and state["attempts"] > 1
    ),
    "a_stream_goes_on_without_a_record": lambda state: bool(
        state["first_router_died"]
        and state["router"] != NONE
        and not state["held"] | state["known_0"] | state["known_1"]
    ),
}

MUTANTS = {
    "retry_at_any_version": StreamRules(binds_retries=False),
    "attempt_at_any_version": StreamRules(binds_attempts=False),
    "only_version_at_once": StreamRules(waits_for_history=False),
    "history_before_the_start": StreamRules(counts_from_start=False),
    "conclusion_by_an_old_list": StreamRules(confirms_list=False),
    "recorded_when_sent": StreamRules(records_at_first_event=False),
}
