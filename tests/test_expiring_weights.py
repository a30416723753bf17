"""A prompt that waits at its replica must not begin after the replica's weights have expired."""

from __future__ import annotations

import asyncio
import math
import random
import unittest

from tests.large_fleet import LargeFleet, run_in_large_fleet
from tests.virtual_loop import run_virtually
from winchfork.core.prompt_parts import Prompt
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.weight_rollout import VersionHistory
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState

MODEL = "m"
SLOTS = 16
PREFILL_TOKENS_PER_S = 38_400.0
#: Mean run time of a busy fleet.
RUN_S = 2.5


def named_so_that_expires_in(state: RouterState, left_s: float) -> None:
    """Name version 2 so that version 1 expires in ``left_s``."""
    history = state.weights_versions[MODEL] = VersionHistory()
    history.add(2, state.clock() - state.settings.bounds.weights_s + left_s)


def last_start_s(requests: int, prompt_tokens: int) -> float:
    """Return when the last of the requests that arrive at once at an idle replica begins."""
    prefill_s = requests * prompt_tokens / PREFILL_TOKENS_PER_S
    return prefill_s + (math.ceil(requests / SLOTS) - 1) * RUN_S


class FullReplicaTest(unittest.TestCase):
    def candidates(self, left_s: float, running: int, run_s: float = RUN_S) -> list[RelayReplica]:
        """Return the candidates among a replica that has ``running`` requests, and no other."""

        async def main() -> list[RelayReplica]:
            loop = asyncio.get_running_loop()
            settings = RouterSettings("n1", "z1", "g", "", "", "", "")
            state = RouterState(settings, loop.time, random.Random(1))
            state.mean_run_s = run_s
            listing = ReplicaListing("i-1", "s", "a:1", "z1", SLOTS, True, {MODEL: 1})
            replica = state.fleet.install(listing)
            replica.peer_in_flight = running
            named_so_that_expires_in(state, left_s)
            return state.replica_selector.candidates("s", set(), Prompt(MODEL, (), 600))

        return run_virtually(main())

    def test_a_prompt_that_would_wait_for_a_slot_is_not_sent_shortly_before_the_expiry(
        self,
    ) -> None:
        queueing = 12
        wait_s = queueing / SLOTS * RUN_S
        self.assertFalse(self.candidates(wait_s, SLOTS + queueing))

    def test_a_prompt_is_not_sent_where_it_would_wait_longer_than_the_weights_are_valid(
        self,
    ) -> None:
        queueing = 4 * SLOTS
        self.assertFalse(self.candidates(queueing / SLOTS * RUN_S - 1.0, SLOTS + queueing))

    def test_a_replica_with_free_slots_is_used_until_shortly_before_the_expiry(self) -> None:
        self.assertTrue(self.candidates(1.0, SLOTS // 2))

    def test_a_queue_of_long_runs_closes_no_replica_that_works_it_off_in_time(self) -> None:
        """Guards against a fleet without candidates right after a version was named."""
        self.assertTrue(self.candidates(7.9, SLOTS + 8, run_s=10.0))


class ManySendersTest(unittest.TestCase):
    PROMPT = Prompt(MODEL, (), 3_300)

    def replicas(self, fleet: LargeFleet, count: int, left_s: float) -> None:
        """Give each daemon ``count`` replicas whose weights expire in ``left_s``."""
        for daemon in fleet.daemons:
            daemon.state.mean_run_s = RUN_S
            for number in range(count):
                daemon.state.fleet.install(
                    ReplicaListing(
                        f"i-{number}",
                        "s",
                        f"b:{number}",
                        f"z{number % 3 + 1}",
                        SLOTS,
                        True,
                        {MODEL: 1},
                    )
                )
            named_so_that_expires_in(daemon.state, left_s)

    def test_all_daemons_that_send_at_once_to_the_only_free_replica_are_served_in_time(
        self,
    ) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            left_s = 1.8
            self.replicas(fleet, 20, left_s)
            senders = 0
            for daemon in fleet.daemons:
                state = daemon.state
                for replica in state.fleet.of_service("s"):
                    if replica.replica_id != "i-7":
                        replica.loading_until_s = state.clock() + 1.0
                senders += len(state.replica_selector.candidates("s", set(), self.PROMPT))
            self.assertGreater(senders, 0)
            self.assertLess(last_start_s(senders, self.PROMPT.prompt_tokens), left_s)

        run_in_large_fleet(scenario)

    def test_every_daemon_has_a_replica_while_all_weights_expire_soon(self) -> None:
        async def scenario(fleet: LargeFleet) -> None:
            for count in (6, 20, 60):
                self.replicas(fleet, count, 2.5)
                for daemon in fleet.daemons:
                    selector = daemon.state.replica_selector
                    self.assertTrue(selector.candidates("s", set(), Prompt(MODEL, (), 600)))

        run_in_large_fleet(scenario)
