"""HTTP calls over pooled connections, for small messages that are buffered whole."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from winchfork.core.memory_budget import BufferKind
from winchfork.errors import Failure, FailureKind
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.http_types import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    AnswerTruncated,
    Headers,
    render_headers,
)
from winchfork.router.inbox import Inbox
from winchfork.router.replica_connection import Exchange, ReplicaConnection

#: Limit on the open connections to one address.
_MAX_CONNECTIONS = 8
#: Limit on the body of an answer, unless the caller of the client sets another.
MAX_REPLY_BYTES = 64 * 1024


class CallReply(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes


class PooledHttpClient:
    """Makes calls with a timeout; ``on_call`` is called with the label of each."""

    def __init__(
        self, pool: ConnectionPool, on_call: Callable[[str], None] = lambda label: None
    ) -> None:
        self._pool = pool
        self._on_call = on_call

    async def call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        body: bytes | None,
        timeout_s: float,
        *,
        label: str,
        headers: Headers | None = None,
        is_still_allowed: Callable[[], bool] | None = None,
        on_head: Callable[[AnswerHead], None] = lambda head: None,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> CallReply | Failure:
        """Return the answer; a failure whose ``ran`` is "not run" means that nothing was sent.

        ``is_still_allowed`` is checked directly before the call is sent, when the connection is
        open. ``on_head`` is called with the head of the answer. A body of more than
        ``max_reply_bytes`` is the failure ANSWER_TOO_LARGE.
        """
        connection = await self._pool.acquire(address, _MAX_CONNECTIONS)
        if isinstance(connection, Failure):
            return connection
        if is_still_allowed is not None and not is_still_allowed():
            self._pool.release(address, connection)
            return FailureKind.NOT_ACCEPTING_WORK.because(
                "the call was no longer allowed once connected"
            )
        self._on_call(label)
        inbox: Inbox[AnswerPart] = Inbox()
        lines: Headers = [(b"Host", address.encode()), *(headers or [])]
        if body is not None:
            lines.append((b"Content-Type", b"application/json"))
            lines.append((b"Content-Length", str(len(body)).encode()))
        head = render_headers(b"%b %b HTTP/1.1" % (method, target), lines)
        exchange = Exchange(inbox.put, lambda head: True, on_head=on_head)
        connection.start(head, body or b"", exchange)
        reader = _ReplyReader(inbox, connection, max_reply_bytes)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await reader.wait()
        except TimeoutError:
            # After a stall of the process the timer may fire although the answer has arrived.
            arrived = reader.pop_arrived()
            if arrived is not None:
                return arrived
            connection.abandon()
            # The other connections to the address are likely to be broken as well.
            self._pool.close_idle(address)
            return FailureKind.BACKEND_FAILED.because(f"no answer within {timeout_s:.2f} s")
        except asyncio.CancelledError:
            connection.abandon()
            raise
        finally:
            reader.release()
        if isinstance(answer, Failure):
            connection.abandon()
        return answer


class _ReplyReader:
    """Assembles an answer from its parts."""

    def __init__(
        self, inbox: Inbox[AnswerPart], connection: ReplicaConnection, max_bytes: int
    ) -> None:
        self._inbox = inbox
        self._reservation = connection.memory.open(BufferKind.CALL_REPLY, connection.shed)
        self._max_bytes = max_bytes
        self._read_bytes = 0
        self._status = 0
        self._pieces: list[bytes] = []

    async def wait(self) -> CallReply | Failure:
        """Wait for the whole answer."""
        while True:
            answer = self._handle(await self._inbox.get())
            if answer is not None:
                return answer

    def pop_arrived(self) -> CallReply | Failure | None:
        """Return the answer if all of it has been received, without waiting."""
        while len(self._inbox):
            answer = self._handle(self._inbox.pop())
            if answer is not None:
                return answer
        return None

    def release(self) -> None:
        """Release what was buffered."""
        self._reservation.resize(0)

    def _handle(self, item: AnswerPart) -> CallReply | Failure | None:
        if isinstance(item, AnswerHead):
            self._status = item.status
        elif isinstance(item, AnswerData):
            self._pieces.append(item.data)
            self._reservation.grow(len(item.data))
            self._read_bytes += len(item.data)
            if self._read_bytes > self._max_bytes:
                return FailureKind.ANSWER_TOO_LARGE.because(
                    f"the answer has more than {self._max_bytes} bytes"
                )
        elif isinstance(item, AnswerEnd):
            return CallReply(self._status, b"".join(self._pieces))
        elif isinstance(item, AnswerTruncated):
            return FailureKind.BACKEND_FAILED.because(f"connection {item.reason}")
        return None
