"""A fleet under tenants' traffic and faults in virtual time, judged by a perfect central counter.

The daemons are the real peer side of router processes on a virtual network. What they admit is
judged twice: against the bound in every window, and against one bucket that sees every request.
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
#: The figures of the deployment that has quotas.
TOLERANCE = QuotaTolerance(window_s=8.0, overage=0.1, slack=110_000.0)
#: A daemon that nobody can reach refuses every key from this long after it was cut off.
KEYS_EXPIRE_S = 3.85
#: Tenants by their limit, in tokens a second; what they use is 1 / USUAL_SHARE of it.
RATES = (29_000.0, 29_000.0, 50_000.0, 100_000.0, 297_000.0)
USUAL_SHARE = 1.8
#: Two kinds of request: tokens on average, and their share of all requests.
LARGE_TOKENS, SMALL_TOKENS, LARGE_SHARE = 9_200.0, 900.0, 0.35
MEAN_TOKENS = LARGE_SHARE * LARGE_TOKENS + (1.0 - LARGE_SHARE) * SMALL_TOKENS
#: Daemons that one tenant's callers are connected to.
CALLERS = 15
STABILIZATION_S = 16.0


class QuotaSharing(Protocol):
    """One way of sharing quotas over daemons, numbered from 0."""

    def try_acquire(self, daemon: int, tenant: int, cost: float) -> bool:
        """Whether a daemon lets a request through."""
        ...

    def set_limit(self, tenant: int, limit: TenantLimit) -> None:
        """Put a limit in force on every daemon."""
        ...

    def isolate(self, daemons: Sequence[int]) -> None:
        """Cut these daemons off from all others, each from each; an empty list heals."""
        ...

    def partition(self, daemons: Sequence[int]) -> None:
        """Cut these daemons off from all others, not from each other; an empty list heals."""
        ...

    def kill(self, daemons: Sequence[int]) -> None:
        """End daemons without a word."""
        ...

    def start(self, daemons: Sequence[int]) -> None:
        """Start them again: they know nothing."""
        ...

    def sent_bytes(self) -> int:
        """Return the bytes that were sent between daemons."""
        ...


class DaemonQuotaSharing:
    """The real daemons: each counts by itself and corrects by what the others tell."""

    def __init__(
        self, count: int, limits: Sequence[TenantLimit], loss: float, seed: int, delay_s: float
    ) -> None:
        self._limits = {f"tenant-{number}": limit for number, limit in enumerate(limits)}
        self._bounds = RouterBounds(quota=TOLERANCE)
        self._cut: set[str] = set()
        self._apart: set[str] = set()
        self._ended_bytes = 0
        generator = random.Random(seed)
        self._network = Network()
        self._network.delay_s = delay_s
        self._network.drop = lambda sender, receiver: (
            sender in self._cut
            or receiver in self._cut
            or (sender in self._apart) != (receiver in self._apart)
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
        self._cut = _addresses(daemons)

    def partition(self, daemons: Sequence[int]) -> None:
        self._apart = _addresses(daemons)

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
    """What a scenario came to. ``excess`` is the most units beyond the bound in any window.

    ``lost`` are units that a perfect counter lets through and this way does not, tenant by tenant.
    """

    offered: int = 0
    refused: int = 0
    expected: float = 0.0
    lost: float = 0.0
    excess: float = float("-inf")
    bytes_a_daemon_s: float = 0.0

    @property
    def lost_share(self) -> float:
        """Units lost, of all that a perfect counter lets through."""
        return self.lost / max(1.0, self.expected)


class _CentralBucket:
    """The perfect counter: one bucket that sees every request at once."""

    def __init__(self, limit: TenantLimit, now_s: float) -> None:
        self.limit = limit
        self.admitted = 0.0
        self._left = limit.burst
        self._at_s = now_s

    def try_acquire(self, cost: float, now_s: float) -> bool:
        flow = self.limit.rate_per_s * (now_s - self._at_s)
        self._left = min(self.limit.burst, self._left + flow)
        self._at_s = now_s
        if self._left < min(cost, self.limit.burst):
            return False
        self._left -= cost
        self.admitted += cost
        return True


class QuotaScenario:
    """Traffic, faults and the judge. ``hot`` multiplies one tenant's usual use from the start."""

    def __init__(self, sharing: QuotaSharing, count: int, seed: int, hot: float = 1.0) -> None:
        self.sharing = sharing
        self.count = count
        self.generator = random.Random(seed)
        self.result = ScenarioResult()
        self.down: set[int] = set()
        self._cut_at_s: dict[int, float] = {}
        self._hot = hot
        self._loop = asyncio.get_running_loop()
        self._limits = [TenantLimit(rate, rate, QuotaUnit.TOKENS, 200.0) for rate in RATES]
        now_s = self._loop.time()
        self._central = [_CentralBucket(limit, now_s) for limit in self._limits]
        #: Limits with the time from which each is judged.
        self._limit_history = [[(0.0, limit)] for limit in self._limits]
        self._admitted: list[list[tuple[float, float]]] = [[] for _ in self._limits]
        self._callers = [
            [self.generator.randrange(count) for _ in range(CALLERS)] for _ in self._limits
        ]

    async def run(
        self, seconds: float, faults: Callable[[QuotaScenario], object]
    ) -> ScenarioResult:
        """Play traffic for some seconds; ``faults`` schedules what goes wrong."""
        faults(self)
        before = self.sharing.sent_bytes()
        until_s = self._loop.time() + seconds
        traffic = [
            asyncio.create_task(self._offer(tenant, until_s)) for tenant in range(len(RATES))
        ]
        await asyncio.gather(*traffic)
        self._evaluate()
        sent = self.sharing.sent_bytes() - before
        self.result.bytes_a_daemon_s = sent / seconds / self.count
        return self.result

    def at(self, delay_s: float, action: Callable[[], object]) -> None:
        """Do something after a while."""
        self._loop.call_later(delay_s, action)

    def pick(self, share: float) -> list[int]:
        """Draw a share of the daemons."""
        return self.generator.sample(range(self.count), max(1, round(share * self.count)))

    def isolate(self, daemons: Sequence[int]) -> None:
        """Cut daemons off; they go on serving until their keys expire."""
        self._cut_at_s = dict.fromkeys(daemons, self._loop.time())
        self.sharing.isolate(daemons)

    def partition(self, daemons: Sequence[int]) -> None:
        """Cut daemons off together; they go on serving until their keys expire."""
        self._cut_at_s = dict.fromkeys(daemons, self._loop.time())
        self.sharing.partition(daemons)

    def kill(self, daemons: Sequence[int]) -> None:
        """End daemons; callers go elsewhere."""
        self.down |= set(daemons)
        self.sharing.kill(daemons)

    def start(self, daemons: Sequence[int]) -> None:
        """Start daemons again."""
        self.sharing.start(daemons)
        self.down -= set(daemons)

    def gather(self, tenant: int) -> None:
        """Move all callers of a tenant to one daemon."""
        self._callers[tenant] = [self.generator.randrange(self.count)]

    def lower_limit(self, tenant: int, share: float) -> None:
        """Lower a limit; it is judged from a window later."""
        old = self._limits[tenant]
        new = TenantLimit(old.rate_per_s * share, old.burst * share, old.unit, 200.0)
        self._limits[tenant] = new
        self._central[tenant].limit = new
        self._limit_history[tenant].append((self._loop.time() + TOLERANCE.window_s, new))
        self.sharing.set_limit(tenant, new)

    async def _offer(self, tenant: int, until_s: float) -> None:
        hot = self._hot if tenant == len(RATES) - 1 or tenant == 0 else 1.0
        per_s = hot * RATES[tenant] / USUAL_SHARE / MEAN_TOKENS
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
            expired = now_s - self._cut_at_s.get(daemon, now_s) > KEYS_EXPIRE_S
            if daemon not in self.down and not expired:
                return daemon
            daemon = (daemon + 1) % self.count
        return None

    def _evaluate(self) -> None:
        for tenant, admitted in enumerate(self._admitted):
            owed = self._central[tenant].admitted
            self.result.expected += owed
            self.result.lost += max(0.0, owed - sum(cost for _, cost in admitted))
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
    hot: float = 1.0,
    loss: float = 0.01,
    seconds: float = 14.0,
    delay_s: float = 0.002,
    make_sharing: Callable[
        [int, Sequence[TenantLimit], float, int, float], QuotaSharing
    ] = DaemonQuotaSharing,
) -> ScenarioResult:
    """Play one scenario in virtual time."""

    async def main() -> ScenarioResult:
        limits = [TenantLimit(rate, rate, QuotaUnit.TOKENS, 200.0) for rate in RATES]
        way = make_sharing(count, limits, loss, seed, delay_s)
        await asyncio.sleep(STABILIZATION_S)
        return await QuotaScenario(way, count, seed, hot).run(seconds, faults)

    return run_virtually(main())
