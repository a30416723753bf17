"""Writes operators' configurations to the store; a write succeeds once the store holds it.

The stored document lists a token of each of its latest writers. After a lost answer a writer finds
its token there, even if another operator has changed the document since.
"""

from __future__ import annotations

import json
import time
import uuid

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.node import PeerNode
from winchfork.cluster.platform_sync import CONFIGURATION_KEY
from winchfork.core.configuration import Configuration
from winchfork.core.documents import Document, DocumentName
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.stores.key_value import Entry, KeyValueStore, compare_and_swap_until_resolved

_MAX_WRITER_TOKENS = 16
_RESOLVE_TIMEOUT_S = 10.0
_RETRY_PAUSE_S = 0.2


class ConfigurationWriter:
    """Writes configurations on behalf of operators. Thread-safe."""

    def __init__(self, node: PeerNode, store: KeyValueStore) -> None:
        self._node = node
        self._store = store

    def apply(self, configuration: Configuration, expected_revision: int) -> int | Failure:
        """Store a configuration and install it on this daemon; return its revision."""
        current = self._store.get(CONFIGURATION_KEY)
        if isinstance(current, Failure):
            return current.with_run_state(RunState.NOT_RUN)
        revision = current.revision if current else 0
        if revision != expected_revision:
            return FailureKind.REVISION_CONFLICT.because(
                f"the configuration is at revision {revision}, not {expected_revision}",
                remedy="get the current one, merge your change and apply it with that revision",
            )
        return self._write(configuration, current)

    def set_draining(self, replica_id: str, draining: bool) -> int | Failure:
        """Mark one replica as draining or not; retry when another operator's write comes first."""
        while True:
            current = self._store.get(CONFIGURATION_KEY)
            if isinstance(current, Failure):
                return current
            if current is None:
                return FailureKind.NOT_FOUND.because("there is no configuration yet")
            stored = Configuration.model_validate(json.loads(current.value)["configuration"])
            names = set(stored.draining) - {replica_id} | ({replica_id} if draining else set())
            changed = stored.model_copy(update={"draining": tuple(sorted(names))})
            result = self._write(changed, current)
            conflict = isinstance(result, Failure) and (
                result.kind is FailureKind.REVISION_CONFLICT
            )
            if not conflict:
                return result

    def _write(self, configuration: Configuration, current: Entry | None) -> int | Failure:
        token = uuid.uuid4().hex
        writers: list[str] = json.loads(current.value)["writers"] if current else []
        text = json.dumps(
            {
                "writers": [*writers, token][-_MAX_WRITER_TOKENS:],
                "configuration": configuration.model_dump(mode="json"),
            }
        ).encode()
        deadline_s = boot_seconds() + _RESOLVE_TIMEOUT_S

        def should_retry() -> bool:
            time.sleep(_RETRY_PAUSE_S)
            return boot_seconds() < deadline_s

        result = compare_and_swap_until_resolved(
            self._store,
            CONFIGURATION_KEY,
            text,
            current.revision if current else 0,
            lambda value: token in json.loads(value)["writers"],
            should_retry,
        )
        if isinstance(result, Failure):
            return result
        self._node.install_document(DocumentName.CONFIGURATION, Document(result, text))
        return result
