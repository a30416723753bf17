"""A machine cut off from the store runs requests in the name of a tenant that lost their key."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from review.second.rig import (
    BROKEN,
    HELD,
    ZONES,
    CouldNotRun,
    Replica,
    Request,
    Rig,
    boot_seconds,
    call,
    configuration,
    run_case,
    trouble,
    write_answer,
)
from review.second.store_link import StoreLink

KEPT, MOVED = "press-key-1", "press-key-2"
REVOKE_S = 5.0
#: ``core_cut`` with how = "all" lasts 11 s in the site file.
CUT_S = 11.0
MOVED_AFTER_S = 0.5


class Application(Replica):
    """Runs requests at once, and keeps the tenant in whose name it ran each."""

    def __init__(self, rig: Rig, number: int) -> None:
        super().__init__(rig.store, f"i-app-{number}", "editing", ZONES[number % len(ZONES)])
        self.record = rig.record
        self.ran: dict[str, str] = {}

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request."""
        name = request.headers["x-request-id"]
        self.ran[name] = request.headers.get("x-tenant-id", "")
        self.record.add(f"{self.replica_id} ran {name} of tenant {self.ran[name] or 'none'}")
        write_answer(writer, 200, b"done", self.answer_headers(request))
        return True


@dataclass
class Sent:
    """One request with the key that is taken from one tenant and given to another."""

    name: str
    sent_at_s: float
    status: int = 0


def _route(name: str, *, anonymous: bool) -> dict[str, object]:
    return {
        "Name": name,
        "Host": "school.example",
        "PathPrefix": f"/{name}/",
        "Kind": "safe",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "editing",
        "MaxAttempts": 1,
        "AllowAnonymous": anonymous,
    }


def _configuration(version: int, tenants: dict[str, list[str]]) -> dict[str, object]:
    services = [{"Name": "editing", "MaxConnections": 100, "HealthCheckPath": "/health"}]
    routes = [_route("open", anonymous=True), _route("closed", anonymous=False)]
    entries = [{"Name": name, "ApiKeys": keys} for name, keys in tenants.items()]
    return configuration(version, routes, services, entries)


async def _ask(rig: Rig, route: str, key: str, number: int) -> Sent:
    sent = Sent(f"{route}-{key}-{number}", boot_seconds())
    headers = {
        "Host": "school.example",
        "X-Request-Id": sent.name,
        "X-Key": key,
        "X-Deadline-Ms": "2000",
    }
    try:
        answer = await call(rig.daemons[0].front, "GET", f"/{route}/1", headers, b"", 2.0)
        sent.status = answer.status
    except (TimeoutError, OSError) as error:
        rig.record.add(f"client {sent.name}: {error!r}")
        return sent
    rig.record.add(f"client {sent.name}: {sent.status}")
    return sent


async def _ask_for(rig: Rig, route: str, key: str, for_s: float) -> list[Sent]:
    tasks = []
    until_s = boot_seconds() + for_s
    while boot_seconds() < until_s:
        tasks.append(asyncio.create_task(_ask(rig, route, key, len(tasks))))
        await asyncio.sleep(0.1)
    return list(await asyncio.gather(*tasks))


async def case(rig: Rig) -> int:
    """Return whether a request ran in the name of a tenant that does not hold its key."""
    rig.store.put("op/config", _configuration(3, {"press": [KEPT, MOVED], "school": []}))
    replicas = [Application(rig, number) for number in range(3)]
    for replica in replicas:
        await rig.start_replica(replica)
    link = StoreLink(rig.store.address)
    await rig.start_replica(link)
    rig.add_daemon(store_address=link.address)
    await rig.start_daemons(0)
    await asyncio.sleep(2.0)
    if trouble():
        link.cut = True
        rig.record.add("the machine is cut off from the store")
    await asyncio.sleep(MOVED_AFTER_S)
    after = {"press": [KEPT], "school": [MOVED]}
    rig.store.put("op/config", _configuration(8, after))
    moved_at_s = boot_seconds()
    rig.record.add(f"acknowledged: configuration 8 takes {MOVED} from press and gives it to school")
    left_s = CUT_S - MOVED_AFTER_S
    open_route, closed_route, kept = await asyncio.gather(
        _ask_for(rig, "open", MOVED, left_s),
        _ask_for(rig, "closed", MOVED, left_s),
        _ask_for(rig, "open", KEPT, left_s),
    )
    link.cut = False
    if sum(sent.status == 200 for sent in kept) < len(kept) / 2:
        raise CouldNotRun("the route that allows anonymous requests was not served")
    ran = {name: tenant for replica in replicas for name, tenant in replica.ran.items()}
    late = [sent for sent in (*open_route, *closed_route) if sent.sent_at_s > moved_at_s + REVOKE_S]
    broken = [sent for sent in late if ran.get(sent.name, "school") != "school"]
    for sent in broken:
        rig.record.add(
            f"UNASKED {sent.name} ran in the name of {ran[sent.name] or 'nobody'}, sent"
            f" {sent.sent_at_s - moved_at_s:.2f} s after its key was given to school"
        )
    rig.record.conclude(
        f"{len(late)} requests sent later than {REVOKE_S} s after their key was given to another"
        f" tenant; {len(broken)} of them ran in the name of the one that had lost it"
    )
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(__file__, case)
