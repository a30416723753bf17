"""The platform's header names, keys and paths, in one place."""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = b"X-Request-Id"
DEADLINE_MS: Final = b"X-Deadline-Ms"
API_KEY: Final = b"X-Key"
TENANT: Final = b"X-Tenant-Id"
SIGNATURE: Final = b"X-Server-Signature"
NOT_EXECUTED: Final = b"X-Not-Executed"
INSTANCE_ID: Final = b"X-Instance-Id"
EXPECTED_INSTANCE: Final = b"X-Expected-Instance"
EXPECTED_VERSION: Final = b"X-Expected-Version"
WEIGHT_VERSIONS: Final = b"X-Weight-Versions"
MODEL: Final = b"X-Model"
TOKEN_USAGE: Final = b"X-Token-Usage"
PREFIX_HASH: Final = b"X-Prefix-Hash"
LAST_EVENT_ID: Final = b"Last-Event-Id"
CACHE_SALT: Final = b"X-Cache-Salt"
REQUEST_PRIORITY: Final = b"X-Request-Priority"
KV_FETCH: Final = b"X-Kv-Fetch"
KV_SAVE: Final = b"X-Kv-Save"
KV_BACKUP: Final = b"X-Kv-Backup"
PIN_MS: Final = b"X-Pin-Ms"
HOLD: Final = b"X-Hold"

#: Headers that only this system may set: whatever a caller sends under them is dropped.
OWN_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        API_KEY,
        TENANT,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        LAST_EVENT_ID,
        CACHE_SALT,
        REQUEST_PRIORITY,
        KV_FETCH,
        KV_SAVE,
        KV_BACKUP,
        PIN_MS,
        HOLD,
    )
)

SETTINGS_VARIABLE: Final = "WINCHFORK_BOOT"
CONFIGURATION_KEY: Final = "op/config"
VERSION_PREFIX: Final = "op/version/"
REPLICA_PREFIX: Final = "servers/"
STATUS_MISDIRECTED: Final = 421
