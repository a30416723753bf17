"""Whether a new version of a service's software is bad: a sequential test against the old one.

An answer counts against a version if it is a failure of the replica's own, or if it took several
times as long as was to be expected there. Answers of the new version are compared, route by route,
with those of the old one at the same time, since some routes fail often at any replica. A replica
that is worse than all others of its version says something about itself and not about the version,
so the worst replicas are left out.

Two tests use the same counts. The alarm is a cumulative sum of log likelihood ratios that never
falls below zero, so that a version which turns bad late is noticed as soon as one that was bad from
the start. The approval needs the ratio over all answers so far to speak clearly for the version.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Iterable, Mapping

import msgspec

#: A version is bad if the share of its bad answers is this much above that of the old version.
BAD_EXCESS = 0.15
#: Alarm threshold, as a log likelihood ratio. A good version then raises a false alarm about once
#: in exp(10) / 0.1 = 220,000 answers of a route; one with three bad answers in ten is found after
#: some 6 bad ones where nothing else fails, and some 20 where a seventh fails anyway.
ALARM_THRESHOLD = 10.0
#: Approval threshold: a version that is bad passes it with a chance of 0.02.
APPROVAL_THRESHOLD = math.log(0.02)
#: Threshold from which on answers speak for a version, if not clearly: some eight good ones and no
#: bad one where nothing else fails. One with four bad answers in ten gets as far in one of 60.
PROBABLE_THRESHOLD = math.log(0.25)
#: The old version's share of bad answers before any was seen, and how many answers that is worth.
PRIOR_BAD_SHARE = 0.03
PRIOR_ANSWERS = 20.0
#: Shares are kept off 0 and 1, where ratios have no logarithm.
MIN_SHARE = 0.01
MAX_SHARE = 0.95
#: Looks, some hundredths to a fifth of a second apart, over which the old version's latest answers
#: are compared with besides, and the least of them that tell something: when all of a service turns
#: slow or fails, that is no fault of its new version.
COMPARED_CHECKS = 5
MIN_RECENT_ANSWERS = 5
#: Part of a version's replicas that is left out of its evidence, the worst first.
WORST_SHARE = 0.2
#: Fewer replicas than this are all counted: there is nothing to compare them with.
MIN_COMPARED_REPLICAS = 3


class Fault(enum.Enum):
    """What an answer may be counted for, apart from each other."""

    FAILED = "failed"
    SLOW = "slow"


class AnswerCounts(msgspec.Struct):
    """Answers of one route at one replica, or at all replicas of a version."""

    answers: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: AnswerCounts) -> None:
        """Count the other's answers too."""
        self.answers += other.answers
        self.failed += other.failed
        self.slow += other.slow

    def since(self, earlier: AnswerCounts) -> AnswerCounts:
        """Return the answers that have come since an earlier count."""
        return AnswerCounts(
            max(0, self.answers - earlier.answers),
            max(0, self.failed - earlier.failed),
            max(0, self.slow - earlier.slow),
        )

    def count_of(self, fault: Fault) -> int:
        """Return how many answers have one fault."""
        return self.failed if fault is Fault.FAILED else self.slow


#: Counts by route, each named by a hash.
CountsByRoute = Mapping[int, AnswerCounts]


class Evidence(msgspec.Struct, frozen=True):
    """All answers since an order was given: ``old`` by route, ``new`` by replica and route."""

    old: CountsByRoute
    new: Mapping[int, CountsByRoute]

    @property
    def new_answers(self) -> int:
        """Answers of the new version."""
        return sum(counts.answers for routes in self.new.values() for counts in routes.values())

    @property
    def new_bad_answers(self) -> int:
        """Of these, the ones that failed or were slow."""
        routes = [counts for routes in self.new.values() for counts in routes.values()]
        return sum(counts.failed + counts.slow for counts in routes)

    @property
    def all_answers(self) -> int:
        """Answers of both versions."""
        return self.new_answers + sum(counts.answers for counts in self.old.values())


class Alarm(msgspec.Struct, frozen=True):
    """Why a version counts as bad."""

    route: int
    fault: Fault
    answers: int
    bad: int
    expected_share: float


class Assessment(enum.Enum):
    """What all answers so far say of the new version."""

    #: They speak clearly for it, and on no route against it.
    GOOD = "good"
    #: They speak for it, if not clearly, and on no route against it.
    PROBABLE = "probable"
    #: They speak against it on no route, but too few have come.
    INCONCLUSIVE = "open"
    #: On some route a bad version is the likelier one, if not by much.
    SUSPECT = "doubtful"


class VersionTest:
    """The tests of one order. Fed with counts that only grow, some times a second."""

    def __init__(self) -> None:
        self._sums: dict[tuple[int, Fault], float] = {}
        #: Log likelihood ratios of everything so far, each look by what was expected at its time.
        self._ratios: dict[tuple[int, Fault], float] = {}
        self._seen: dict[tuple[int, Fault], tuple[int, int]] = {}
        self._old_seen: dict[int, collections.deque[AnswerCounts]] = {}
        #: Log likelihood ratios of all answers, those of the worst replicas as well.
        self._total_ratios: dict[Fault, float] = dict.fromkeys(Fault, 0.0)

    def evaluate(self, evidence: Evidence, *, compare_latency: bool = True) -> Alarm | None:
        """Take in what is new and return the alarm, if there is one.

        Without ``compares_times`` slow answers are not held against the version: the old one gets
        too few to tell what is slow just now.
        """
        faults = tuple(Fault) if compare_latency else (Fault.FAILED,)
        for fault in faults:
            self._total_ratios[fault] = _total_ratio(evidence, fault)
        for route, counts in new_by_route(evidence).items():
            old = evidence.old.get(route, AnswerCounts())
            lately = self._recent_answers(route, old)
            for fault in faults:
                expected = max(
                    expected_share(old, fault),
                    *(_recent_share(some, fault) for some in lately),
                )
                if self._add(route, fault, counts, expected) >= ALARM_THRESHOLD:
                    return Alarm(route, fault, counts.answers, counts.count_of(fault), expected)
        return None

    def _recent_answers(self, route: int, old: AnswerCounts) -> tuple[AnswerCounts, AnswerCounts]:
        """Return the old version's answers since the last look, and since some looks before."""
        seen = self._old_seen.setdefault(route, collections.deque(maxlen=COMPARED_CHECKS))
        if not seen:
            seen.append(AnswerCounts())
        lately = old.since(seen[-1]), old.since(seen[0])
        seen.append(old.since(AnswerCounts()))
        return lately

    def _add(self, route: int, fault: Fault, new: AnswerCounts, expected: float) -> float:
        key = (route, fault)
        answers, bad = new.answers, new.count_of(fault)
        seen_answers, seen_bad = self._seen.get(key, (0, 0))
        # Another replica may be the worst now, and the counts without it may be lower.
        self._seen[key] = (max(answers, seen_answers), max(bad, seen_bad))
        more_bad = max(0, bad - seen_bad)
        more_good = max(0, answers - seen_answers - more_bad)
        ratio = log_ratio(more_bad, more_good, expected)
        self._sums[key] = max(0.0, self._sums.get(key, 0.0) + ratio)
        self._ratios[key] = self._ratios.get(key, 0.0) + ratio
        return self._sums[key]

    @property
    def assessment(self) -> Assessment:
        """What everything seen so far says of the new version."""
        totals = dict.fromkeys(Fault, 0.0)
        for (_, fault), ratio in self._ratios.items():
            if ratio > 0.0:
                return Assessment.SUSPECT
            totals[fault] += ratio
        if max(totals.values()) <= APPROVAL_THRESHOLD:
            return Assessment.GOOD
        return (
            Assessment.PROBABLE
            if max(self._total_ratios.values()) <= PROBABLE_THRESHOLD
            else Assessment.INCONCLUSIVE
        )


def expected_share(old: AnswerCounts, fault: Fault) -> float:
    """Return the share of bad answers to expect of a version that is no worse than the old one.

    One standard error above what was seen of the old one: with few answers it may be that high.
    """
    answers = old.answers + PRIOR_ANSWERS
    share = (old.count_of(fault) + PRIOR_ANSWERS * PRIOR_BAD_SHARE) / answers
    error = math.sqrt(share * (1.0 - share) / answers)
    return min(MAX_SHARE - BAD_EXCESS, max(MIN_SHARE, share + error))


def _recent_share(recent: AnswerCounts, fault: Fault) -> float:
    if recent.answers < MIN_RECENT_ANSWERS:
        return 0.0
    return min(MAX_SHARE - BAD_EXCESS, recent.count_of(fault) / recent.answers)


def log_ratio(bad: int, good: int, expected: float) -> float:
    """Return how much more likely these answers are from a bad version than from a good one."""
    worse = min(MAX_SHARE, expected + BAD_EXCESS)
    return bad * math.log(worse / expected) + good * math.log((1.0 - worse) / (1.0 - expected))


def new_by_route(evidence: Evidence) -> dict[int, AnswerCounts]:
    """Add the new version's counts up by route, without its worst replicas."""
    return _by_route(_without_worst(evidence.new))


def _total_ratio(evidence: Evidence, fault: Fault) -> float:
    """Return the log likelihood ratio of all of the new version's answers.

    With few answers none is left out, neither the worst replicas' nor, by that, good ones.
    """
    return sum(
        log_ratio(
            counts.count_of(fault),
            counts.answers - counts.count_of(fault),
            expected_share(evidence.old.get(route, AnswerCounts()), fault),
        )
        for route, counts in _by_route(evidence.new.values()).items()
    )


def _by_route(replicas: Iterable[CountsByRoute]) -> dict[int, AnswerCounts]:
    totals: dict[int, AnswerCounts] = {}
    for routes in replicas:
        for route, counts in routes.items():
            totals.setdefault(route, AnswerCounts()).add(counts)
    return totals


def _without_worst(replicas: Mapping[int, CountsByRoute]) -> Iterable[CountsByRoute]:
    left_out = (
        math.ceil(WORST_SHARE * len(replicas)) if len(replicas) >= MIN_COMPARED_REPLICAS else 0
    )
    by_badness = sorted(replicas.items(), key=lambda item: (-_badness(item[1]), item[0]))
    return [routes for _, routes in by_badness[left_out:]]


def _badness(routes: CountsByRoute) -> float:
    """Return the share of bad answers, as if a few good ones had been seen already."""
    answers = sum(counts.answers for counts in routes.values())
    bad = sum(counts.failed + counts.slow for counts in routes.values())
    return bad / (answers + 5.0)
