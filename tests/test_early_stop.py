"""Guards against a process that is killed by SIGTERM while it starts."""

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
#: A program that sends itself SIGTERM once all modules are imported.
_PROGRAM = """
import os, signal, sys
import winchfork.platform.__main__
os.kill(os.getpid(), signal.SIGTERM)
signal.pause()
"""


#: A program that gets SIGTERM in code that discards all exceptions, as some imported modules do.
_DISCARDING_PROGRAM = """
import os, signal
import winchfork.early_stop
try:
    os.kill(os.getpid(), signal.SIGTERM)
except BaseException:
    pass
signal.pause()
"""
#: Longest time in seconds until a program ends.
_END_S = 20.0


class HandlesSignalTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_handles_sigterm_once_the_first_router_module_is_imported(self) -> None:
        """The soak must not stop a process that cannot handle SIGTERM yet."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for module, handles in (("sys", False), ("winchfork.early_stop", True)):
            router = SoakRouter(PlatformStandins(), 1, ZONES[0], Path(folder.name))
            program = f"import {module}, sys; print(flush=True); sys.stdin.read()"
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program, cwd=_ROOT, stdin=PIPE, stdout=PIPE
            )
            assert process.stdout is not None and process.stdin is not None
            await process.stdout.readline()
            router._process = process
            self.assertIs(router.handles_signal(signal.SIGTERM), handles)
            process.stdin.close()
            await process.wait()
            self.assertTrue(router.handles_signal(signal.SIGTERM))


class EarlyStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_that_is_stopped_before_it_serves_exits_with_0(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", _PROGRAM, cwd=_ROOT, env=dict(os.environ)
        )
        self.assertEqual(await process.wait(), 0)

    async def test_a_stop_is_not_lost_in_code_that_discards_exceptions(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", _DISCARDING_PROGRAM, cwd=_ROOT, env=dict(os.environ)
        )
        try:
            self.assertEqual(await asyncio.wait_for(process.wait(), _END_S), 0)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
