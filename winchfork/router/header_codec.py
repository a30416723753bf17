"""The port to a deployment's header names: what a request says, what a dispatch carries.

The router knows these fields; a translation package knows what they are called on the wire.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from winchfork.core.prompt_parts import Prompt
from winchfork.core.replica_notice import AnswerNotice
from winchfork.errors import Failure
from winchfork.router.http_types import AnswerHead, Headers


class RequestFields(msgspec.Struct, frozen=True):
    """What a caller's headers say. ``deadline_s`` is how long the caller waits from now.

    ``declared_tokens`` is what the request says to use, in and out; None where it does not say.
    """

    request_id: str
    deadline_s: float | None
    api_key: str | None
    prompt: Prompt | None
    resume_after: int | None
    declared_tokens: int | None = None


class DispatchFields(msgspec.Struct, frozen=True):
    """What the router adds to a request it passes on; None leaves a field out."""

    deadline_s: float
    replica_id: str
    tenant: str | None = None
    priority: int | None = None
    namespace: str | None = None
    weights_version: int | None = None
    resume_after: int | None = None
    copy_from: str | None = None
    save_to: str | None = None


class AnswerFields(msgspec.Struct, frozen=True):
    """What a replica's headers say. ``not_run`` is its proof that it did not run the request.

    ``misdirected`` says the same: the request expected another replica, or other weights of the
    replica that ``replica_id`` names. ``notice`` is what the replica says of itself.
    """

    request_id: str | None
    authentic: bool
    not_run: bool
    misdirected: bool
    weights_version: int | None
    replica_id: str | None
    notice: AnswerNotice = AnswerNotice()


class HeaderCodec(Protocol):
    """Translates between header names and fields."""

    def read_request(self, headers: Headers) -> RequestFields | Failure:
        """Read a caller's headers; the failure names the header and what it should hold."""
        ...

    def dispatch_headers(self, headers: Headers, fields: DispatchFields) -> Headers:
        """Return the headers for a replica: the caller's end-to-end ones and ``fields``."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerFields:
        """Read a replica's headers."""
        ...
