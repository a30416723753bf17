"""Whether the store's configuration is the newest one that the fleet has had. No I/O, no clock.

A store that is restored from a backup lists an earlier configuration. A daemon that has just
started, or that missed the later version, cannot tell this from its list: only peers that have
installed the later version can. Until some have replied, what the list of a new era proves does not
count for the configuration, and a version below one that a peer has installed never does.
"""

from __future__ import annotations

import math

#: Peers whose replies are needed, or fewer if there are fewer.
REPLIES_NEEDED = 3
#: Seconds from the first question after which a daemon stops waiting for peers that do not reply:
#: they may all be down, or of a build that does not know the question.
MAX_WAIT_S = 1.0


class ConfigurationCheck:
    """One daemon's knowledge of its peers' configurations. Times are monotonic seconds.

    A check begins with each era of the store that the daemon meets, the first one included; a store
    that names no era is never restored. Without peers (``other_seeds`` is 0) there is none.
    """

    def __init__(self, other_seeds: int) -> None:
        self._other_seeds = other_seeds
        #: The newest version that a peer has reported; 0 if none has.
        self.newest_reported = 0
        self._proven_at_s = -math.inf
        self._replied: set[str] = set()
        self._asked_at_s: float | None = None
        self.is_pending = False

    def begin(self, proven_at_s: float) -> None:
        """Begin a check, before anything of a new era is used.

        What was proven up to ``proven_at_s``, in the eras before, still counts.
        """
        if self.is_pending or not self._other_seeds:
            return
        self._proven_at_s = proven_at_s
        self._replied.clear()
        self._asked_at_s = None
        self.is_pending = True

    def record_question(self, now_s: float) -> None:
        """Record that peers are being asked."""
        if self._asked_at_s is None:
            self._asked_at_s = now_s

    def has_replied(self, peer_id: str) -> bool:
        """Whether a peer has replied since the check began."""
        return peer_id in self._replied

    def record_reply(self, peer_id: str, version: int) -> bool:
        """Record a peer's reply, and its version; one without a configuration decides nothing."""
        if version:
            self._replied.add(peer_id)
        return self.record_version(version)

    def record_version(self, version: int) -> bool:
        """Record the version that a peer has installed; True if it is the newest reported one."""
        is_newest = version > self.newest_reported
        self.newest_reported = max(self.newest_reported, version)
        return is_newest

    def end_if_due(self, known_peers: int, now_s: float) -> bool:
        """End the check if enough peers have replied, or have not in time; True if it has ended.

        ``known_peers`` is 0 for a daemon that does not know the members yet.
        """
        if not self.is_pending or self._asked_at_s is None:
            return False
        needed = REPLIES_NEEDED
        if known_peers:
            needed = min(REPLIES_NEEDED, max(known_peers, self._other_seeds))
        if len(self._replied) < needed and now_s - self._asked_at_s < MAX_WAIT_S:
            return False
        self.is_pending = False
        return True

    @property
    def replies(self) -> int:
        """Number of peers that have replied since the last check began."""
        return len(self._replied)

    def age_s(self, version: int, list_proven_at_s: float, now_s: float) -> float:
        """Return the seconds since ``version`` was proven to be the newest; infinite if it is not.

        ``list_proven_at_s`` is when the list that has it was last proven current.
        """
        if version < self.newest_reported:
            return math.inf
        proven_at_s = list_proven_at_s
        if self.is_pending:
            proven_at_s = min(proven_at_s, self._proven_at_s)
        return now_s - proven_at_s
