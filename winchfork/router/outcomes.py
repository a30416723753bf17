"""How one attempt at a replica ended, and what that proves about its running."""

from __future__ import annotations

import dataclasses
import enum

from winchfork.router.http_types import AnswerHead


class StopCause(enum.Enum):
    """Why no further attempt is made."""

    CALLER_LEFT = "caller_left"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A replica's whole answer, not yet passed on."""

    head: AnswerHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The replica did not run the request and never will.

    ``same_replica`` asks for another try at the same replica: only its weights version was wrong.
    ``superseded``: another incarnation answers at its address.
    """

    reason: str
    sent: bool
    same_replica: bool = False
    superseded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run. ``answer`` is the replica's failure, where it gave a whole one.

    ``silent``: the replica, or the way to it, does not even acknowledge what is sent.
    """

    reason: str
    answer: BufferedAnswer | None = None
    silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Nobody waits for this request any more, or its time is up."""

    cause: StopCause


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """The exchange was ended here so that the stream goes on at another replica."""


Outcome = Delivered | NotRun | MayHaveRun | Stopped | Moved
