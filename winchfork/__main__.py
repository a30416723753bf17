"""Entry point of ``python -m winchfork``."""

import sys

from winchfork.cli.main import main

sys.exit(main())
