"""The stand-in of the platform's store: what the soak's verdicts rest on."""

from __future__ import annotations

import unittest

from standins.store_server import StoreServer
from winchfork.errors import Failure
from winchfork.platform.store import PlatformStore
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.pooled_http_client import PooledHttpClient


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_lease_that_is_over_is_never_taken_for_a_later_one(self) -> None:
        """A holder that had been cut off renewed its successor's lease, and both gave orders."""
        server = StoreServer()
        await server.start()
        self.addAsyncCleanup(server.stop)
        pool = ConnectionPool()
        self.addCleanup(pool.close)
        store = PlatformStore(PooledHttpClient(pool, lambda label: None), server.address)
        first = await store.grant_lease(5.0)
        assert not isinstance(first, Failure)
        await store.end_lease(first)
        second = await store.grant_lease(5.0)
        assert not isinstance(second, Failure)
        self.assertIs(await store.renew_lease(first), False)
        self.assertIs(await store.renew_lease(second), True)
