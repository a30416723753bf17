"""Faults on the links between single routers of one process and replicas.

Connections are attributed to the router whose task opened them. Bytes on a silent link are held,
and sent when it is healed, as TCP does by retransmission. ``TCP_USER_TIMEOUT`` is honoured for data
that is held that long; keep-alive is not simulated.
"""

from __future__ import annotations

import asyncio
import contextvars
import enum
import socket
from collections.abc import Callable, Collection, Coroutine
from typing import Any

from winchfork.router.read_buffer import BoundedReadProtocol

#: The number of the router that the current task belongs to; None outside routers.
_router: contextvars.ContextVar[int | None] = contextvars.ContextVar("router", default=None)


class LinkFault(enum.Enum):
    """What happens on the links of one router.

    SILENT holds all bytes and new connections do not come up; RESET resets open connections and
    refuses new ones; REFUSE_NEW only refuses new ones.
    """

    NONE = "none"
    SILENT = "silent"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class ReplicaLinks:
    """Installs itself in the running event loop; faults apply to ``replica_addresses`` only.

    ``only_router`` is the number of the process's only router. ``connect`` opens connections; the
    event loop's own method by default.
    """

    def __init__(
        self,
        replica_addresses: Callable[[], Collection[str]],
        *,
        only_router: int | None = None,
        connect: Any = None,
    ) -> None:
        self._only_router = only_router
        self._replica_addresses = replica_addresses
        self._faults: dict[int, LinkFault] = {}
        self._links: set[_Link] = set()
        self._changed = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._create_connection: Any = connect or loop.create_connection
        loop.create_connection = self._create  # type: ignore[method-assign,assignment]

    def uninstall(self) -> None:
        """Restore the event loop."""
        loop = asyncio.get_running_loop()
        loop.create_connection = self._create_connection  # type: ignore[method-assign]

    async def run_router(self, number: int, run: Coroutine[Any, Any, None]) -> None:
        """Run a router's main coroutine so that its connections are attributed to ``number``."""
        _router.set(number)
        await run

    def set_fault(self, router: int, fault: LinkFault) -> None:
        """Apply a fault to all links of one router, or heal them."""
        self._faults[router] = fault
        for link in [item for item in self._links if item.router == router]:
            link.set_fault(fault)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _create(
        self, factory: Callable[[], Any], host: str, port: int, **options: Any
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        router = _router.get() if self._only_router is None else self._only_router
        if router is None or f"{host}:{port}" not in self._replica_addresses():
            return await self._create_connection(factory, host, port, **options)
        while self._fault(router) is LinkFault.SILENT:
            await self._changed.wait()
        if self._fault(router) is not LinkFault.NONE:
            raise ConnectionRefusedError("the link refuses new connections")
        link = _Link(router, factory(), self._links)
        _, protocol = await self._create_connection(lambda: link, host, port, **options)
        assert protocol is link
        link.set_fault(self._fault(router))
        return link.transport, link.inner

    def _fault(self, router: int) -> LinkFault:
        return self._faults.get(router, LinkFault.NONE)


class _Link(asyncio.Protocol):
    """Stands between the transport of a connection and its protocol."""

    def __init__(self, router: int, inner: BoundedReadProtocol, links: set[_Link]) -> None:
        self.router = router
        self.inner = inner
        self._links = links
        self._silent = False
        self._held: list[bytes] = []
        self._lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = _LinkTransport(transport)
        self._links.add(self)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        if self._silent:
            self._held.append(data)
        else:
            self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self.inner.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self._links.discard(self)
        self.inner.connection_lost(self.transport.error or error)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    def set_fault(self, fault: LinkFault) -> None:
        if fault is LinkFault.RESET:
            self.transport.fail(ConnectionResetError("reset by the link"))
            return
        self._silent = fault is LinkFault.SILENT
        self.transport.set_silent(self._silent)
        held, self._held = self._held, []
        for data in held:
            self.data_received(data)


class _LinkTransport(asyncio.Transport):
    """Forwards to a transport, and holds what is written while the link is silent."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__()
        self._transport = transport
        self._silent = False
        self._held: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None
        #: The error that ends the connection, if the link caused its end.
        self.error: Exception | None = None

    def set_silent(self, silent: bool) -> None:
        self._silent = silent
        if silent:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        held, self._held = self._held, []
        for data in held:
            self._transport.write(data)

    def fail(self, error: Exception) -> None:
        self.error = error
        self._transport.abort()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self._silent:
            self._transport.write(data)
            return
        self._held.append(bytes(data))
        if self._timer is None:
            raw = self._transport.get_extra_info("socket")
            timeout_ms = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            if timeout_ms:
                loop = asyncio.get_running_loop()
                error = TimeoutError("the link was silent")
                self._timer = loop.call_later(timeout_ms / 1000.0, self.fail, error)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        self._transport.abort()

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def get_write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size() + sum(map(len, self._held))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._transport.set_write_buffer_limits(high, low)
