"""The port to a replica's own interface: its report, and fenced orders for weights."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from winchfork.core.replica_notice import AnswerNotice
from winchfork.errors import Failure


class ReplicaReport(msgspec.Struct, frozen=True):
    """What a replica says of itself, as of some hundred milliseconds ago.

    ``born_ms`` is when it started, by its own clock; 0 where it does not say.
    """

    sequence: int
    busy: bool
    running: int
    waiting: int
    versions: Mapping[str, int]
    started_at_ms: int = 0

    def is_of_another_incarnation(self, started_at_ms: int) -> bool:
        """Whether an incarnation that started at another time has answered."""
        return bool(self.started_at_ms and started_at_ms and self.started_at_ms != started_at_ms)


class WeightsOrder(msgspec.Struct, frozen=True):
    """Load ``version`` of ``model`` once running requests have ended.

    ``expected_sequence`` keeps an order that was lost and is carried out late from undoing a newer
    one; ``replica_id`` keeps it from the successor at the same address.
    """

    replica_id: str
    model: str
    version: int
    holder: str
    fence: int
    expected_sequence: int


class OrderOutcome(enum.Enum):
    """What a replica said to an order."""

    ACCEPTED = "taken"
    ALREADY_LOADED = "already_so"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_REPLICA = "other_replica"
    REFUSED = "refused"


OnNotice = Callable[[AnswerNotice], None]


def ignore_notice(notice: AnswerNotice) -> None:
    """Take no notice."""


class ReplicaControl(Protocol):
    """Calls to one replica; ``on_notice`` is told what each answer says of the replica itself."""

    async def report(
        self, address: str, on_notice: OnNotice = ignore_notice
    ) -> ReplicaReport | Failure:
        """Ask for the report."""
        ...

    async def order(
        self,
        address: str,
        order: WeightsOrder,
        allowed: Callable[[], bool],
        on_notice: OnNotice = ignore_notice,
    ) -> OrderOutcome | Failure:
        """Give an order, if ``allowed`` still holds as its first byte leaves.

        A failure with run state "not run" was not sent; after any other it may be carried out late.
        """
        ...
