"""Entry point of the router on the platform: ``python3 -m winchfork.platform``."""

from __future__ import annotations

import sys

from winchfork.early_stop import STARTED_AT_S  # isort: skip - has to precede the slow imports
from winchfork.errors import Failure
from winchfork.platform.adapters import platform_adapters
from winchfork.platform.settings import read_settings
from winchfork.router.process import run_router


def main() -> int:
    """Run until SIGTERM; return 0 after a planned stop, 2 for invalid settings."""
    settings = read_settings()
    if isinstance(settings, Failure):
        print(f"winchfork: {settings}", file=sys.stderr)
        return 2
    return run_router(settings, platform_adapters(), read_settings, STARTED_AT_S)


if __name__ == "__main__":
    sys.exit(main())
