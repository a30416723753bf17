"""Typed failures with a kind, a reason, a remedy and whether the request ran.

Functions that may fail return ``T | Failure``; callers check with ``isinstance``. Exceptions
come only from programming errors and from libraries.
"""

from __future__ import annotations

import enum

import msgspec


class RunState(enum.Enum):
    """Whether a back end executed the failed request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class FailureKind(enum.Enum):
    """All kinds of failures; the values are stable codes on the wire."""

    INVALID_REQUEST = "invalid_request"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_CONFIGURATION = "invalid_configuration"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    SENDER_STALLED = "sender_stalled"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    STOPPING = "stopping"
    NO_REPLICA = "no_replica"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_FAILED = "backend_broke"
    BACKEND_REFUSED = "backend_refused"
    FENCE_MISMATCH = "fence_mismatch"
    STREAM_BROKEN = "stream_broken"
    CALLER_DISCONNECTED = "caller_left"
    CONNECTION_REFUSED = "connection_refused"
    CRASHES_REPLICAS = "ends_replicas"
    CLAIM_HELD = "claim_held"
    CLAIM_NO_MAJORITY = "claim_no_majority"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_RATE_LIMITED = "store_rate_limited"
    REVISION_CONFLICT = "revision_conflict"
    NOT_ACCEPTING_WORK = "not_accepting_work"
    BAD_DATAGRAM = "bad_datagram"
    CONFIGURATION_UNKNOWN = "configuration_unknown"
    CONFIGURATION_STALE = "configuration_stale"
    HEADER_TOO_LARGE = "header_too_large"
    HISTORY_LOST = "history_lost"
    ANSWER_TOO_LARGE = "answer_too_large"
    BAD_DOCUMENT = "bad_document"
    INTERNAL = "internal"

    def because(
        self,
        reason: str,
        *,
        remedy: str = "",
        ran: RunState | None = None,
        retry_after_s: float | None = None,
    ) -> Failure:
        """Build a failure of this kind; ``reason`` is the cause, ``remedy`` what the reader can do.

        ``ran`` defaults to ``NOT_RUN`` for kinds that can only arise before execution, and to
        ``UNKNOWN`` for all others, because ``NOT_RUN`` permits a repeat of the request.
        """
        if ran is None:
            ran = RunState.NOT_RUN if self in _BEFORE_EXECUTION else RunState.UNKNOWN
        return Failure(self, reason, remedy, ran, retry_after_s)


#: Kinds that can only arise before a request is executed.
_BEFORE_EXECUTION = frozenset(
    {
        FailureKind.INVALID_REQUEST,
        FailureKind.INVALID_SETTINGS,
        FailureKind.INVALID_CONFIGURATION,
        FailureKind.UNAUTHENTICATED,
        FailureKind.NOT_FOUND,
        FailureKind.METHOD_NOT_ALLOWED,
        FailureKind.BODY_TOO_LARGE,
        FailureKind.SENDER_STALLED,
        FailureKind.OVERLOADED,
        FailureKind.QUOTA_EXCEEDED,
        FailureKind.STOPPING,
        FailureKind.NO_REPLICA,
        FailureKind.STREAM_ORIGIN_UNKNOWN,
        FailureKind.BACKEND_UNREACHABLE,
        FailureKind.CONNECTION_REFUSED,
        FailureKind.FENCE_MISMATCH,
        FailureKind.NOT_ACCEPTING_WORK,
        FailureKind.CONFIGURATION_UNKNOWN,
        FailureKind.CONFIGURATION_STALE,
        FailureKind.HEADER_TOO_LARGE,
    }
)


class Failure(msgspec.Struct, frozen=True):
    """One failure; ``ran`` states whether the request was executed.

    ``retry_after_s`` is the suggested wait before a retry; None if a retry alone does not help.
    """

    kind: FailureKind
    reason: str
    remedy: str = ""
    ran: RunState = RunState.UNKNOWN
    retry_after_s: float | None = None

    def with_run_state(self, ran: RunState) -> Failure:
        """Return the same failure with another run state."""
        return msgspec.structs.replace(self, ran=ran)

    def __str__(self) -> str:
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{self.kind.value}: {self.reason}{remedy}"
