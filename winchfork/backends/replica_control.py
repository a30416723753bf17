"""The port to a replica's control interface: its report, and fenced orders to load weights."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from winchfork.core.replica_notice import AnswerNotice
from winchfork.errors import Failure


class ReplicaReport(msgspec.Struct, frozen=True):
    """A replica's own state; it may be some hundred milliseconds old.

    ``started_at_ms`` is the replica's start time in milliseconds since 1970 by its own clock; 0 if
    it does not report one.
    """

    sequence: int
    busy: bool
    running: int
    waiting: int
    versions: Mapping[str, int]
    started_at_ms: int = 0

    def is_of_another_incarnation(self, started_at_ms: int) -> bool:
        """Whether both start times are known and differ."""
        return bool(self.started_at_ms and started_at_ms and self.started_at_ms != started_at_ms)


class WeightsOrder(msgspec.Struct, frozen=True):
    """An order to load ``version`` of ``model`` once running requests have ended.

    ``expected_sequence`` keeps a delayed order from undoing a newer one; ``replica_id`` keeps it
    from reaching a later replica at the same address. ``fence`` is the sender's fencing token.
    """

    replica_id: str
    model: str
    version: int
    holder: str
    fence: int
    expected_sequence: int


class OrderOutcome(enum.Enum):
    """How a replica answered an order."""

    ACCEPTED = "taken"
    ALREADY_LOADED = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_REPLICA = "other_replica"
    REFUSED = "refused"


OnNotice = Callable[[AnswerNotice], None]


def ignore_notice(notice: AnswerNotice) -> None:
    """Ignore the notice."""


class ReplicaControl(Protocol):
    """Calls to one replica; ``on_notice`` receives the notice in each answer."""

    async def report(
        self, address: str, on_notice: OnNotice = ignore_notice
    ) -> ReplicaReport | Failure:
        """Read the replica's report."""
        ...

    async def order(
        self,
        address: str,
        order: WeightsOrder,
        allowed: Callable[[], bool],
        on_notice: OnNotice = ignore_notice,
    ) -> OrderOutcome | Failure:
        """Send an order if ``allowed()`` is still true just before its first byte is sent.

        After a failure with ``RunState.NOT_RUN`` the order was not sent; after any other failure
        the replica may still carry it out.
        """
        ...
