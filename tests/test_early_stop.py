"""A stop that is asked for while the process starts is a planned one, too."""

from __future__ import annotations

import asyncio
import os
import sys
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
#: Asks itself to stop as soon as the module that is imported last has been loaded.
_PROGRAM = """
import os, signal, sys
import winchfork.platform.__main__
os.kill(os.getpid(), signal.SIGTERM)
signal.pause()
"""


class EarlyStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_that_is_stopped_before_it_serves_ends_in_order(self) -> None:
        """Soaks saw planned stops end with the signal's own code, up to twice a run."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", _PROGRAM, cwd=_ROOT, env=dict(os.environ)
        )
        self.assertEqual(await process.wait(), 0)
