"""Simulates a fleet under tenants' traffic and faults in virtual time, to check quota sharing.

The daemons run the real peer code of router processes on a virtual network. What they admit is
checked against the bound in every window and against an ideal central bucket.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from tests.peer_support import Daemon, Network
from tests.virtual_loop import run_virtually
from winchfork.core.tenant_quota import QuotaTolerance, QuotaUnit, TenantLimit
from winchfork.router.settings import RouterBounds

ZONES = ("z1", "z2", "z3")
TOLERANCE = QuotaTolerance(window_s=8.0, overage=0.1, slack=110_000.0)
#: An isolated daemon refuses every API key from this long after its isolation.
KEYS_EXPIRE_S = 3.85
#: Limit of each tenant in tokens per second.
RATES = (29_000.0, 29_000.0, 50_000.0, 100_000.0, 297_000.0)
#: Ratio of a tenant's limit to its usual rate.
LIMIT_TO_USUAL_RATE = 1.8
#: Mean tokens of large and of small requests, and the share of large ones.
LARGE_TOKENS, SMALL_TOKENS, LARGE_SHARE = 9_200.0, 900.0, 0.35
MEAN_TOKENS = LARGE_SHARE * LARGE_TOKENS + (1.0 - LARGE_SHARE) * SMALL_TOKENS
#: Callers of each tenant, each connected to one daemon.
CALLERS_PER_TENANT = 15
STABILIZATION_S = 16.0


class QuotaSharing(Protocol):
    """Shares quotas among daemons, numbered from 0."""

    def try_acquire(self, daemon: int, tenant: int, cost: float) -> bool:
        """Whether a daemon admits a request."""
        ...

    def set_limit(self, tenant: int, limit: TenantLimit) -> None:
        """Apply a limit on every daemon."""
        ...

    def isolate(self, daemons: Sequence[int]) -> None:
        """Isolate each of these daemons from all others; an empty list ends it."""
        ...

    def partition(self, daemons: Sequence[int]) -> None:
        """Separate these daemons as a group from all others; an empty list ends it."""
        ...

    def kill(self, daemons: Sequence[int]) -> None:
        """Stop daemons without an announcement."""
        ...

    def start(self, daemons: Sequence[int]) -> None:
        """Start daemons without state."""
        ...

    def sent_bytes(self) -> int:
        """Return the bytes that were sent between daemons."""
        ...


class DaemonQuotaSharing:
    """The real daemons, which count usage locally and correct it by their peers' reports."""

    def __init__(
        self, count: int, limits: Sequence[TenantLimit], loss: float, seed: int, delay_s: float
    ) -> None:
        self._limits = {f"tenant-{number}": limit for number, limit in enumerate(limits)}
        self._bounds = RouterBounds(quota=TOLERANCE)
        self._isolated: set[str] = set()
        self._partitioned: set[str] = set()
        self._ended_bytes = 0
        generator = random.Random(seed)
        self._network = Network()
        self._network.delay_s = delay_s
        self._network.drop = lambda sender, receiver: (
            sender in self._isolated
            or receiver in self._isolated
            or (sender in self._partitioned) != (receiver in self._partitioned)
            or generator.random() < loss
        )
        self._daemons: list[Daemon | None] = [None] * count
        self.start(range(count))

    def try_acquire(self, daemon: int, tenant: int, cost: float) -> bool:
        serving = self._daemons[daemon]
        assert serving is not None
        state = serving.state
        refusal = state.quotas.try_acquire(f"tenant-{tenant}", cost, state.clock())
        if refusal is None:
            state.on_work_sent()
        return refusal is None

    def set_limit(self, tenant: int, limit: TenantLimit) -> None:
        self._limits[f"tenant-{tenant}"] = limit
        for daemon in self._daemons:
            if daemon is not None:
                daemon.state.quotas.install(self._limits, daemon.state.clock())

    def isolate(self, daemons: Sequence[int]) -> None:
        self._isolated = _addresses(daemons)

    def partition(self, daemons: Sequence[int]) -> None:
        self._partitioned = _addresses(daemons)

    def kill(self, daemons: Sequence[int]) -> None:
        for number in daemons:
            ending = self._daemons[number]
            if ending is not None:
                self._ended_bytes += ending.peers.sent_bytes
                ending.kill(self._network)
                self._daemons[number] = None

    def start(self, daemons: Sequence[int]) -> None:
        for number in daemons:
            daemon = Daemon(self._network, number + 1, ZONES[number % 3], bounds=self._bounds)
            daemon.state.quotas.install(self._limits, daemon.state.clock())
            self._daemons[number] = daemon

    def sent_bytes(self) -> int:
        return self._ended_bytes + sum(item.peers.sent_bytes for item in self._daemons if item)


def _addresses(daemons: Sequence[int]) -> set[str]:
    return {f"10.0.{(n + 1) // 256}.{(n + 1) % 256}" for n in daemons}


@dataclasses.dataclass
class ScenarioResult:
    """Result of a scenario. ``excess`` is the maximum of units beyond the bound in any window.

    ``lost`` is the sum over tenants of the units that an ideal central bucket admits beyond those
    that the fleet admits; ``expected`` is what that bucket admits in total.
    """

    offered: int = 0
    refused: int = 0
    expected: float = 0.0
    lost: float = 0.0
    excess: float = float("-inf")
    bytes_per_daemon_s: float = 0.0

    @property
    def lost_share(self) -> float:
        """Lost units as a share of the expected ones."""
        return self.lost / max(1.0, self.expected)


class _CentralBucket:
    """The ideal reference: one bucket that sees every request immediately."""

    def __init__(self, limit: TenantLimit, now_s: float) -> None:
        self.limit = limit
        self.admitted = 0.0
        self._available = limit.burst
        self._at_s = now_s

    def try_acquire(self, cost: float, now_s: float) -> bool:
        inflow = self.limit.rate_per_s * (now_s - self._at_s)
        self._available = min(self.limit.burst, self._available + inflow)
        self._at_s = now_s
        if self._available < min(cost, self.limit.burst):
            return False
        self._available -= cost
        self.admitted += cost
        return True


class QuotaScenario:
    """Generates traffic and faults and evaluates the outcome.

    ``load_factor`` multiplies the usual rate of the first and the last tenant.
    """

    def __init__(
        self, sharing: QuotaSharing, count: int, seed: int, load_factor: float = 1.0
    ) -> None:
        self.sharing = sharing
        self.count = count
        self.generator = random.Random(seed)
        self.result = ScenarioResult()
        self.down: set[int] = set()
        self._disconnected_at_s: dict[int, float] = {}
        self._load_factor = load_factor
        self._loop = asyncio.get_running_loop()
        self._limits = [TenantLimit(rate, rate, QuotaUnit.TOKENS, 200.0) for rate in RATES]
        now_s = self._loop.time()
        self._central = [_CentralBucket(limit, now_s) for limit in self._limits]
        #: Limits, each with the time from which it is checked.
        self._limit_history = [[(0.0, limit)] for limit in self._limits]
        self._admitted: list[list[tuple[float, float]]] = [[] for _ in self._limits]
        self._callers = [
            [self.generator.randrange(count) for _ in range(CALLERS_PER_TENANT)]
            for _ in self._limits
        ]

    async def run(
        self, seconds: float, faults: Callable[[QuotaScenario], object]
    ) -> ScenarioResult:
        """Generate traffic for ``seconds``; ``faults`` schedules the faults."""
        faults(self)
        before = self.sharing.sent_bytes()
        until_s = self._loop.time() + seconds
        traffic = [
            asyncio.create_task(self._offer(tenant, until_s)) for tenant in range(len(RATES))
        ]
        await asyncio.gather(*traffic)
        self._evaluate()
        sent = self.sharing.sent_bytes() - before
        self.result.bytes_per_daemon_s = sent / seconds / self.count
        return self.result

    def at(self, delay_s: float, action: Callable[[], object]) -> None:
        """Call ``action`` after ``delay_s``."""
        self._loop.call_later(delay_s, action)

    def pick(self, share: float) -> list[int]:
        """Return a random share of the daemons."""
        return self.generator.sample(range(self.count), max(1, round(share * self.count)))

    def isolate(self, daemons: Sequence[int]) -> None:
        """Isolate daemons; they continue to serve until their keys expire."""
        self._disconnected_at_s = dict.fromkeys(daemons, self._loop.time())
        self.sharing.isolate(daemons)

    def partition(self, daemons: Sequence[int]) -> None:
        """Separate daemons as a group; they continue to serve until their keys expire."""
        self._disconnected_at_s = dict.fromkeys(daemons, self._loop.time())
        self.sharing.partition(daemons)

    def kill(self, daemons: Sequence[int]) -> None:
        """Stop daemons; callers use other ones."""
        self.down |= set(daemons)
        self.sharing.kill(daemons)

    def start(self, daemons: Sequence[int]) -> None:
        """Start daemons again."""
        self.sharing.start(daemons)
        self.down -= set(daemons)

    def concentrate(self, tenant: int) -> None:
        """Connect all callers of a tenant to one daemon."""
        self._callers[tenant] = [self.generator.randrange(self.count)]

    def lower_limit(self, tenant: int, share: float) -> None:
        """Lower a limit; it is checked from one window later."""
        old = self._limits[tenant]
        new = TenantLimit(old.rate_per_s * share, old.burst * share, old.unit, 200.0)
        self._limits[tenant] = new
        self._central[tenant].limit = new
        self._limit_history[tenant].append((self._loop.time() + TOLERANCE.window_s, new))
        self.sharing.set_limit(tenant, new)

    async def _offer(self, tenant: int, until_s: float) -> None:
        load_factor = self._load_factor if tenant == len(RATES) - 1 or tenant == 0 else 1.0
        per_s = load_factor * RATES[tenant] / LIMIT_TO_USUAL_RATE / MEAN_TOKENS
        while self._loop.time() < until_s:
            await asyncio.sleep(self.generator.expovariate(per_s))
            self._request(tenant)

    def _request(self, tenant: int) -> None:
        now_s = self._loop.time()
        daemon = self._serving_daemon(tenant, now_s)
        if daemon is None:
            return
        mean = LARGE_TOKENS if self.generator.random() < LARGE_SHARE else SMALL_TOKENS
        cost = float(round(min(57_000.0, mean * self.generator.lognormvariate(-0.25, 0.7))))
        self.result.offered += 1
        self._central[tenant].try_acquire(cost, now_s)
        if self.sharing.try_acquire(daemon, tenant, cost):
            self._admitted[tenant].append((now_s, cost))
        else:
            self.result.refused += 1

    def _serving_daemon(self, tenant: int, now_s: float) -> int | None:
        callers = self._callers[tenant]
        if self.generator.random() < 0.02:
            callers[self.generator.randrange(len(callers))] = self.generator.randrange(self.count)
        daemon = self.generator.choice(callers)
        for _ in range(self.count):
            expired = now_s - self._disconnected_at_s.get(daemon, now_s) > KEYS_EXPIRE_S
            if daemon not in self.down and not expired:
                return daemon
            daemon = (daemon + 1) % self.count
        return None

    def _evaluate(self) -> None:
        for tenant, admitted in enumerate(self._admitted):
            expected = self._central[tenant].admitted
            self.result.expected += expected
            self.result.lost += max(0.0, expected - sum(cost for _, cost in admitted))
            first = 0
            total = 0.0
            for at_s, cost in admitted:
                total += cost
                while admitted[first][0] <= at_s - TOLERANCE.window_s:
                    total -= admitted[first][1]
                    first += 1
                limit = max(
                    (one for since_s, one in self._limit_history[tenant] if since_s <= at_s),
                    key=lambda one: -one.rate_per_s,
                )
                bound = limit.rate_per_s * TOLERANCE.window_s + limit.burst
                self.result.excess = max(
                    self.result.excess, total - bound - TOLERANCE.excess(limit)
                )


def run_scenario(
    count: int,
    seed: int,
    faults: Callable[[QuotaScenario], object],
    *,
    load_factor: float = 1.0,
    loss: float = 0.01,
    seconds: float = 14.0,
    delay_s: float = 0.002,
    make_sharing: Callable[
        [int, Sequence[TenantLimit], float, int, float], QuotaSharing
    ] = DaemonQuotaSharing,
) -> ScenarioResult:
    """Run one scenario in virtual time."""

    async def main() -> ScenarioResult:
        limits = [TenantLimit(rate, rate, QuotaUnit.TOKENS, 200.0) for rate in RATES]
        sharing = make_sharing(count, limits, loss, seed, delay_s)
        await asyncio.sleep(STABILIZATION_S)
        return await QuotaScenario(sharing, count, seed, load_factor).run(seconds, faults)

    return run_virtually(main())
