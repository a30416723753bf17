"""The origins of streams are found by any daemon, after deaths, stops, losses and partitions."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable

import msgspec

from tests.stream_origin_fleet import STABILIZATION_S, Findings, StreamFleet, attempt
from tests.virtual_loop import run_virtually
from winchfork.core.software_history import SoftwareHistory
from winchfork.core.stream_origin import RECORD_COPIES, StreamOrigin
from winchfork.errors import Failure
from winchfork.router.peer_messages import StreamOriginQuery, StreamOriginReport
from winchfork.router.stream_origin_exchange import QUERY_INTERVAL_S, QUERY_ROUNDS
from winchfork.router.stream_origins import stream_lifetime_s

SMALL, LARGE = 7, 24
STREAMS = 60
#: Of resumed streams, the share that has to go on.
MIN_FOUND_SHARE = 0.5
LONGEST_SEARCH_S = QUERY_ROUNDS * QUERY_INTERVAL_S + 0.01


class StreamOriginExchangeTest(unittest.TestCase):
    def run_fleet(self, daemons: int, scenario: Callable[[StreamFleet], Awaitable[None]]) -> None:
        async def main() -> None:
            fleet = StreamFleet(daemons)
            await asyncio.sleep(STABILIZATION_S)
            await scenario(fleet)

        run_virtually(main())

    def assert_found(self, findings: Findings, share: float = MIN_FOUND_SHARE) -> None:
        self.assertEqual(findings.wrong, 0)
        self.assertGreaterEqual(findings.found_share, share, findings)
        self.assertLessEqual(findings.longest_s, LONGEST_SEARCH_S)

    def test_every_daemon_finds_every_stream(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            fleet.begin(STREAMS)
            await asyncio.sleep(0.01)
            self.assert_found(await fleet.continue_all(), 1.0)

        for daemons in (2, SMALL, LARGE):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_streams_are_found_after_many_daemons_have_died_at_once(self) -> None:
        """Guards against records that die with the daemon that began the stream."""

        async def scenario(fleet: StreamFleet) -> None:
            fleet.begin(STREAMS)
            await asyncio.sleep(0.01)
            for daemon in fleet.generator.sample(fleet.daemons, len(fleet.daemons) * 3 // 7):
                fleet.replace(daemon)
            await asyncio.sleep(1.0)
            self.assert_found(await fleet.continue_all(), 0.75)

        for daemons in (SMALL, LARGE):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_streams_are_found_after_a_zone_has_died(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            fleet.begin(STREAMS)
            await asyncio.sleep(0.01)
            lost = [item for item in fleet.daemons if item.state.settings.zone == "z1"]
            for daemon in lost:
                daemon.kill(fleet.network)
                fleet.daemons.remove(daemon)
            self.assert_found(await fleet.continue_all(), 1.0)

        for daemons in (SMALL, LARGE):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_streams_are_found_after_every_daemon_was_stopped_in_turn(self) -> None:
        """Guards against records that a planned stop loses."""

        async def scenario(fleet: StreamFleet) -> None:
            fleet.begin(STREAMS)
            for daemon in list(fleet.daemons):
                await asyncio.sleep(2.0)
                fleet.stop_as_planned(daemon)
            await asyncio.sleep(1.0)
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_records_move_to_other_daemons_when_their_holders_die_one_by_one(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            first = fleet.daemons[0]
            fleet.begin(STREAMS, [first])
            for daemon in fleet.daemons[1:]:
                await asyncio.sleep(2.0)
                fleet.replace(daemon)
            await asyncio.sleep(2.0)
            first.kill(fleet.network)
            fleet.daemons.remove(first)
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_streams_of_a_daemon_that_knew_no_peer_yet_are_found(self) -> None:
        """Guards against records that are sent nowhere right after a start."""

        async def scenario(fleet: StreamFleet) -> None:
            started = fleet.replace(fleet.daemons[0])
            fleet.begin(STREAMS, [started])
            await asyncio.sleep(3.0)
            started.kill(fleet.network)
            fleet.daemons.remove(started)
            self.assert_found(await fleet.continue_all(), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_a_daemon_that_has_just_started_does_not_call_a_stream_unknown_for_good(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            started = fleet.replace(fleet.daemons[0])
            found = await started.state.stream_origins.find(attempt("again", "never"))
            assert isinstance(found, Failure) and found.retry_after_s is not None
            self.assertLess(found.retry_after_s, 1.0)

        self.run_fleet(SMALL, scenario)

    def test_a_record_goes_before_the_only_version_that_is_listed(self) -> None:
        """Guards against a stream that a daemon with an older list began at another version."""

        async def scenario(fleet: StreamFleet) -> None:
            for daemon in fleet.daemons:
                for replica in daemon.state.fleet.replicas():
                    replica.listing = msgspec.structs.replace(replica.listing, software="v1")
                daemon.state.software_tracker.history = SoftwareHistory()
                daemon.state.software_tracker.history.seed({"s": ["v1"]}, daemon.state.clock())
            fleet.begin(STREAMS)
            await asyncio.sleep(0.01)
            self.assert_found(await fleet.continue_all(), 1.0)
            found = await fleet.daemons[0].state.stream_origins.find(attempt("again", "never"))
            self.assertEqual(found, StreamOrigin("s", "v1"))

        for daemons in (SMALL, LARGE):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_streams_are_found_while_a_fifth_of_the_datagrams_are_lost(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            fleet.network.drop = lambda sender, receiver: fleet.generator.random() < 0.2
            fleet.begin(STREAMS)
            await asyncio.sleep(0.1)
            self.assert_found(await fleet.continue_all(), 0.9)

        for daemons in (SMALL, LARGE):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_peers_that_have_not_replied_are_asked_again(self) -> None:
        """Guards against a stream that is refused for one lost datagram."""

        async def scenario(fleet: StreamFleet) -> None:
            asker = fleet.daemons[0]
            fleet.begin(1, fleet.daemons[1:])
            until_s = asker.state.clock() + 1.5 * QUERY_INTERVAL_S
            fleet.network.drop = lambda sender, receiver: (
                sender == asker.ip and asker.state.clock() < until_s
            )
            self.assert_found(await fleet.continue_all([asker]), 1.0)

        for daemons in (SMALL, LARGE):
            with self.subTest(daemons=daemons):
                self.run_fleet(daemons, scenario)

    def test_a_continued_stream_stays_known(self) -> None:
        """Guards against a third attempt that comes after the first one's record has expired."""

        async def scenario(fleet: StreamFleet) -> None:
            fleet.begin(1)
            again = attempt("again", "stream-0")
            await asyncio.sleep(stream_lifetime_s(again) - 1.0)
            daemon = fleet.daemons[0]
            origin = await daemon.state.stream_origins.find(again)
            assert isinstance(origin, StreamOrigin)
            daemon.state.stream_origins.record(again, origin)
            await asyncio.sleep(5.0)
            self.assert_found(await fleet.continue_all(), 1.0)

        self.run_fleet(SMALL, scenario)

    def test_a_daemon_that_reaches_no_peer_refuses_in_time(self) -> None:
        """Guards against a guess, and a long wait, behind a partition."""

        async def scenario(fleet: StreamFleet) -> None:
            alone = fleet.daemons[0]
            fleet.network.drop = lambda sender, receiver: alone.ip in (sender, receiver)
            fleet.begin(STREAMS, fleet.daemons[1:])
            await asyncio.sleep(0.1)
            findings = await fleet.continue_all([alone])
            self.assertEqual((findings.found, findings.wrong), (0, 0))
            self.assertLessEqual(findings.longest_s, LONGEST_SEARCH_S)
            found = await alone.state.stream_origins.find(attempt("again", "stream-0"))
            assert isinstance(found, Failure) and found.retry_after_s is not None
            self.assertLess(found.retry_after_s, 1.0)

        self.run_fleet(SMALL, scenario)

    def test_a_stream_that_no_daemon_knows_is_refused_without_a_wait(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            loop = asyncio.get_running_loop()
            asked_at_s = loop.time()
            found = await fleet.daemons[0].state.stream_origins.find(attempt("again", "never"))
            self.assertIsInstance(found, Failure)
            self.assertLess(loop.time() - asked_at_s, QUERY_INTERVAL_S)

        self.run_fleet(SMALL, scenario)

    def test_daemons_of_an_earlier_build_are_passed_over(self) -> None:
        """Guards against a fleet in the middle of an upgrade, whose first half ignores records."""

        async def scenario(fleet: StreamFleet) -> None:
            for daemon in fleet.daemons[::2]:
                for ignored in (StreamOriginReport, StreamOriginQuery):
                    daemon.peers.register_handler(ignored, lambda message: None)
            current = fleet.daemons[1::2]
            fleet.begin(STREAMS, current)
            await asyncio.sleep(0.1)
            self.assert_found(await fleet.continue_all(current), 0.9)

        self.run_fleet(SMALL, scenario)

    def test_a_begun_stream_costs_one_datagram_for_each_holder(self) -> None:
        async def scenario(fleet: StreamFleet) -> None:
            sent: list[bytes] = []
            fleet.network.on_sent = lambda sender, receiver, data: sent.append(data)
            fleet.begin(1)
            self.assertEqual(len(sent), RECORD_COPIES)
            self.assertLess(max(len(data) for data in sent), 100)

        self.run_fleet(LARGE, scenario)
