"""The stand-in for a suspended machine: its monotonic clock stops, its boot clock does not."""

from __future__ import annotations

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from standins.soak.suspended_clock import SuspendedTime, exclude_suspensions
from winchfork.boot_clock import boot_seconds

SUSPENDED_S = 1000.0


class SuspendedClockTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "suspended-1"
        # Restores the two functions after the test.
        for name in ("monotonic", "clock_gettime"):
            patched = mock.patch.object(time, name, getattr(time, name))
            patched.start()
            self.addCleanup(patched.stop)
        exclude_suspensions(SuspendedTime(self.file))

    def test_only_the_boot_clock_counts_a_suspension(self) -> None:
        monotonic_s, boot_s = time.monotonic(), boot_seconds()
        SuspendedTime(self.file).write(SUSPENDED_S)
        self.assertLess(time.monotonic(), monotonic_s)
        self.assertLess(time.clock_gettime(time.CLOCK_MONOTONIC), monotonic_s)
        self.assertGreaterEqual(boot_seconds(), boot_s)

    def test_suspensions_add_up_and_can_be_reset(self) -> None:
        machine = SuspendedTime(self.file)
        machine.write(machine.total_s() + 2.0)
        machine.write(machine.total_s() + 3.0)
        self.assertEqual(SuspendedTime(self.file).total_s(), 5.0)
        machine.write(0.0)
        self.assertEqual(SuspendedTime(self.file).total_s(), 0.0)
