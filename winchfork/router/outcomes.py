"""How one attempt at a replica ended, and what that proves about its running."""

from __future__ import annotations

import enum

import msgspec

from winchfork.router.http_types import AnswerHead


class StopCause(enum.Enum):
    """Why no further attempt is made."""

    CALLER_DISCONNECTED = "caller_left"
    DEADLINE = "deadline"


class BufferedAnswer(msgspec.Struct, frozen=True):
    """A replica's whole answer, not yet passed on."""

    head: AnswerHead
    body: bytes


class Delivered(msgspec.Struct, frozen=True):
    """The caller has the whole answer."""

    status: int


class NotRun(msgspec.Struct, frozen=True):
    """The replica did not run the request and never will.

    ``same_replica`` asks for another try at the same replica: only its weights version was wrong.
    ``other_replica``: the id of the incarnation that answers at its address in its place.
    """

    reason: str
    sent: bool
    retry_same_replica: bool = False
    other_incarnation: str = ""


class MayHaveRun(msgspec.Struct, frozen=True):
    """The request may have run. ``answer`` is the replica's failure, where it gave a whole one.

    ``broke``: the connection ended before the answer was whole. ``silent``: the replica, or the way
    to it, does not even acknowledge what is sent.
    """

    reason: str
    answer: BufferedAnswer | None = None
    truncated: bool = False
    silent: bool = False


class Stopped(msgspec.Struct, frozen=True):
    """Nobody waits for this request any more, or its time is up."""

    cause: StopCause


class Moved(msgspec.Struct, frozen=True):
    """The exchange was ended here so that the stream goes on at another replica."""


class StaleChoice(msgspec.Struct, frozen=True):
    """While a connection came up the choice ceased to hold: nothing was sent, choose again."""


Outcome = Delivered | NotRun | MayHaveRun | Stopped | Moved | StaleChoice
