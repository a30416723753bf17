"""A request that continues a stream, while it is looked up which software began the stream."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from winchfork.core.stream_origin import StreamOrigin
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.router.caller_connection import ActiveRequest
from winchfork.router.quota_gate import QuotaCharge
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.stream_origins import StreamOrigins


async def _find_nothing(software: str) -> None:
    pass


class ContinuedRequest:
    """Finds the origin, then relays the request by ``relay`` or refuses it by ``refuse``.

    ``charge`` is refunded if the request is not relayed. ``find_incarnation`` looks for the
    incarnation that the origin's software is named after, if it is.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        admitted: AdmittedRequest,
        relay: Callable[[StreamOrigin], ActiveRequest],
        refuse: Callable[[Failure], object],
        charge: QuotaCharge | None = None,
        find_incarnation: Callable[[str], Awaitable[None]] = _find_nothing,
    ) -> None:
        self._origins = origins
        self._find_incarnation = find_incarnation
        self._admitted = admitted
        self._relay = relay
        self._refuse = refuse
        self._charge = charge
        self._relayed: ActiveRequest | None = None
        self._paused = False
        self._caller_disconnected = False

    # ActiveRequest

    def caller_disconnected(self) -> None:
        """End the request: its caller has disconnected."""
        self._caller_disconnected = True
        if self._relayed is not None:
            self._relayed.caller_disconnected()

    def set_backpressure(self, paused: bool) -> None:
        """Pause or resume reading from the replica."""
        self._paused = paused
        if self._relayed is not None:
            self._relayed.set_backpressure(paused)

    async def run(self) -> None:
        """Find the origin and start or refuse the request."""
        try:
            origin = await self._origins.find(self._admitted)
            if isinstance(origin, StreamOrigin):
                await self._find_incarnation(origin.software)
        except asyncio.CancelledError:
            reason = "the grace period of the router's stop ended"
            self._end(FailureKind.STOPPING.because(reason))
            raise
        except Exception as error:  # noqa: BLE001 - the caller gets an answer after any error
            log_event("request_error", "ERROR", error=repr(error))
            self._end(FailureKind.INTERNAL.because(repr(error), ran=RunState.NOT_RUN))
            return
        if self._caller_disconnected:
            self._end(None)
        elif isinstance(origin, Failure):
            self._end(origin)
        else:
            self._relayed = self._relay(origin)
            if self._paused:
                self._relayed.set_backpressure(True)

    def _end(self, failure: Failure | None) -> None:
        if self._charge is not None:
            self._charge.refund()
        if failure is not None and not self._caller_disconnected:
            self._refuse(failure)
