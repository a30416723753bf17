"""When to load newly named weights, onto which replicas, and how many at once. Pure decisions.

A load empties a replica's cache and costs capacity, but answers of replaced weights are worth less
from soon after the new version's naming. So a rollout begins at once, and each replica is brought
to the newest version named by its turn: those replaced before it are never loaded there.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

#: Share of the working replicas that may be out of service for a load at the same time. Loads take
#: longer where more are under way; the deployments known so far bear 0.38 and a little more.
MAX_LOADING_SHARE = 0.38
#: How many times as many may load at once where the rest of them may serve nothing until they are
#: loaded. More would load beside each other for so long that all come back late.
OVERDUE_FACTOR = 2
#: Share of the bound on versions within which every replica is to have had its turn: what is left
#: is for a leader that is lost and for replicas that are slow to finish. Fewer at a time than that
#: needs would miss the bound, more would take capacity that nobody asks back so soon.
ROLLOUT_TIME_SHARE = 0.6
#: Seconds that a load takes a replica out of service, its last answers included, until measured:
#: as seen on calm days of the deployments known so far (0.9 to 1.5 s).
PRIOR_LOAD_S = 1.3
#: Share of a new sample in the moving average of that time.
LOAD_SAMPLE_WEIGHT = 0.1
#: Versions remembered of each model.
MAX_VERSIONS = 64
#: Turns of replicas that are prepared ahead.
PREPARED_BATCHES = 1


class LoadPace(msgspec.Struct):
    """How long loads take and how long a rollout may take, in seconds."""

    bound_s: float
    load_s: float = PRIOR_LOAD_S

    def record_load(self, took_s: float) -> None:
        """Learn from a load that has ended."""
        self.load_s += LOAD_SAMPLE_WEIGHT * (took_s - self.load_s)

    def max_concurrent_loads(self, replicas: int) -> int:
        """Return how many of the working replicas are to load at the same time."""
        most = math.floor(replicas * MAX_LOADING_SHARE + 1e-9)
        needed = math.ceil(replicas * self.load_s / (ROLLOUT_TIME_SHARE * self.bound_s))
        return max(1, min(most, needed))


class LoadingReplica(msgspec.Struct, frozen=True):
    """A replica as the rollout sees it; its last request is expected to end ``busy_s`` from now.

    ``overdue``: no request may begin on its weights any more.
    """

    replica_id: str
    version: int
    accepting: bool
    busy_s: float
    under_order: bool
    overdue: bool = False


class LoadStep(msgspec.Struct, frozen=True):
    """Replicas to order now, and those that come next and should be given nothing long."""

    order: tuple[str, ...]
    prepare: tuple[str, ...]


class PublishedVersion(msgspec.Struct, frozen=True):
    """A version of one model's weights and when this daemon heard that it was named.

    ``assumed`` times are a cautious guess of a daemon that has just started.
    """

    version: int
    received_at_s: float
    assumed: bool = False


class VersionHistory:
    """Versions of one model in the order in which they were named.

    None is forgotten because every replica has passed it: a replica that restarts has the version
    that it had before.
    """

    def __init__(self) -> None:
        self._versions: list[PublishedVersion] = []

    def add(self, version: int, received_at_s: float, *, assumed: bool = False) -> bool:
        """Record a named version; False when it is not newer."""
        if self._versions and version <= self._versions[-1].version:
            return False
        self._versions.append(PublishedVersion(version, received_at_s, assumed))
        del self._versions[:-MAX_VERSIONS]
        return True

    def update_received_at(self, version: int, received_at_s: float) -> None:
        """Take a peer's word on when a version was named: before a guess, else the earlier time.

        The store holds only the newest version; those before it are heard of from peers alone, and
        what is older than they are is due by them.
        """
        for number, named in enumerate(self._versions):
            if named.version == version:
                if named.assumed or received_at_s < named.received_at_s:
                    self._versions[number] = PublishedVersion(version, received_at_s)
                return
        self._versions.append(PublishedVersion(version, received_at_s))
        self._versions.sort(key=lambda named: named.version)

    def restart_bounds(
        self, lost_s: float, regained_s: float, bound_s: float
    ) -> tuple[PublishedVersion, ...]:
        """Begin bounds anew that were running when the store was lost: nobody could act on them.

        Returns the versions concerned, as they were heard before.
        """
        running = tuple(named for named in self._versions if named.received_at_s + bound_s > lost_s)
        self._versions = [
            msgspec.structs.replace(named, received_at_s=regained_s) if named in running else named
            for named in self._versions
        ]
        return running

    @property
    def versions(self) -> tuple[PublishedVersion, ...]:
        """The versions remembered, oldest first."""
        return tuple(self._versions)

    @property
    def newest(self) -> int:
        """The newest version, or 0."""
        return self._versions[-1].version if self._versions else 0

    def expires_at_s(self, version: int, bound_s: float) -> float:
        """Return when ``version`` ceases to be allowed: ``bound_s`` after the next was named."""
        for named in self._versions:
            if named.version > version:
                return named.received_at_s + bound_s
        return math.inf


def next_step(replicas: Sequence[LoadingReplica], newest: int, pace: LoadPace) -> LoadStep:
    """Return what to do now: the oldest versions first, those soon idle before the busy.

    Replicas whose turn comes next are prepared, since a load waits for the longest answer. Overdue
    ones stand idle until they are loaded, so that more of them load at once.
    """
    behind = [
        replica
        for replica in replicas
        if replica.accepting and not replica.under_order and replica.version < newest
    ]
    behind.sort(key=lambda replica: (replica.version, replica.busy_s, replica.replica_id))
    under_order = sum(1 for replica in replicas if replica.under_order)
    slots = pace.max_concurrent_loads(sum(1 for replica in replicas if replica.accepting))
    free = max(0, slots - under_order)
    free_if_overdue = max(0, OVERDUE_FACTOR * slots - under_order)
    first = [replica.replica_id for replica in behind if replica.overdue][:free_if_overdue]
    taken = set(first)
    others = [replica.replica_id for replica in behind if replica.replica_id not in taken]
    left = max(0, free - len(first))
    order = (*first, *others[:left])
    return LoadStep(order, tuple(others[left : left + slots * PREPARED_BATCHES]))
