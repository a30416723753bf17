"""A sequential probability-ratio test of a new software version against the old one.

An answer is bad if the replica failed or took several times the expected time. Bad answers of the
new version are compared with those of the old version for each route, since failure rates differ
between routes. The worst replicas of the new version are excluded, because a single faulty replica
is no evidence against its version.

Two tests use the same counts. The alarm is a cumulative sum (CUSUM) of log likelihood ratios that
is bounded below by zero, so that a version which turns bad late is found as fast as one that was
bad from the start. The approval uses the log likelihood ratio of all answers so far.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Iterable, Mapping

import msgspec

#: A version is bad if its share of bad answers exceeds the old version's by this much.
BAD_EXCESS = 0.15
#: Log likelihood ratio at which a route raises the alarm. A good version raises a false one about
#: once in 220,000 answers of a route; three bad answers in ten are found after some 6 bad ones
#: where no others fail.
ALARM_THRESHOLD = 10.0
#: Log likelihood ratio at or below which a version is approved; bounds the chance of approving a
#: bad version to 0.02.
APPROVAL_THRESHOLD = math.log(0.02)
#: Log likelihood ratio at or below which a version is probably good: some eight good answers and no
#: bad one, where no others fail. A version with four bad answers in ten gets as far in one case of
#: 60.
PROBABLE_THRESHOLD = math.log(0.25)
#: Prior estimate of the old version's share of bad answers.
PRIOR_BAD_SHARE = 0.03
#: Weight of that prior, in answers.
PRIOR_ANSWERS = 20.0
#: Bounds on the shares, which keep the logarithms finite.
MIN_SHARE = 0.01
MAX_SHARE = 0.95
#: Number of recent evaluations over which the old version's recent share of bad answers is taken.
#: When all of a service turns slow or fails, that is no evidence against its new version.
COMPARED_CHECKS = 5
#: Smallest number of the old version's recent answers from which such a share is computed.
MIN_RECENT_ANSWERS = 5
#: Share of the new version's replicas that is excluded, worst first.
WORST_SHARE = 0.2
#: Smallest number of replicas at which the worst are excluded; of fewer, all count.
MIN_COMPARED_REPLICAS = 3


class Fault(enum.Enum):
    """The kinds of bad answers, which are tested separately."""

    FAILED = "failed"
    SLOW = "slow"


class AnswerCounts(msgspec.Struct):
    """Answers of one route at one replica, or at all replicas of a version."""

    answers: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: AnswerCounts) -> None:
        """Add the other's counts to these."""
        self.answers += other.answers
        self.failed += other.failed
        self.slow += other.slow

    def since(self, earlier: AnswerCounts) -> AnswerCounts:
        """Return the counts since ``earlier``, at least 0 each."""
        return AnswerCounts(
            max(0, self.answers - earlier.answers),
            max(0, self.failed - earlier.failed),
            max(0, self.slow - earlier.slow),
        )

    def count_of(self, fault: Fault) -> int:
        """Return the number of answers with ``fault``."""
        return self.failed if fault is Fault.FAILED else self.slow


#: Counts by the hash of the route.
CountsByRoute = Mapping[int, AnswerCounts]


class Evidence(msgspec.Struct, frozen=True):
    """All answers since an order: the old version's by route, the new one's by replica and route.

    Routes and replicas are identified by hashes.
    """

    old: CountsByRoute
    new: Mapping[int, CountsByRoute]

    @property
    def new_answers(self) -> int:
        """The number of answers of the new version."""
        return sum(counts.answers for routes in self.new.values() for counts in routes.values())

    @property
    def new_bad_answers(self) -> int:
        """The number of answers of the new version that failed or were slow."""
        routes = [counts for routes in self.new.values() for counts in routes.values()]
        return sum(counts.failed + counts.slow for counts in routes)

    @property
    def all_answers(self) -> int:
        """The number of answers of both versions."""
        return self.new_answers + sum(counts.answers for counts in self.old.values())


class Alarm(msgspec.Struct, frozen=True):
    """The route and fault for which a version was found bad, with the counts behind it."""

    route: int
    fault: Fault
    answers: int
    bad: int
    expected_share: float


class Assessment(enum.Enum):
    """The assessment of the new version from all answers so far."""

    #: The approval threshold is passed, and no route gives evidence against it.
    GOOD = "good"
    #: The threshold for a probably good version is passed, and no route gives evidence against it.
    PROBABLE = "probable"
    #: No route gives evidence against it, but there are too few answers.
    INCONCLUSIVE = "open"
    #: On some route a bad version is more likely than a good one.
    SUSPECT = "doubtful"


class VersionTest:
    """The tests of one order, evaluated repeatedly on counts that never decrease."""

    def __init__(self) -> None:
        self._sums: dict[tuple[int, Fault], float] = {}
        #: Sums of the log likelihood ratios of all evaluations, each for the share then expected.
        self._ratios: dict[tuple[int, Fault], float] = {}
        self._seen: dict[tuple[int, Fault], tuple[int, int]] = {}
        self._old_seen: dict[int, collections.deque[AnswerCounts]] = {}
        #: Log likelihood ratios of all answers, including those of the worst replicas.
        self._total_ratios: dict[Fault, float] = dict.fromkeys(Fault, 0.0)

    def evaluate(self, evidence: Evidence, *, compare_latency: bool = True) -> Alarm | None:
        """Evaluate the answers since the last call; return an alarm or None.

        Without ``compare_latency`` slow answers are not counted, for use when the old version has
        too few answers to compare with.
        """
        faults = tuple(Fault) if compare_latency else (Fault.FAILED,)
        for fault in faults:
            self._total_ratios[fault] = _total_ratio(evidence, fault)
        for route, counts in new_by_route(evidence).items():
            old = evidence.old.get(route, AnswerCounts())
            recent = self._recent_answers(route, old)
            for fault in faults:
                expected = max(
                    expected_share(old, fault),
                    *(_recent_share(window, fault) for window in recent),
                )
                if self._add(route, fault, counts, expected) >= ALARM_THRESHOLD:
                    return Alarm(route, fault, counts.answers, counts.count_of(fault), expected)
        return None

    def _recent_answers(self, route: int, old: AnswerCounts) -> tuple[AnswerCounts, AnswerCounts]:
        """Return the old version's answers since the last and the oldest recorded evaluation."""
        seen = self._old_seen.setdefault(route, collections.deque(maxlen=COMPARED_CHECKS))
        if not seen:
            seen.append(AnswerCounts())
        recent = old.since(seen[-1]), old.since(seen[0])
        seen.append(old.since(AnswerCounts()))
        return recent

    def _add(self, route: int, fault: Fault, new: AnswerCounts, expected: float) -> float:
        key = (route, fault)
        answers, bad = new.answers, new.count_of(fault)
        seen_answers, seen_bad = self._seen.get(key, (0, 0))
        # The counts may fall when another replica becomes the worst and is excluded.
        self._seen[key] = (max(answers, seen_answers), max(bad, seen_bad))
        added_bad = max(0, bad - seen_bad)
        added_good = max(0, answers - seen_answers - added_bad)
        ratio = log_ratio(added_bad, added_good, expected)
        self._sums[key] = max(0.0, self._sums.get(key, 0.0) + ratio)
        self._ratios[key] = self._ratios.get(key, 0.0) + ratio
        return self._sums[key]

    @property
    def assessment(self) -> Assessment:
        """The assessment of the new version from all evaluations so far."""
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
    """Return the expected share of bad answers of a version that is no worse than the old one.

    It is one standard error above the old version's share, with the prior included.
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
    """Return the log likelihood ratio of these answers for a bad against a good version."""
    worse = min(MAX_SHARE, expected + BAD_EXCESS)
    return bad * math.log(worse / expected) + good * math.log((1.0 - worse) / (1.0 - expected))


def new_by_route(evidence: Evidence) -> dict[int, AnswerCounts]:
    """Return the new version's counts by route, without its worst replicas."""
    return _by_route(_without_worst(evidence.new))


def _total_ratio(evidence: Evidence, fault: Fault) -> float:
    """Return the log likelihood ratio of all of the new version's answers, no replica excluded."""
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
    excluded = (
        math.ceil(WORST_SHARE * len(replicas)) if len(replicas) >= MIN_COMPARED_REPLICAS else 0
    )
    worst_first = sorted(replicas.items(), key=lambda item: (-_bad_share(item[1]), item[0]))
    return [routes for _, routes in worst_first[excluded:]]


def _bad_share(routes: CountsByRoute) -> float:
    """Return the share of bad answers with a prior of a few good ones."""
    answers = sum(counts.answers for counts in routes.values())
    bad = sum(counts.failed + counts.slow for counts in routes.values())
    return bad / (answers + 5.0)
