"""Measures what it costs to keep the origins of streams in a large fleet, without sockets.

    python -m benchmarks.stream_origins [--daemons N] [--streams N]

Daemons that know each other begin streams, and are asked for them after a share of all daemons has
lost its state, and with datagrams lost. Printed are the datagrams and bytes of one stream, the
processor time for a begun stream and for a received record, how many streams were found, and the
longest search in virtual time.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from collections.abc import Iterable
from typing import Any

from tests.stream_origin_fleet import attempt
from tests.virtual_loop import run_virtually
from winchfork.cluster.wire import PeerCodec
from winchfork.core.member import Member
from winchfork.core.stream_origin import StreamOrigin, StreamOriginTable
from winchfork.core.zone_hubs import FleetView
from winchfork.errors import Failure
from winchfork.logs import configure_logs
from winchfork.router.peer_messages import (
    PEER_MESSAGE_TYPES,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginReport,
)
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.stream_origin_exchange import StreamOriginExchange

ZONES = 6
#: One-way delay in seconds.
DELAY_S = 0.0014
LOST_SHARES = (0.0, 0.1, 0.3)
DEAD_SHARES = (0.0, 0.1, 0.5)
VERSIONS = ("v1", "v1.1", "v1.2")
CODEC = PeerCodec(b"stream origins", PEER_MESSAGE_TYPES)


class Network:
    """Delivers messages between daemons by address, and counts them."""

    def __init__(self, lost_share: float) -> None:
        self.lost_share = lost_share
        self.generator = random.Random(1)
        self.daemons: dict[str, HollowDaemon] = {}
        self.datagrams = 0
        self.bytes = 0

    def deliver(self, address: str, data: bytes) -> None:
        """Deliver a datagram after the delay, unless it is lost."""
        self.datagrams += 1
        self.bytes += len(data)
        if self.generator.random() >= self.lost_share:
            daemon = self.daemons[address]
            asyncio.get_running_loop().call_later(DELAY_S, daemon.receive, data)


class HollowDaemon:
    """One daemon's state and exchange, with a fixed view of all members."""

    def __init__(self, network: Network, own: Member, members: list[Member]) -> None:
        self.view = FleetView.of(own, members)
        self._network = network
        settings = RouterSettings(own.member_id, own.zone, "g", "", "", "", "")
        loop = asyncio.get_running_loop()
        self.state = RouterState(settings, loop.time, random.Random(own.member_id))
        self.exchange = StreamOriginExchange(self.state, self)
        self._handlers: dict[type, Any] = {
            StreamOriginReport: self.exchange.handle_report,
            StreamOriginQuery: self.exchange.handle_query,
            StreamOriginReply: self.exchange.handle_reply,
        }

    def send(self, address: str, message: Any) -> None:
        """Send one message."""
        data = CODEC.encode(message)
        assert isinstance(data, bytes)
        self._network.deliver(address, data)

    def send_each(self, receivers: Iterable[Member], message: Any) -> None:
        """Send one message to several members."""
        data = CODEC.encode(message)
        assert isinstance(data, bytes)
        for receiver in receivers:
            self._network.deliver(receiver.peer_address, data)

    def broadcast(self, message: Any) -> None:
        """Not used by the exchange."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Handle a datagram."""
        message = CODEC.decode(data)
        assert not isinstance(message, Failure)
        self._handlers[type(message)](message)


async def measure(count: int, streams: int, lost_share: float, dead_share: float) -> None:
    """Begin streams, lose state and datagrams, and print what is found."""
    network = Network(lost_share)
    members = [
        Member(f"n{number}", f"z{number % ZONES}", f"10.0.0.1:{number}", "", 1)
        for number in range(count)
    ]
    for member in members:
        network.daemons[member.peer_address] = HollowDaemon(network, member, members)
    daemons = list(network.daemons.values())
    generator = random.Random(2)
    origins = [StreamOrigin("s", generator.choice(VERSIONS)) for _ in range(streams)]
    started_s = time.perf_counter()
    for number, origin in enumerate(origins):
        generator.choice(daemons).state.stream_origins.record(attempt(f"stream-{number}"), origin)
    begin_us = (time.perf_counter() - started_s) / streams * 1e6
    datagrams, sent_bytes = network.datagrams / streams, network.bytes / streams
    started_s = time.perf_counter()
    await asyncio.sleep(1.0)
    receive_us = (time.perf_counter() - started_s) / network.datagrams * 1e6
    for daemon in generator.sample(daemons, int(dead_share * count)):
        daemon.state.stream_origins.table = StreamOriginTable()
    found = wrong = 0
    longest_s = 0.0
    loop = asyncio.get_running_loop()
    for number, origin in enumerate(origins):
        asker = generator.choice(daemons).state.stream_origins
        asked_at_s = loop.time()
        answer = await asker.find(attempt(f"again-{number}", f"stream-{number}"))
        longest_s = max(longest_s, loop.time() - asked_at_s)
        found += answer == origin
        wrong += isinstance(answer, StreamOrigin) and answer != origin
    print(
        f"{count} daemons, {lost_share:.0%} lost, {dead_share:.0%} without state: "
        f"{datagrams:.1f} datagrams and {sent_bytes:.0f} bytes a stream, {begin_us:.0f} us to "
        f"begin, {receive_us:.0f} us a received record; found {found} of {streams}, "
        f"wrong {wrong}, longest {longest_s * 1000:.0f} ms",
        flush=True,
    )


def main() -> None:
    """Parse the arguments and measure."""
    parser = argparse.ArgumentParser(prog="benchmarks.stream_origins", description=__doc__)
    parser.add_argument("--daemons", type=int, default=420)
    parser.add_argument("--streams", type=int, default=1000)
    arguments = parser.parse_args()
    configure_logs("error")
    for lost_share in LOST_SHARES:
        for dead_share in DEAD_SHARES:
            run_virtually(measure(arguments.daemons, arguments.streams, lost_share, dead_share))


if __name__ == "__main__":
    main()
