"""Fuzzes a daemon with random invalid store entries among valid ones.

    python -m tests.entry_fuzz --seconds 60 [--seed S]

Checks that the daemon sees the last version of every valid entry and nothing else, and that it goes
on following the store.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter

from tests.memory_store import MemoryStore
from tests.test_platform_documents import CONFIGURATION, REPLICA
from tests.virtual_loop import run_virtually
from winchfork.logs import configure_logs
from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.router.leader_entry import LEADER_KEY
from winchfork.router.leadership import Leadership
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState
from winchfork.router.store_sync import StoreSync

#: Fields that a replica's entry must have.
REQUIRED_FIELDS = ("Service", "Address", "Zone", "Slots", "State")
#: Values of types other than those of the fields.
MISTYPED_VALUES: tuple[object, ...] = (None, True, -1, 1.5, "", "?", [], {}, 10**30, {"Name": 1})
UNREADABLE = (
    b"",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b'"text"',
    b'{"Service":',
    b'{"Service":"\xff"}',
    b"[" * 60_000,
    b'{"x":' * 20_000,
)
STEPS = 60


def foreign_value(generator: random.Random) -> bytes:
    """Return an entry that is not a valid replica."""
    kind = generator.randrange(4)
    if kind == 0:
        return generator.choice(UNREADABLE)
    if kind == 1:
        omitted = generator.choice(REQUIRED_FIELDS)
        return json.dumps({name: REPLICA[name] for name in REPLICA if name != omitted}).encode()
    if kind == 2:
        field = generator.choice((*REQUIRED_FIELDS, "Models", "Version", "Sequence", "born"))
        valid_values: dict[str, tuple[object, ...]] = {
            "Slots": (),
            "Models": ([],),
            "Version": ("", "?"),
            "Zone": ("?",),
        }
        valid = (*valid_values.get(field, ()), *(("?",) if field == "Service" else ()))
        invalid = [value for value in MISTYPED_VALUES if value not in valid or value is True]
        return json.dumps({**REPLICA, field: generator.choice(invalid)}).encode()
    changes: dict[str, object] = generator.choice(
        [
            {"State": "zombie"},
            {"State": "READY"},
            {"Address": "no address"},
            {"Address": "somewhere.example:80"},
            {"Address": "10.0.0.1:99999"},
            {"Models": [{"Name": "daka510000"}]},
            {"Models": [{"Name": "daka510000", "Version": "1"}]},
        ]
    )
    return json.dumps({**REPLICA, **changes}).encode()


class EntryFuzz:
    """One daemon that follows a store with valid and invalid entries."""

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.store = MemoryStore()
        self.written: Counter[str] = Counter()
        self.good: dict[str, int] = {}
        settings = RouterSettings("n1", "z1", "g", "", "", "", "")
        loop = asyncio.get_running_loop()
        self.state = RouterState(settings, loop.time, self.generator)
        leadership = Leadership(self.store, "n1", 3.0, loop.time, self.generator, 1.0)
        self._sync = StoreSync(
            self.state, self.store, PlatformDocumentCodec(), leadership, self.generator
        )

    async def run(self) -> None:
        """Write entries for a while, then check; raises AssertionError on a difference."""
        self.store.put("op/config", json.dumps(CONFIGURATION).encode())
        task = asyncio.create_task(self._sync.run())
        for _ in range(STEPS):
            self._write()
            await asyncio.sleep(self.generator.choice((0.0, 0.01, 0.3)))
        await asyncio.sleep(2.0)
        assert not task.done(), f"the daemon stopped following: {task.exception()!r}"
        self._check()
        task.cancel()

    def _write(self) -> None:
        key_number = self.generator.randrange(6)
        replica_id = f"i-{key_number}"
        kind = self.generator.randrange(5)
        if kind == 0:
            slots = self.generator.randrange(1, 99)
            entry = {**REPLICA, "Address": f"10.0.0.{key_number}:80", "Slots": slots}
            self._put(f"servers/{replica_id}", json.dumps(entry).encode(), "good")
            self.good[replica_id] = slots
        elif kind in (1, 2):
            self._put(f"servers/{replica_id}", foreign_value(self.generator), "foreign replica")
            self.good.pop(replica_id, None)
        elif kind == 3:
            key = self.generator.choice(
                (
                    "op/version/daka510000",
                    "op/rollout/huvo11a",
                    "winchfork/software/huvo11a",
                    "winchfork/refused/000",
                    "of/another",
                    LEADER_KEY,
                )
            )
            self._put(key, self.generator.choice(UNREADABLE), "foreign " + key.split("/")[0])
        else:
            self.store.remove(f"servers/{replica_id}")
            self.good.pop(replica_id, None)

    def _put(self, key: str, value: bytes, kind: str) -> None:
        self.store.put(key, value)
        self.written[kind] += 1

    def _check(self) -> None:
        seen = {
            replica.replica_id: replica.listing.slots
            for replica in self.state.fleet.replicas()
            if replica.listing.accepting
        }
        assert seen == self.good, f"seen {seen}, written {self.good}"
        assert self.state.routing_table is not None
        assert self.state.routing_table.version == CONFIGURATION["Version"]
        assert self.state.store_position.revision == self.store.revision


def fuzz(seed: int) -> Counter[str]:
    """Run one seed; return the number of entries written, by kind."""

    async def main() -> Counter[str]:
        run = EntryFuzz(seed)
        await run.run()
        return run.written

    return run_virtually(main())


def main() -> int:
    """Fuzz until the time is up; return 1 at the first violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    configure_logs("error")
    until_s = time.monotonic() + options.seconds
    seed = options.seed
    total: Counter[str] = Counter()
    while time.monotonic() < until_s:
        try:
            total += fuzz(seed)
        except AssertionError as error:
            print(f"VIOLATION, seed {seed}: {error}")
            return 1
        seed += 1
    print(f"seeds {options.seed} to {seed - 1}, 0 violations; written: {dict(total)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
