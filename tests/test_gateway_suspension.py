"""Suspension of the gateway's machine, during which ``CLOCK_MONOTONIC`` does not advance.

Guards against leases and callers' deadlines that ignore the time of the suspension.
"""

from __future__ import annotations

import socket
import time
import unittest
from unittest import mock

from winchfork.boot_clock import boot_seconds
from winchfork.control.leader import Leadership
from winchfork.gateway.caller import Caller, StoredRequestWaiter
from winchfork.stores.key_value import KeyValueStore

_SUSPENSIONS_S = (1.0, 5.0, 30.0)


def suspended(for_s: float) -> mock._patch[object]:
    """Advance ``time.clock_gettime`` as a suspension of ``for_s`` seconds does."""
    read = time.clock_gettime
    return mock.patch("time.clock_gettime", lambda clock: read(clock) + for_s)


def granting_store() -> KeyValueStore:
    """Return a store that grants a lease and the first write."""
    store = mock.create_autospec(KeyValueStore)
    store.get.return_value = None
    store.grant_lease.return_value = 7
    store.compare_and_swap.return_value = 1
    return store


class SuspendedGatewayTest(unittest.TestCase):
    def test_leader_loses_a_lease_that_expires_during_a_suspension(self) -> None:
        for suspended_s in _SUSPENSIONS_S:
            leader = Leadership(granting_store(), "/leader", "one")
            self.assertTrue(leader.acquire_or_renew())
            with suspended(suspended_s):
                self.assertEqual(leader.is_valid(), suspended_s == 1.0, suspended_s)

    def test_deadlines_pass_during_a_suspension(self) -> None:
        connection, other = socket.socketpair()
        self.addCleanup(connection.close)
        self.addCleanup(other.close)
        deadline_at_s = boot_seconds() + 3.0
        for suspended_s in _SUSPENSIONS_S:
            with suspended(suspended_s):
                for waiter in (
                    Caller(connection, deadline_at_s),
                    StoredRequestWaiter(deadline_at_s),
                ):
                    self.assertEqual(waiter.check() is None, suspended_s == 1.0, suspended_s)
