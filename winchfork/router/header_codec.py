"""The interface between the router and a deployment's HTTP header names.

The router works on the typed fields defined here. An implementation of :class:`HeaderCodec` maps
them to and from header names.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from winchfork.core.prompt_parts import Prompt
from winchfork.core.replica_notice import AnswerNotice
from winchfork.errors import Failure
from winchfork.router.http_types import AnswerHead, Headers


class RequestFields(msgspec.Struct, frozen=True):
    """Fields of a caller's headers; None where a header is missing.

    ``deadline_s`` is how many seconds the caller still waits. ``declared_tokens`` is the declared
    sum of input and output tokens. ``resume_after`` is the id of the last event received, and
    ``origin_id`` the request id of the attempt that brought the first event of the stream.
    """

    request_id: str
    deadline_s: float | None
    api_key: str | None
    prompt: Prompt | None
    resume_after: int | None
    declared_tokens: int | None = None
    origin_id: str | None = None


class DispatchFields(msgspec.Struct, frozen=True):
    """Fields that the router sets on a request to a replica; None omits a header.

    ``deadline_s`` is the time left in seconds. ``copy_from`` and ``save_to`` are the addresses that
    the replica copies cached prompt parts from and saves them to.
    """

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
    """Fields of a replica's answer headers.

    ``authentic``: the answer carries the replica's proof of origin. ``not_run``: the replica proves
    that it did not run the request. ``misdirected``: it did not run it either, since the request
    expected another replica, or other weights of the replica ``replica_id``. ``notice``: what the
    replica reports of itself. ``status_means_not_run``: callers take the answer's status for a
    promise that the request has not run, whether the replica proves it or not.
    """

    request_id: str | None
    authentic: bool
    not_run: bool
    misdirected: bool
    weights_version: int | None
    replica_id: str | None
    notice: AnswerNotice = AnswerNotice()
    status_means_not_run: bool = False

    def may_answer(self, request_id: str) -> bool:
        """Whether the answer belongs to a request; a proof of "not run" may lack the id."""
        if self.request_id is None:
            return self.not_run or self.misdirected
        return self.request_id == request_id


class HeaderCodec(Protocol):
    """Converts between headers and fields."""

    def read_request(self, headers: Headers) -> RequestFields | Failure:
        """Parse a caller's headers; a failure names the invalid header and the expected value."""
        ...

    def dispatch_headers(self, headers: Headers, fields: DispatchFields) -> Headers:
        """Return a replica's request headers: the caller's end-to-end headers and ``fields``."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerFields:
        """Parse a replica's answer headers."""
        ...
