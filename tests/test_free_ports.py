"""Guards against two listeners that are given the same free port."""

from __future__ import annotations

import unittest
from unittest import mock

from winchfork.emulator import free_ports


class FreePortsTest(unittest.TestCase):
    def test_ports_of_one_call_differ(self) -> None:
        candidates = iter([20_101, 20_101, 20_101, 20_102])
        with mock.patch.object(free_ports, "free_port", lambda ip: next(candidates)):
            self.assertEqual(free_ports.free_ports(2), [20_101, 20_102])
