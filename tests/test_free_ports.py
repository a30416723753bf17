"""Ports for listeners that are named before they are bound.

A router of a play never became ready: of its three listeners one was bound. Both its ports had been
drawn, free and equal, before either was bound.
"""

from __future__ import annotations

import unittest
from unittest import mock

from winchfork.emulator import free_ports


class FreePortsTest(unittest.TestCase):
    def test_ports_that_are_named_together_differ(self) -> None:
        drawn = iter([20_101, 20_101, 20_101, 20_102])
        with mock.patch.object(free_ports, "free_port", lambda ip: next(drawn)):
            self.assertEqual(free_ports.free_ports(2), [20_101, 20_102])
