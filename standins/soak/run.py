"""One run of the soak with one seed: starts all parts, injects faults and checks guarantees."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path

from standins.deployment import ZONES, PlatformStandins, WeightsTiming
from standins.limit_checks import check_limits
from standins.notice_checks import check_notices
from standins.soak.callers import Callers
from standins.soak.checks import (
    check_commands,
    check_orders,
    check_stream,
    check_unrelated_refusals,
)
from standins.soak.disruptions import DisruptionLog
from standins.soak.endless_answers import MemoryWatch, prepare_endless_answers
from standins.soak.fatal_parts import FATAL_PARTS, FatalPartCallers, check_fatal_parts
from standins.soak.fatal_requests import FatalCallers, check_fatal_requests, prepare_replicas
from standins.soak.faults.context import FaultContext
from standins.soak.faults.foreign_entries import ForeignEntries
from standins.soak.faults.peer_faults import PeerFaults
from standins.soak.faults.process_faults import ProcessFaults
from standins.soak.faults.replica_faults import ReplicaFaults
from standins.soak.faults.software_faults import SoftwareFaults
from standins.soak.faults.store_faults import StoreFaults
from standins.soak.lanes import Lane
from standins.soak.network_partition import PARTITION_FILE_NAME, NetworkPartition
from standins.soak.operators import Operators
from standins.soak.replica_partition import REPLICA_PARTITION_NAME, ReplicaPartition
from standins.soak.resuming_streams import ResumingStreams
from standins.soak.routers import SoakRouter
from standins.soak.weights_checks import (
    FINAL_BOUND_FACTOR,
    describe_late,
    late_generations,
    replicas_behind,
)

#: Time within which every router must serve at the start and after the last fault.
RECOVERY_S = 20.0
#: The routers' default contact time.
CONTACT_S = 3.0
#: Short enough for many weight versions within a run of a minute.
WEIGHTS_TIMING = WeightsTiming(version_bound_s=4.0, load_duration_s=0.4)
#: Maximum pauses between the faults of each lane.
PROCESS_PAUSE_S = 2.0
LEADER_PAUSE_S = 6.0
REPLICA_PAUSE_S = 3.0
CONNECTION_PAUSE_S = 12.0
STORE_PAUSE_S = 12.0
ENTRY_PAUSE_S = 4.0
NOTICE_PAUSE_S = 5.0
LIMIT_PAUSE_S = 6.0
PEER_PAUSE_S = 12.0
#: Maximum start delay, as a share of the run, of lanes whose faults suspend all time bounds.
STORE_DELAY_SHARE = 0.7


class Soak:
    """One run of the soak; ``violations`` holds a line for each guarantee that was broken.

    With ``fatal_parts`` some requests have a prompt part that crashes replicas, with
    ``endless_answers`` some answers have a part that never ends. With ``mixed_software`` replicas
    of several versions serve side by side, and no rollout of software is ordered.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        first_tree: Path | None = None,
        *,
        mixed_software: bool = False,
        fatal_parts: bool = False,
        endless_answers: bool = False,
    ) -> None:
        self._mixed_software = mixed_software
        self._seed = str(seed)
        self._seconds = seconds
        self._folder = folder
        self._replica_partition = ReplicaPartition(folder / REPLICA_PARTITION_NAME)
        contracts = "base" if mixed_software else "base,rollout"
        self._platform = PlatformStandins(WEIGHTS_TIMING, contracts)
        self._routers = [
            SoakRouter(self._platform, number, zone, folder, first_tree)
            for number, zone in enumerate(ZONES, start=1)
        ]
        self._callers = Callers(self._routers, self._seed)
        self._resuming = ResumingStreams(self._routers, self._seed)
        self._fatal_callers = FatalCallers(self._routers, self._generator("fatal requests"))
        generator = self._generator("ends of replicas")
        parts = frozenset(FATAL_PARTS) if fatal_parts else frozenset()
        prepare_replicas(self._platform.model_replicas, generator, parts)
        self._fatal_parts = fatal_parts
        if endless_answers:
            prepare_endless_answers(self._platform)
        self._memory = MemoryWatch(self._routers)
        self._part_callers = FatalPartCallers(self._routers, self._generator("fatal parts"))
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []

    @property
    def outcomes(self) -> Counter[str]:
        """Counts of answers and rollouts by their outcome."""
        return self._callers.outcomes + self._resuming.outcomes

    @property
    def peak_memory_mb(self) -> float:
        """The most memory that a router's process has occupied."""
        return self._memory.peak_mb

    async def run(self) -> None:
        """Run callers and faults, wait for the recovery and check; kill all routers at the end."""
        watching = asyncio.create_task(self._memory.run())
        try:
            await self._run()
        finally:
            watching.cancel()
            for router in self._routers:
                router.kill()

    async def _run(self) -> None:
        await self._platform.start()
        self._replica_partition.write({}, self._platform.replica_addresses())
        for router in self._routers:
            await router.prepare()
            await router.start()
        await self._expect_service("at the start")
        self._callers.start()
        if self._mixed_software:
            self._resuming.start()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._seconds
        disruptions = DisruptionLog(CONTACT_S, loop.time, self._log_line)
        operators = Operators(
            self._platform,
            self._seed,
            until_s,
            self._log_line,
            orders_software=not self._mixed_software,
        )
        replicas = ReplicaFaults(self._platform, self._generator("replicas struck"), self._log_line)
        lanes = self._lanes(disruptions, replicas)
        await asyncio.gather(
            operators.run(),
            self._fatal_callers.run(until_s),
            self._part_callers.run(self._seconds if self._fatal_parts else 0.0),
            *(lane.run(self._generator(lane.name), until_s, self.faults) for lane in lanes),
        )
        # No process fault follows: a restarted router would have lost what it knew of the replica.
        await replicas.crash_with_late_entry(self._platform.model_rollouts)
        self._log_line("healed")
        await self._expect_newest_weights(operators)
        await self._callers.stop()
        await self._resuming.stop()
        await self._expect_service("after the last fault")
        self._callers.outcomes.update(operators.outcomes)
        self.violations += operators.violations
        self._check_guarantees(disruptions)
        for router in self._routers:
            code = await router.end_process(signal.SIGTERM)
            if code != 0:
                self.violations.append(f"a planned stop ended with {code}")
            await router.proxy.stop()
        await self._platform.stop()

    def _lanes(self, disruptions: DisruptionLog, replicas: ReplicaFaults) -> list[Lane]:
        context = FaultContext(self._routers, self._platform, disruptions)
        leaders = ProcessFaults(context, self._generator("leaders struck"), self.violations)
        processes = ProcessFaults(context, self._generator("processes struck"), self.violations)
        connections = StoreFaults(context, self._generator("connections struck"))
        store = StoreFaults(context, self._generator("store struck"))
        copies = StoreFaults(context, self._generator("store brought back"))
        notices = ReplicaFaults(self._platform, self._generator("words"), self._log_line)
        limits = ReplicaFaults(self._platform, self._generator("limits"), self._log_line)
        entries = ForeignEntries(self._platform.store, self._generator("entries"), self._log_line)
        peers = PeerFaults(
            context,
            self._generator("peers struck"),
            NetworkPartition(self._folder / PARTITION_FILE_NAME),
            self._replica_partition,
        )
        links = PeerFaults(
            context,
            self._generator("links struck"),
            NetworkPartition(self._folder / PARTITION_FILE_NAME),
            self._replica_partition,
        )
        software = SoftwareFaults(self._platform, self._generator("software"), self._log_line)
        delay_s = self._seconds * STORE_DELAY_SHARE
        mixed = Lane(
            "software",
            [
                software.replace_as_planned,
                software.replace_after_a_crash,
                software.return_with_another_version,
            ],
            REPLICA_PAUSE_S,
        )
        lanes = [
            Lane("leaders", [leaders.leader_standstills], LEADER_PAUSE_S),
            Lane(
                "processes",
                [processes.kill, processes.planned_stop, processes.standstill],
                PROCESS_PAUSE_S,
            ),
            Lane(
                "replicas",
                [replicas.crash, replicas.crash_with_late_entry, replicas.torn_streams],
                REPLICA_PAUSE_S,
            ),
            Lane(
                "connections",
                [
                    connections.turned_away,
                    connections.turned_away,
                    connections.resets,
                    connections.silent_connections,
                ],
                CONNECTION_PAUSE_S,
            ),
            Lane(
                "words",
                [notices.leaves_by_its_answers, notices.turn_away_with_a_wait],
                NOTICE_PAUSE_S,
            ),
            Lane("limits", [limits.name_limits], LIMIT_PAUSE_S),
            Lane("entries", [entries.foreign_entry], ENTRY_PAUSE_S),
            Lane("peers", [peers.peers_cut, peers.zone_cut], PEER_PAUSE_S, delay_s),
            Lane("links", [links.without_replicas], PEER_PAUSE_S, delay_s),
            Lane("store", [store.store_down, store.link_cut], STORE_PAUSE_S, delay_s),
            Lane("copies", [copies.comes_back_from_copy], STORE_PAUSE_S, delay_s),
        ]
        return [*lanes, mixed] if self._mixed_software else lanes

    def _generator(self, name: str) -> random.Random:
        """Return a generator for one task, so that its draws do not depend on other tasks."""
        return random.Random(f"{self._seed}/{name}")

    def _log_line(self, what: str) -> None:
        """Append a line to ``soak.log``, in the time format of the routers' logs."""
        time = datetime.now(UTC).isoformat(timespec="milliseconds")
        with (self._folder / "soak.log").open("a") as log:
            log.write(f"time={time} {what}\n")

    async def _expect_service(self, when: str) -> None:
        """Wait until every router answers a stream; record a violation after ``RECOVERY_S``."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + RECOVERY_S
        generator = self._generator(when)
        for router in self._routers:
            while (await self._callers.send_stream(router, generator)).status != 200:
                if loop.time() > deadline_s:
                    self.violations.append(f"{router.address} does not serve {when}")
                    return
                await asyncio.sleep(0.2)

    async def _expect_newest_weights(self, operators: Operators) -> None:
        """Publish a version after the last fault; check that it reaches all current replicas."""
        await asyncio.sleep(CONTACT_S)
        version = await operators.publish_next()
        within_s = FINAL_BOUND_FACTOR * WEIGHTS_TIMING.version_bound_s
        rollouts = self._platform.model_rollouts
        for replica in await replicas_behind(lambda: rollouts.replicas, version, within_s):
            self.violations.append(
                f"VERSION: {replica.replica_id} holds version {replica.weights_version} "
                f"{within_s:.0f} s after version {version}, once healed"
            )

    def _check_guarantees(self, disruptions: DisruptionLog) -> None:
        platform, callers = self._platform, self._callers
        for stream in callers.streams:
            self.violations += check_stream(stream)
        self.violations += self._resuming.violations()
        self.violations += check_commands(callers.commands, platform.all_application_replicas)
        self.violations += check_orders(platform.all_model_replicas)
        replies = [*callers.commands.values(), *(stream.reply for stream in callers.streams)]
        self.violations += check_unrelated_refusals(replies)
        models = platform.all_model_replicas
        self.violations += check_fatal_requests(
            models, self._fatal_callers.senders, disruptions, CONTACT_S
        )
        self.violations += check_fatal_parts(
            models, self._part_callers.senders, disruptions, CONTACT_S
        )
        generations = [
            generation for item in platform.all_model_replicas for generation in item.generations
        ]
        bound_s = WEIGHTS_TIMING.version_bound_s
        published = platform.weights_operator.published
        senders = callers.senders | self._fatal_callers.senders | self._resuming.senders
        senders |= self._part_callers.senders
        emitters = [
            (item.replica_id, notices)
            for item in (*models, *platform.all_application_replicas)
            for notices in item.notices_by_incarnation
        ]
        upgraded_s = {router.number: router.upgraded_at_s for router in self._routers}

        def excused(router: int, from_s: float, until_s: float) -> bool:
            is_earlier_build = from_s < upgraded_s[router]
            return is_earlier_build or disruptions.process_disrupted_between(
                router, from_s, until_s
            )

        self.violations += check_notices(emitters, senders, excused)
        self.violations += check_limits(emitters, senders, excused)
        self.violations += self._memory.violations()
        late = late_generations(generations, published, senders, disruptions, bound_s)
        self.violations += describe_late(late)
