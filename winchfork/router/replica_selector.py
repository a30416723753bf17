"""Which replicas may be sent a request now, and when one will be that may not yet."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from winchfork.core.engine_speed import PRIOR_PREFILL_TOKENS_PER_S
from winchfork.core.permit_queue import PermitOpening
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.weight_rollout import PRIOR_LOAD_S

if TYPE_CHECKING:
    from winchfork.router.state import RouterState

#: A request begins with its first token. Old weights take none that may begin after their bound:
#: a fixed margin, and twice the time to read what is queued and its own prompt: replicas differ in
#: speed, and long prompts are read slower towards their end.
START_MARGIN_S = 0.8
QUEUE_MARGIN_FACTOR = 2.0
PROMPT_MARGIN_FACTOR = 2.0
MAX_START_MARGIN_S = 5.0


class ReplicaSelector:
    """The rules by which a replica is a candidate, on the beliefs of one process."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def candidates(
        self,
        service: str,
        excluded: set[str],
        prompt: Prompt | None = None,
        *,
        on_target: bool = False,
    ) -> list[RelayReplica]:
        """Return replicas that may be sent work now, without those already tried.

        ``on_target``: the request goes to the new version of a service whose software is rolled
        out, as long as that gets requests.

        For a prompt, weights that are no longer allowed when it begins rule a replica out. When
        every one is left alone for failures, or lies in a zone out of reach, that is ignored: a
        doubtful replica is better than none.
        """
        now_s = self._state.clock()
        self._state.fleet.refresh()
        candidates = [
            replica
            for replica in self._state.fleet.of_service(service)
            if replica.accepts_requests(now_s)
            and replica.replica_id not in excluded
            and (prompt is None or self._weights_allowed(replica, prompt, now_s))
        ]
        candidates = self._state.software.allowed_replicas(service, candidates, on_target=on_target)
        sound = [replica for replica in candidates if now_s >= replica.ejected_until_s]
        unreachable = self._state.zone_reachability.unreachable(now_s)
        if unreachable:
            reached = [item for item in sound if item.listing.zone not in unreachable]
            sound = reached or sound
        return sound or candidates

    def next_available_in_s(
        self, service: str, excluded: set[str], *, on_target: bool = False
    ) -> float | None:
        """Return in how many seconds a replica will take work that takes none now; None: none will.

        A replica under a hold or in a backoff says when it ends, one with a limit when this daemon
        may send to it again; one whose weights are too old is loaded next.
        """
        now_s = self._state.clock()
        left = self._remaining(service, excluded)
        openings = [
            replica.available_in_s(now_s) or PRIOR_LOAD_S
            for replica in self._state.software.allowed_replicas(service, left, on_target=on_target)
        ]
        opening_s = min(openings, default=math.inf)
        return None if math.isinf(opening_s) else opening_s

    def _remaining(self, service: str, excluded: set[str]) -> list[RelayReplica]:
        """Return the replicas that will be given work, now or later, without those tried."""
        return [
            replica
            for replica in self._state.fleet.of_service(service)
            if replica.accepting and replica.replica_id not in excluded
        ]

    def permit_openings(
        self, service: str, excluded: set[str], *, on_target: bool = False
    ) -> list[PermitOpening] | None:
        """Return when this daemon may send to each replica that is left, if all name limits.

        None where one takes work without a limit, or will, or where none is left.
        """
        left = self._remaining(service, excluded)
        if not left or any(replica.notice.limit.per_s is None for replica in left):
            return None
        now_s = self._state.clock()
        return [
            PermitOpening(replica.available_in_s(now_s), replica.notice.limit.interval_s)
            for replica in self._state.software.allowed_replicas(service, left, on_target=on_target)
        ]

    def fleet_permit_interval_s(self, service: str) -> float | None:
        """Return after how long a replica that names a limit takes one more from some daemon.

        None where none names a limit.
        """
        intervals = [
            replica.notice.limit.interval_s / replica.notice.limit.holders
            for replica in self._state.limits.limited_replicas(service)
        ]
        return min(intervals, default=None)

    def describe_unavailable(self, service: str) -> str:
        """Return how many of a service's replicas want no requests, and why; for operators."""
        now_s = self._state.clock()
        replicas = self._state.fleet.of_service(service)
        draining = sum(not replica.is_in_service for replica in replicas)
        resting = sum(replica.notice.is_backing_off(now_s) for replica in replicas)
        limited = self.count_at_limit(service)
        counts = {"drain": draining, "back off": resting, "are at their limit": limited}
        told = [
            f"{count} of {len(replicas)} replicas {why}" for why, count in counts.items() if count
        ]
        return ", ".join(told)

    def count_at_limit(self, service: str) -> int:
        """Return how many of a service's replicas take nothing from this daemon by their limits."""
        now_s = self._state.clock()
        limited = self._state.limits.limited_replicas(service)
        return sum(replica.notice.limit.available_in_s(now_s) > 0.0 for replica in limited)

    def weights_expire_at_s(self, model: str, version: int | None) -> float:
        """Return when no request may begin on a version any more; infinite without a newer one."""
        history = self._state.weights_versions.get(model)
        if history is None or version is None:
            return math.inf
        return history.expires_at_s(version, self._state.settings.bounds.weights_s)

    def _weights_allowed(self, replica: RelayReplica, prompt: Prompt, now_s: float) -> bool:
        """Whether a request sent now will begin before the replica's weights are too old."""
        tokens = (
            QUEUE_MARGIN_FACTOR * replica.queued_prefill_tokens
            + PROMPT_MARGIN_FACTOR * prompt.prompt_tokens
        )
        known_rate = self._state.engine_speed(replica.listing.service).prefill_tokens_per_s
        margin_s = START_MARGIN_S + tokens / min(PRIOR_PREFILL_TOKENS_PER_S, known_rate)
        due_s = self.weights_expire_at_s(prompt.model, replica.versions.get(prompt.model, 0))
        return now_s + min(MAX_START_MARGIN_S, margin_s) < due_s
