"""The router as the platform starts it: ``python3 -m winchfork.platform``."""

from __future__ import annotations

import sys

from winchfork.errors import Failure
from winchfork.platform.documents import PlatformDocuments
from winchfork.platform.headers import PlatformDialect
from winchfork.platform.replicas import PlatformReplicaControl
from winchfork.platform.settings import read_settings
from winchfork.platform.store import PlatformStore
from winchfork.router.process import RouterParts, run_router


def main() -> int:
    """Run until SIGTERM; 0 after a planned stop, 2 for bad settings."""
    settings = read_settings()
    if isinstance(settings, Failure):
        print(f"winchfork: {settings}", file=sys.stderr)
        return 2
    parts = RouterParts(
        dialect=PlatformDialect(),
        documents=PlatformDocuments(),
        make_store=PlatformStore,
        make_control=PlatformReplicaControl,
    )
    return run_router(settings, parts, read_settings)


if __name__ == "__main__":
    sys.exit(main())
