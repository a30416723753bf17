"""Records the notices in replicas' answers by incarnation, and logs their changes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from winchfork.core.peer_reports import PeerReports
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.replica_notice import AnswerNotice, NoticeChange, ReportedPause
from winchfork.logs import log_event
from winchfork.router.log_rate_limit import LogRateLimit
from winchfork.router.unknown_headers import UnknownHeaderCounter

if TYPE_CHECKING:
    from winchfork.router.state import RouterState


#: Unknown headers that are counted and logged by name; further names are ignored.
MAX_UNKNOWN_HEADERS = 16


class NoticeRegistry:
    """The notices of all replicas as known to one process."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._unreadable_log_limiter = LogRateLimit()
        self._unknown_headers = UnknownHeaderCounter(
            state.metrics.unknown_headers, MAX_UNKNOWN_HEADERS
        )
        self._peer_reports = PeerReports()
        #: Called when an answer to this daemon says that its replica drains or begins a backoff.
        self.on_notice_received: Callable[[RelayReplica], None] = lambda replica: None
        #: Seconds since 1970, the clock of the replicas' start times.
        self.wall_clock: Callable[[], float] = time.time

    def record(
        self, replica: RelayReplica, notice: AnswerNotice, request_sent_at_s: float | None = None
    ) -> None:
        """Record the notice of a replica's answer.

        ``request_sent_at_s`` is when the answered request was sent, if the replica's own program
        answered it; only then does an answer without a limit mean that there is none.
        """
        if request_sent_at_s is not None and not notice.has_limit:
            self._state.limits.record_unlimited_answer(replica, request_sent_at_s)
        if notice.brittle_per_s is not None:
            self._state.brittle.record_word(replica, notice.brittle_per_s)
        elif request_sent_at_s is not None:
            self._state.brittle.record_no_word(replica, request_sent_at_s)
        if notice.is_empty:
            return
        state = self._state
        now_s = state.clock()
        if notice.unreadable and self._unreadable_log_limiter.allows(now_s):
            log_event(
                "notice_unreadable",
                "WARNING",
                replica=replica.replica_id,
                reason=notice.unreadable,
            )
        if notice.limit_per_s is not None:
            state.limits.record_limit(replica, notice.limit_per_s, request_sent_at_s)
        for name in notice.unknown_names:
            if self._unknown_headers.count(name):
                log_event("notice_unknown", "WARNING", replica=replica.replica_id, header=name)
        change = state.fleet.record_notice(replica, notice, now_s, state.generator.random())
        if change is not NoticeChange.NOTHING:
            self._peer_reports.forget(replica.incarnation_hash)
            self._log(replica, notice, change)
            self.on_notice_received(replica)
        listed = state.fleet.get(replica.replica_id)
        if listed is not None and listed is not replica:
            self.adopt(listed)

    def handle_peer_report(
        self, sender_id: str, replica: RelayReplica, report: ReportedPause
    ) -> None:
        """Apply a notice that a peer has received from a replica."""
        now_s = self._state.clock()
        service = self._state.fleet.of_service(replica.listing.service)
        accepted = {
            item.incarnation_hash for item in service if item.notice.available_in_s(now_s) > 0.0
        }
        if not self._peer_reports.accept(
            replica.incarnation_hash, sender_id, accepted, len(service)
        ):
            return
        if replica.notice.apply_peer_pause(report, now_s):
            log_event(
                "replica_notice",
                replica=replica.replica_id,
                notice="told",
                told_by=sender_id,
                draining=report.draining,
                backoff_s=replica.notice.backoff_until_s - now_s,
                in_flight=replica.in_flight,
            )

    def adopt(self, replica: RelayReplica) -> None:
        """Adopt the previous incarnation's notice, if this one may have sent it before its listing.

        An answer does not say which incarnation of a replica has sent it.
        """
        if not replica.listing.started_at_ms:
            return
        previous = self._state.fleet.previous_notice(replica)
        if previous is None:
            return
        now_s = self._state.clock()
        age_s = self.wall_clock() - replica.listing.started_at_ms / 1000.0
        if replica.notice.adopt(previous, now_s - age_s, now_s):
            self._state.limits.mark_listed(replica)
            log_event(
                "replica_notice",
                replica=replica.replica_id,
                notice="adopted",
                backoff_s=max(0.0, replica.notice.backoff_until_s - now_s),
                limit_per_s=replica.notice.limit.per_s,
                heard_s_ago=now_s - previous.received_at_s,
                started_s_ago=age_s,
            )

    def _log(self, replica: RelayReplica, notice: AnswerNotice, change: NoticeChange) -> None:
        self._state.metrics.notices.labels(change.value).inc()
        log_event(
            "replica_notice",
            replica=replica.replica_id,
            notice=change.value,
            backoff_s=notice.backoff_s,
            in_flight=replica.in_flight,
            listed_as_accepting=replica.listing.accepting,
        )
