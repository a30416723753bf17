"""The first gateway after its machine was suspended.

While a machine is asleep, ``CLOCK_MONOTONIC`` stands still and ``CLOCK_BOOTTIME`` does not. The
gateway read the former: a leader that had slept for 30 s took its lease of 6 s for valid, and the
deadlines of callers moved by as much.
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

_SLEEPS_S = (1.0, 5.0, 30.0)


def asleep(for_s: float) -> mock._patch[object]:
    """Have the machine wake from a suspension of that length."""
    read = time.clock_gettime
    return mock.patch("time.clock_gettime", lambda clock: read(clock) + for_s)


def willing_store() -> KeyValueStore:
    """Return a store that grants a lease and the first write."""
    store = mock.create_autospec(KeyValueStore)
    store.get.return_value = None
    store.grant_lease.return_value = 7
    store.compare_and_swap.return_value = 1
    return store


class SuspendedGatewayTest(unittest.TestCase):
    def test_a_leader_that_slept_past_its_lease_leads_no_more(self) -> None:
        for slept_s in _SLEEPS_S:
            leader = Leadership(willing_store(), "/leader", "one")
            self.assertTrue(leader.acquire_or_renew())
            with asleep(slept_s):
                self.assertEqual(leader.still_valid(), slept_s == 1.0, slept_s)

    def test_the_deadlines_of_callers_pass_while_asleep(self) -> None:
        connection, other = socket.socketpair()
        self.addCleanup(connection.close)
        self.addCleanup(other.close)
        deadline_at_s = boot_seconds() + 3.0
        for slept_s in _SLEEPS_S:
            with asleep(slept_s):
                for waiter in (
                    Caller(connection, deadline_at_s),
                    StoredRequestWaiter(deadline_at_s),
                ):
                    self.assertEqual(waiter.check() is None, slept_s == 1.0, slept_s)
