"""Entries of another writer in which one value is odd: each value of each kind of entry in turn."""

from __future__ import annotations

import asyncio
import copy
import json
import unittest
from collections.abc import Callable, Coroutine, Iterator
from typing import Any
from unittest import mock

import msgspec

from tests.memory_store import MemoryStore
from tests.test_platform_documents import CONFIGURATION, REPLICA
from tests.test_store_sync import Followed
from tests.virtual_loop import run_virtually
from winchfork.core.request_digest import DIGEST_BYTES
from winchfork.core.software_state import SoftwareState
from winchfork.core.stream_batch import StreamBatch, StreamGroup
from winchfork.core.stream_origin import KEY_BYTES
from winchfork.core.version_register import VersionRecord
from winchfork.platform import documents
from winchfork.router.leader_entry import FENCE_KEY, LEADER_KEY
from winchfork.router.refusal_records import RefusalRecord, bucket_key
from winchfork.router.software_records import software_record_key
from winchfork.router.stream_records import encode_batch, stream_batch_key
from winchfork.router.version_records import VERSION_RECORD_KEY
from winchfork.stores.async_key_value import StoreItem

#: Values in JSON, as another writer may have left them in place of any other.
ODD_VALUES = (
    "[" * 60_000,
    "[" * 60_000 + "]" * 60_000,
    '{"x":' * 20_000,
    "null",
    "-1",
    "1.5",
    "1e308",
    "1e999",
    str(2**53 + 1),
    str(2**64),
    "9" * 400,
    "9" * 5_000,
    '"\\ud800"',
    '"' + "x" * 100_000 + '"',
    '"' + "9" * 5_000 + '"',
    '"10.0.0.1:99999"',
    '"10.0.0.1:-1"',
    '"10.0.0.1:\\u00b2"',
    '"10.0.0.1:' + "1" * 5_000 + '"',
    '"10.0.0.1:' + "0" * 5_000 + '80"',
    '"' + "1" * 5_000 + '.0.0.1:80"',
)
#: Seconds within which a daemon knows of a new entry.
FOLLOWED_WITHIN_S = 5.0
_PLACEHOLDER = "@@"
_DIGEST = b"d" * DIGEST_BYTES


def _plain(value: object) -> Any:
    return json.loads(msgspec.json.encode(value))


#: A valid document of each kind, by its key.
DOCUMENTS: dict[str, Any] = {
    "servers/i-9": REPLICA,
    "op/version/daka510000": {"Model": "daka510000", "Version": 3},
    "op/rollout/huvo11a": {"Service": "huvo11a", "TargetVersion": "v2", "DurationS": 60.0},
    software_record_key("huvo11a"): _plain(SoftwareState("huvo11a", "v1", judged_bad=("v0",))),
    VERSION_RECORD_KEY: _plain(VersionRecord(1, {"huvo11a": ("v1",)})),
    bucket_key(_DIGEST): _plain(RefusalRecord(_DIGEST, 1, 1)),
    "op/config": CONFIGURATION,
}
#: Values that are no JSON, by key.
OTHER_VALUES: dict[str, tuple[bytes, ...]] = {
    LEADER_KEY: (b"", b"\xff\xfe", b"n" * 100_000),
    FENCE_KEY: (b"", b"-1", b"9" * 5_000, "\u00b2".encode()),
    stream_batch_key("n2", 1, 1): (
        b"\x91" * 60_000,
        encode_batch(StreamBatch((StreamGroup("huvo11a", "v1", b"k" * KEY_BYTES, b""),))),
    ),
}


def _places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Return the path of each value in a document, that of the whole included."""
    yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _places(item, (*path, key))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from _places(item, (*path, number))


def _with_odd_value(document: Any, path: tuple[Any, ...], odd: str) -> bytes:
    if not path:
        return odd.encode()
    changed = copy.deepcopy(document)
    parent = changed
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = _PLACEHOLDER
    return json.dumps(changed).replace(f'"{_PLACEHOLDER}"', odd, 1).encode()


def odd_entries(key: str) -> Iterator[tuple[str, bytes]]:
    """Return odd values of a key's entry, each with its place."""
    for value in OTHER_VALUES.get(key, ()):
        yield repr(value[:20]), value
    if key in DOCUMENTS:
        for path in _places(DOCUMENTS[key]):
            for odd in ODD_VALUES:
                yield f"{path}: {odd[:30]}", _with_odd_value(DOCUMENTS[key], path, odd)


class _Daemons:
    """Daemons that follow a store in which entries of one key are odd."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.put("op/config", json.dumps(CONFIGURATION).encode())
        self._number = 0

    def start(self) -> Followed:
        return Followed(self.store)

    async def follows(self, daemon: Followed) -> bool:
        """Whether a daemon learns of a replica whose entry is written now."""
        self.store.remove(f"servers/i-{self._number}")
        self._number += 1
        entry = {**REPLICA, "Address": f"10.0.0.1:{1000 + self._number}"}
        self.store.put(f"servers/i-{self._number}", json.dumps(entry).encode())
        ends_at_s = daemon.state.clock() + FOLLOWED_WITHIN_S
        while daemon.state.clock() < ends_at_s and not daemon.task.done():
            if f"i-{self._number}" in daemon.known():
                return True
            await asyncio.sleep(0.01)
        return False


class OddEntryTest(unittest.TestCase):
    """Guards against a daemon that ends, stops following or never gets ready by one entry."""

    def check(self, play: Callable[[str], Coroutine[Any, Any, list[str]]]) -> None:
        for key in (*DOCUMENTS, *OTHER_VALUES):
            with self.subTest(key=key):
                self.assertEqual(run_virtually(play(key)), [])

    def test_a_daemon_that_runs_follows_the_store_past_each_odd_entry(self) -> None:
        async def play(key: str) -> list[str]:
            daemons = _Daemons()
            daemon = daemons.start()
            failed = []
            for place, value in odd_entries(key):
                daemons.store.put(key, value)
                if not await daemons.follows(daemon):
                    failed.append(place)
                    daemon.task.cancel()
                    daemon = daemons.start()
                daemons.store.remove(key)
            daemon.task.cancel()
            return failed

        self.check(play)

    def test_a_daemon_that_starts_beside_an_odd_entry_gets_ready(self) -> None:
        async def play(key: str) -> list[str]:
            daemons = _Daemons()
            failed = []
            for place, value in odd_entries(key):
                daemons.store.put(key, value)
                daemon = daemons.start()
                follows = await daemons.follows(daemon)
                if not follows or not (daemon.state.ready or key == "op/config"):
                    failed.append(place)
                daemon.task.cancel()
                daemons.store.remove(key)
            return failed

        self.check(play)

    def test_a_reader_that_raises_for_one_entry_loses_that_entry_only(self) -> None:
        """Guards against errors that nobody has thought of."""

        async def scenario() -> None:
            daemons = _Daemons()
            daemons.store.put("servers/i-9", json.dumps(REPLICA).encode())
            running = daemons.start()
            self.assertTrue(await daemons.follows(running))
            self.assertIn("i-9", running.known())
            with mock.patch.object(documents, "_decode", _raise_for("servers/i-9")):
                daemons.store.put("servers/i-9", json.dumps(REPLICA).encode())
                starting = daemons.start()
                for daemon in (running, starting):
                    self.assertTrue(await daemons.follows(daemon))
                    self.assertNotIn("i-9", daemon.known())
                    self.assertTrue(daemon.state.ready)
                    self.assertEqual(daemon.state.metrics.documents_refused.value, 1)
                    daemon.task.cancel()

        run_virtually(scenario())


def _raise_for(key: str) -> Callable[[StoreItem, type[Any]], object]:
    """Return a decoder of entries that raises for one key."""
    decode = documents._decode

    def decode_or_raise(item: StoreItem, shape: type[Any]) -> object:
        if item.key == key:
            raise OverflowError("of a kind that is not expected")
        return decode(item, shape)

    return decode_or_raise


if __name__ == "__main__":
    unittest.main()
