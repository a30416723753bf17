"""A model replica or an application replica on loopback.

A model replica streams numbered events, loads weights on orders with a fencing token and reports
its state. An application replica answers commands at once.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from typing import Any

from standins.answer_faults import SLOW_ANSWER_DELAY_S, AnswerFaultInjector, ReplicaFault
from standins.brittle_room import BrittleRoom
from standins.endless_answers import EndlessPart, write_endless_answer
from standins.http_server import HttpServer, Request, write_answer
from standins.notice_emitter import NoticeEmitter
from standins.stale_entries import StaleEntry
from standins.store_server import StoreServer

#: Seconds for which a replica that fell over is away.
FALL_S = 2.0
#: The most that a replica writes in a second of an answer that does not end.
ENDLESS_BYTES_PER_S = 20_000_000


@dataclasses.dataclass(frozen=True)
class ReceivedOrder:
    """A received order to load weights; time on the event loop's clock."""

    received_at_s: float
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True)
class Generation:
    """A request that reached its first token, with its weights; times on the event loop's clock."""

    request_id: str
    replica_id: str
    version: int
    arrived_at_s: float
    started_at_s: float


@dataclasses.dataclass(frozen=True)
class FatalRequest:
    """A kind of request that crashes the replica that runs it, and how the replica restarts.

    A request matches if its body begins with ``body_prefix``, unless that is empty, or if one of
    its prompt's shared parts is in ``parts``. With ``keeps_id`` the replica restarts under the same
    id, otherwise under a new one. ``closes_in_order``: it first writes one event of an answer
    without framing, and closes that connection in order.
    """

    body_prefix: bytes
    crash_after_s: float = 0.08
    restart_after_s: float = 1.5
    keeps_id: bool = False
    #: Lifetime of the crashed incarnation's entry; unused with ``keeps_id``.
    entry_lapses_after_s: float = 1.0
    parts: frozenset[str] = frozenset()
    closes_in_order: bool = False

    def matches(self, request: Request) -> bool:
        """Whether a request crashes the replica that runs it."""
        if self.body_prefix and request.body.startswith(self.body_prefix):
            return True
        return not self.parts.isdisjoint(shared_part_ids(request))


def shared_part_ids(request: Request) -> list[str]:
    """Return the ids of the parts of a request's prompt, without the last one."""
    listed = request.headers.get("x-prefix-hash", "").split(",")
    return [entry.partition(":")[0] for entry in listed[:-1]]


@dataclasses.dataclass
class FatalRun:
    """One run of a fatal request; ``crashed_at_s`` is None unless this run crashed the replica.

    ``parts`` are those of its prompt that crash replicas.
    """

    body: bytes
    request_id: str
    started_at_s: float
    crashed_at_s: float | None = None
    parts: frozenset[str] = frozenset()


class ReplicaServer:
    """Serves requests and writes its entry to the store.

    With an empty ``model`` it is a replica of an application.
    """

    def __init__(
        self,
        store: StoreServer,
        replica_id: str,
        service: str,
        zone: str,
        model: str = "",
        software: str = "v1",
    ) -> None:
        #: Version of its software, which each event names.
        self.software = software
        self.fault_injector = AnswerFaultInjector(replica_id)
        #: The notices of each incarnation, the newest last.
        self.notices_by_incarnation = [NoticeEmitter()]
        self._store = store
        self.replica_id = replica_id
        self._service = service
        self._zone = zone
        self._model = model
        self.weights_version = 1
        self.sequence = 0
        self.fence = 0
        self.loading = False
        self.running = 0
        self.prefill_tokens_per_s = 40_000.0
        self.token_interval_s = 0.004
        self.load_duration_s = 0.1
        #: Ids of the requests that ran here, in order of arrival.
        self.ran: list[str] = []
        #: Orders in order of arrival, and generations in order of their start.
        self.orders: list[ReceivedOrder] = []
        self.generations: list[Generation] = []
        #: Truncate the next stream inside this event; 0: no truncation.
        self.truncate_at_event = 0
        #: Share of the streams that are truncated after some of their events.
        self.truncated_share = 0.0
        self._generator = random.Random(replica_id)
        #: Share of the answers in which one part never ends; they have draws of their own.
        self.endless_share = 0.0
        self._endless_generator = random.Random(f"{replica_id}/endless")
        #: The kind of request that crashes this replica, and its runs here.
        self.fatal_request: FatalRequest | None = None
        #: Bounds the requests that it admits; None: all.
        self.room: BrittleRoom | None = None
        self.fatal_runs: list[FatalRun] = []
        self.started_at_ms = 0
        #: Whether its entries are held back, as in an outage of the store.
        self.holds_entry_back = False
        #: Whether its entries and reports name the start time.
        self.states_start = True
        #: Reports asked for, and the delay of their answers in seconds.
        self.reports = 0
        self.report_delay_s = 0.0
        #: The status of its reports.
        self.report_status = 200
        self._http = HttpServer(self._handle)
        self._is_crashing = False
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self._loading_task: asyncio.Task[None] | None = None
        self._stopped = False
        self._is_listening = False

    @property
    def address(self) -> str:
        """The address that it listens on; empty before the first start."""
        return self._http.address

    @property
    def notices(self) -> NoticeEmitter:
        """The notices of the current incarnation."""
        return self.notices_by_incarnation[-1]

    async def start(self) -> None:
        """Listen and write the entry; the address stays the same after a crash."""
        self._is_listening = True
        self.started_at_ms = max(self.started_at_ms + 1, int(time.time() * 1000))
        await self._http.start()
        self.announce("ready")

    async def stop(self) -> None:
        """Stop for good: abort the connections and remove the entry."""
        self._stopped = True
        (await self.crash()).lapse()

    async def crash(self) -> StaleEntry:
        """Abort the connections and any load; return the entry, which stays until it lapses."""
        self._is_listening = False
        await self._http.stop()
        if self._loading_task is not None:
            self._loading_task.cancel()
        self.loading = False
        key = f"servers/{self.replica_id}"
        return StaleEntry(self._store, key, (self._store.get_text(key) or "").encode())

    async def restart(self, *, keeps_id: bool = False) -> None:
        """Start a new incarnation after a crash, unless the replica was stopped or restarted.

        The incarnation has a new id, unless ``keeps_id`` is set.
        """
        if self._stopped or self._is_listening:
            return
        if not keeps_id:
            self.replica_id += "'"
        self.sequence = 0
        self.fence = 0
        self.notices_by_incarnation.append(NoticeEmitter())
        await self.start()

    def blackhole_open_connections(self) -> None:
        """Drop all further requests and answers on the connections that are open now."""
        self._http.blackhole_open_connections()

    def announce(self, state: str) -> None:
        """Write the entry with a state to the store."""
        models = [{"Name": self._model, "Version": self.weights_version}] if self._model else []
        entry = {
            "Service": self._service,
            "Address": self.address,
            "Zone": self._zone,
            "Version": self.software,
            "Slots": 16,
            "State": state,
            "Models": models,
            "Sequence": 1,
        } | self._start()
        if not self.holds_entry_back:
            self._store.put(f"servers/{self.replica_id}", entry)

    def _start(self) -> dict[str, int]:
        return {"born": self.started_at_ms} if self.states_start else {}

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/report":
            await self._answer_report(writer)
            return True
        if request.path == "/order":
            write_answer(writer, self._order(request), headers=self.notices.headers())
            return True
        refusal = self._refusal(request)
        if refusal:
            headers = {"X-Not-Executed": "1", "X-Instance-Id": self.replica_id}
            write_answer(writer, refusal, headers=headers | self.notices.headers())
            return True
        if self.room is not None and not self.room.has_room(self.running):
            return self._reject(self.room, request, writer)
        self.notices.record_arrival(request)
        if self.notices.backoff_s is not None:
            headers = {"X-Request-Id": request.headers["x-request-id"]} | self.notices.headers()
            write_answer(writer, 503, headers=headers | self.notices.refuse_with_backoff(request))
            return True
        return await self._run(request, writer)

    def _reject(self, room: BrittleRoom, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Reject a request for want of room; fall over if that happens too often."""
        if room.reject(asyncio.get_running_loop().time()):
            task = asyncio.create_task(self._fall())
            self._crash_tasks.add(task)
            task.add_done_callback(self._crash_tasks.discard)
            return False
        headers = {"X-Not-Executed": "1", "X-Request-Id": request.headers["x-request-id"]}
        write_answer(writer, 503, headers=headers | self.notices.headers())
        return True

    async def _fall(self) -> None:
        """Crash, and come back under a new id."""
        brittle_per_s = self.notices.brittle_per_s
        entry = await self.crash()
        entry.lapse()
        await asyncio.sleep(FALL_S)
        await self.restart()
        self.notices.brittle_per_s = brittle_per_s

    async def _answer_report(self, writer: asyncio.StreamWriter) -> None:
        self.reports += 1
        if self.report_delay_s:
            await asyncio.sleep(self.report_delay_s)
        body = json.dumps(self._report()).encode()
        write_answer(writer, self.report_status, body, self.notices.headers())

    def _report(self) -> dict[str, Any]:
        models = [{"Name": self._model, "Version": self.weights_version, "Adapters": []}]
        return {
            "Stage": "both",
            "Models": models if self._model else [],
            "Busy": self.loading,
            "Sequence": self.sequence,
            "Waiting": 0,
            "Running": self.running,
        } | self._start()

    def _order(self, request: Request) -> int:
        if self._is_misdirected(request):
            return 421
        order = json.loads(request.body)
        now_s = asyncio.get_running_loop().time()
        self.orders.append(ReceivedOrder(now_s, order["Holder"], order["FencingToken"]))
        if order["FencingToken"] < self.fence:
            return 412
        if self.loading or order.get("Expected", self.sequence) != self.sequence:
            return 409
        self.fence = order["FencingToken"]
        if order["Version"] == self.weights_version:
            return 200
        self.sequence += 1
        self.loading = True
        self._loading_task = asyncio.create_task(self._load(order["Version"]))
        return 202

    async def _load(self, version: int) -> None:
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(self.load_duration_s)
        self.weights_version = version
        self.loading = False
        self.announce("ready")

    def _is_misdirected(self, request: Request) -> bool:
        return request.headers.get("x-expected-instance", self.replica_id) != self.replica_id

    def _refusal(self, request: Request) -> int:
        if self._is_misdirected(request):
            return 421
        expected = request.headers.get("x-expected-version")
        if expected is not None and int(expected) != self.weights_version:
            return 421
        return 503 if self.loading else 0

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        arrived_s = asyncio.get_running_loop().time()
        self.running += 1
        self.ran.append(request.headers["x-request-id"])
        try:
            if self.fatal_request is not None and self.fatal_request.matches(request):
                return await self._crash_under(self.fatal_request, request, writer)
            if self._endless_generator.random() < self.endless_share:
                part = self._endless_generator.choice(list(EndlessPart))
                await write_endless_answer(part, request, writer, ENDLESS_BYTES_PER_S)
                return False
            fault = self.fault_injector.draw_fault()
            if fault is ReplicaFault.FAILS:
                write_answer(writer, 500, b"spoiled", self._answer_headers(request))
                return True
            if fault is ReplicaFault.SLOW:
                await asyncio.sleep(SLOW_ANSWER_DELAY_S)
            if self._model:
                return await self._stream(request, writer, arrived_s)
            headers = self._answer_headers(request)
            write_answer(writer, 200, b"done by " + self.replica_id.encode(), headers)
            return True
        finally:
            self.running -= 1
            if self.room is not None:
                self.room.runs_s.append(asyncio.get_running_loop().time() - arrived_s)

    async def _crash_under(
        self, fatal: FatalRequest, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Crash the replica after a delay and restart it later; never complete the answer."""
        now_s = asyncio.get_running_loop().time()
        parts = fatal.parts.intersection(shared_part_ids(request))
        run = FatalRun(request.body, request.headers["x-request-id"], now_s, parts=parts)
        self.fatal_runs.append(run)
        if not self._is_crashing:
            self._is_crashing = True
            task = asyncio.create_task(self._crash_and_restart(fatal, run))
            self._crash_tasks.add(task)
            task.add_done_callback(self._crash_tasks.discard)
        if fatal.closes_in_order:
            await asyncio.sleep(fatal.crash_after_s * 0.9)
            self._write_unframed_event(request, writer)
            return False
        await asyncio.Event().wait()
        return False

    def _write_unframed_event(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Write an answer with neither a length nor chunks, up to its first event."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self._answer_headers(request).items()]
        lines += [f"X-Weight-Versions: {self.weights_version}", "", ""]
        writer.write("\r\n".join(lines).encode())
        writer.write(b"id: 1\ndata: piece of %b\n\n" % self.software.encode())

    async def _crash_and_restart(self, fatal: FatalRequest, run: FatalRun) -> None:
        await asyncio.sleep(fatal.crash_after_s)
        run.crashed_at_s = asyncio.get_running_loop().time()
        entry = await self.crash()
        # The replica may be restarted by others before its delay is over, and can crash again.
        self._is_crashing = False
        if not fatal.keeps_id:
            asyncio.get_running_loop().call_later(fatal.entry_lapses_after_s, entry.lapse)
        await asyncio.sleep(fatal.restart_after_s)
        await self.restart(keeps_id=fatal.keeps_id)

    def _answer_headers(self, request: Request) -> dict[str, str]:
        return {
            "X-Request-Id": request.headers["x-request-id"],
            "X-Server-Signature": f"signed.{self.replica_id}",
        } | self.notices.headers(request)

    def _draw_truncation(self, first: int, last: int) -> int:
        """Return the event inside which the next stream is truncated; 0: none."""
        at_event, self.truncate_at_event = self.truncate_at_event, 0
        if at_event or first >= last or self._generator.random() >= self.truncated_share:
            return at_event
        return self._generator.randrange(first + 1, last + 1)

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, arrived_s: float
    ) -> bool:
        tokens_in, _, tokens_out = request.headers["x-token-usage"].partition(",")
        await asyncio.sleep(int(tokens_in) / self.prefill_tokens_per_s)
        if writer.is_closing():
            return False
        name = request.headers["x-request-id"]
        started_s = asyncio.get_running_loop().time()
        generation = Generation(name, self.replica_id, self.weights_version, arrived_s, started_s)
        self.generations.append(generation)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self._answer_headers(request).items()]
        lines += [
            f"X-Weight-Versions: {self.weights_version}",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        truncate_at = self._draw_truncation(first, int(tokens_out))
        for number in range(first, int(tokens_out) + 1):
            await asyncio.sleep(self.token_interval_s)
            event = b"id: %d\ndata: piece of %b\n\n" % (number, self.software.encode())
            if number == truncate_at:
                writer.write(b"%x\r\n%b" % (len(event), event[:7]))
                await writer.drain()
                return False
            if not self._http.is_blackholed(writer):
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        if not self._http.is_blackholed(writer):
            writer.write(b"0\r\n\r\n")
        return True
