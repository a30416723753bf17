"""A stop that is asked for while the process starts is a planned one, too."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from asyncio.subprocess import PIPE
from pathlib import Path

from standins.deployment import ZONES, PlatformStandins
from standins.soak.routers import SoakRouter

_ROOT = Path(__file__).resolve().parent.parent
#: Asks itself to stop as soon as the module that is imported last has been loaded.
_PROGRAM = """
import os, signal, sys
import winchfork.platform.__main__
os.kill(os.getpid(), signal.SIGTERM)
signal.pause()
"""


class TakesSignalsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_takes_a_stop_as_soon_as_anything_of_the_router_runs(self) -> None:
        """A soak's stop came 31 ms after a start, before the interpreter had run any module."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for module, takes in (("sys", False), ("winchfork.early_stop", True)):
            router = SoakRouter(PlatformStandins(), 1, ZONES[0], Path(folder.name))
            program = f"import {module}, sys; print(flush=True); sys.stdin.read()"
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program, cwd=_ROOT, stdin=PIPE, stdout=PIPE
            )
            assert process.stdout is not None and process.stdin is not None
            await process.stdout.readline()
            router._process = process
            self.assertIs(router.handles_signal(signal.SIGTERM), takes)
            process.stdin.close()
            await process.wait()
            self.assertTrue(router.handles_signal(signal.SIGTERM))


class EarlyStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_that_is_stopped_before_it_serves_ends_in_order(self) -> None:
        """Soaks saw planned stops end with the signal's own code, up to twice a run."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", _PROGRAM, cwd=_ROOT, env=dict(os.environ)
        )
        self.assertEqual(await process.wait(), 0)
