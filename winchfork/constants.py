"""Constants of the daemon; each name ends in its unit where it has one."""

from typing import Final

# Prompt blocks. Engines hold their caches in pieces of about a thousand tokens.
BLOCK_TOKENS: Final = 1024
BYTES_PER_TOKEN: Final = 4
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
#: Prompts that share this many leading blocks form a prefix family with one owner daemon.
FAMILY_DEPTH_BLOCKS: Final = 2

# Limits of the callers' interface.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_HEADER_VALUE_BYTES: Final = 512
MAX_OUTPUT_TOKENS: Final = 16_384
CALLER_SOCKET_TIMEOUT_S: Final = 30.0
DEFAULT_DEADLINE_S: Final = 120.0
MAX_DEADLINE_S: Final = 3600.0

# Back-end client.
CONNECT_TIMEOUT_S: Final = 1.0
ENGINE_IDLE_TIMEOUT_S: Final = 10.0
MAX_PLACEMENTS_PER_REQUEST: Final = 6
AVOID_AFTER_FAILURE_S: Final = 1.0
RETRY_BUDGET_RATIO: Final = 0.05
RETRY_BUDGET_BURST: Final = 100.0

# Peers.
HEARTBEAT_PERIOD_S: Final = 0.5
SUSPECT_AFTER_S: Final = 2.0
DEAD_AFTER_S: Final = 6.0
LOOKUP_TIMEOUT_S: Final = 0.05
MAX_DATAGRAM_BYTES: Final = 60_000
CONFIGURATION_PULL_PERIOD_S: Final = 1.0
MACHINE_LIST_PERIOD_S: Final = 1.0
EVENT_POLL_PERIOD_S: Final = 0.5

# Claims of requests that must not be repeated.
CLAIM_VOTERS: Final = 3
CLAIM_FUTURE_MARGIN_S: Final = 0.5
CLAIM_RESTART_MARGIN_S: Final = 1.0
CLAIM_RETENTION_S: Final = 3600.0
CLAIM_TIMEOUT_S: Final = 1.0
CLAIM_RESEND_PERIOD_S: Final = 0.1

# Decision log.
DECISION_LOG_ENTRIES: Final = 20_000
