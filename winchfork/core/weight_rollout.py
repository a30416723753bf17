"""Decides which replicas load newly published weights, when, and how many at once.

A load clears the replica's cache and takes it out of service for its duration. A rollout begins as
soon as a version is published, and each replica loads the newest version at its turn, skipping
those in between. Times are seconds; this module has no side effects.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

#: Share of the accepting replicas that may load at the same time. Loads take longer the more of
#: them run, and the known deployments bear little more than this.
MAX_LOADING_SHARE = 0.38
#: Factor on the number of concurrent loads for overdue replicas, which serve nothing until loaded.
#: With more, loads would slow each other down so much that all replicas return late.
OVERDUE_FACTOR = 2
#: Share of the version bound within which all loads should be done; the rest is a reserve for a
#: change of leader and for replicas that are slow to drain. More loads at a time than that needs
#: would withdraw capacity too early.
ROLLOUT_TIME_SHARE = 0.6
#: Initial estimate, in seconds, of the time that a load takes, including the drain; 0.9 to 1.5 s
#: are usual under low load.
PRIOR_LOAD_S = 1.3
#: Weight of a new sample in the exponential moving average of that time.
LOAD_SAMPLE_WEIGHT = 0.1
#: Number of versions recorded for each model.
MAX_VERSIONS = 64
#: Number of batches of replicas that are prepared in advance.
PREPARED_BATCHES = 1


class LoadPace(msgspec.Struct):
    """The estimated time of a load and the bound on a rollout, in seconds."""

    bound_s: float
    load_s: float = PRIOR_LOAD_S

    def record_load(self, took_s: float) -> None:
        """Update the estimate with a completed load."""
        self.load_s += LOAD_SAMPLE_WEIGHT * (took_s - self.load_s)

    def max_concurrent_loads(self, replicas: int) -> int:
        """Return how many of ``replicas`` accepting replicas should load at the same time."""
        max_loads = math.floor(replicas * MAX_LOADING_SHARE + 1e-9)
        needed = math.ceil(replicas * self.load_s / (ROLLOUT_TIME_SHARE * self.bound_s))
        return max(1, min(max_loads, needed))


class LoadingReplica(msgspec.Struct, frozen=True):
    """The state of a replica in a rollout.

    ``busy_s`` is the expected time until its last request ends. ``under_order``: it has been
    ordered to load. ``overdue``: no new request may run on its weights version.
    """

    replica_id: str
    version: int
    accepting: bool
    busy_s: float
    under_order: bool
    overdue: bool = False


class LoadStep(msgspec.Struct, frozen=True):
    """Replicas to order now, and those to prepare: they come next and get no long requests."""

    order: tuple[str, ...]
    prepare: tuple[str, ...]


class PublishedVersion(msgspec.Struct, frozen=True):
    """A version of one model's weights and the earliest time at which it may have been published.

    ``assumed``: the time is a conservative estimate of a daemon that has just started.
    """

    version: int
    published_at_s: float
    assumed: bool = False


class VersionHistory:
    """The published versions of one model, oldest first.

    Versions that no replica has any more are kept, because a restarted replica may have one again.
    """

    def __init__(self) -> None:
        self._versions: list[PublishedVersion] = []

    def add(self, version: int, published_at_s: float, *, assumed: bool = False) -> bool:
        """Record a published version; False if it is not newer than the newest."""
        if self._versions and version <= self._versions[-1].version:
            return False
        self._versions.append(PublishedVersion(version, published_at_s, assumed))
        del self._versions[:-MAX_VERSIONS]
        return True

    def update_published_at(self, version: int, published_at_s: float) -> bool:
        """Apply a peer's report of when a version was published at the earliest.

        It replaces an assumed time; otherwise the earlier time is kept. Unknown versions are added:
        the store holds only the newest version, so earlier ones are known from peers only. Returns
        whether anything has changed.
        """
        known = self._find(version)
        if known is not None and not known.assumed and published_at_s >= known.published_at_s:
            return False
        self._put(PublishedVersion(version, published_at_s))
        return True

    def narrow_published_at(self, version: int, earliest_s: float, latest_s: float) -> None:
        """Apply a peer's report that may have been delayed, so that its time lies in a range.

        A known time is kept if it lies in the range or is exact and before it, else moved to the
        nearer end. An unknown version gets the earliest time, as an assumption.
        """
        known = self._find(version)
        if known is None:
            self._put(PublishedVersion(version, earliest_s, assumed=True))
            return
        published_at_s = min(known.published_at_s, latest_s)
        if known.assumed:
            published_at_s = max(published_at_s, earliest_s)
        self._put(PublishedVersion(version, published_at_s, known.assumed))

    def _find(self, version: int) -> PublishedVersion | None:
        return next((item for item in self._versions if item.version == version), None)

    def _put(self, published: PublishedVersion) -> None:
        """Replace the entry of a version, or insert it in order."""
        others = [item for item in self._versions if item.version != published.version]
        self._versions = sorted([*others, published], key=lambda item: item.version)
        del self._versions[:-MAX_VERSIONS]

    def restart_bounds(
        self, lost_s: float, regained_s: float, bound_s: float
    ) -> tuple[PublishedVersion, ...]:
        """Restart the bounds that were running when the store became unavailable at ``lost_s``.

        No load can be ordered without the store. Returns the versions concerned with their former
        times.
        """
        running = tuple(
            published for published in self._versions if published.published_at_s + bound_s > lost_s
        )
        self._versions = [
            msgspec.structs.replace(published, published_at_s=regained_s)
            if published in running
            else published
            for published in self._versions
        ]
        return running

    @property
    def versions(self) -> tuple[PublishedVersion, ...]:
        """The recorded versions, oldest first."""
        return tuple(self._versions)

    @property
    def newest(self) -> int:
        """The newest version; 0 without one."""
        return self._versions[-1].version if self._versions else 0

    def expires_at_s(self, version: int, bound_s: float) -> float:
        """Return when ``version`` expires: ``bound_s`` after the next one; infinite if newest."""
        for published in self._versions:
            if published.version > version:
                return published.published_at_s + bound_s
        return math.inf


def next_step(replicas: Sequence[LoadingReplica], newest: int, pace: LoadPace) -> LoadStep:
    """Return the loads to order and to prepare now: oldest versions first, then the least busy.

    The replicas of the next batch are prepared because a load waits for the longest answer. Overdue
    replicas are idle until they are loaded, so more of them may load at once.
    """
    behind = [
        replica
        for replica in replicas
        if replica.accepting and not replica.under_order and replica.version < newest
    ]
    behind.sort(key=lambda replica: (replica.version, replica.busy_s, replica.replica_id))
    under_order = sum(1 for replica in replicas if replica.under_order)
    max_loads = pace.max_concurrent_loads(sum(1 for replica in replicas if replica.accepting))
    free = max(0, max_loads - under_order)
    free_if_overdue = max(0, OVERDUE_FACTOR * max_loads - under_order)
    overdue = [replica.replica_id for replica in behind if replica.overdue][:free_if_overdue]
    ordered = set(overdue)
    others = [replica.replica_id for replica in behind if replica.replica_id not in ordered]
    remaining = max(0, free - len(overdue))
    order = (*overdue, *others[:remaining])
    return LoadStep(order, tuple(others[remaining : remaining + max_loads * PREPARED_BATCHES]))
