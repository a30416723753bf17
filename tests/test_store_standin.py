"""Tests of the store stand-in, on which the soak's checks rely."""

from __future__ import annotations

import unittest

from standins.store_server import StoreServer
from winchfork.errors import Failure
from winchfork.platform.store import PlatformStore
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.pooled_http_client import PooledHttpClient


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_ended_lease_is_not_renewed_after_a_new_grant(self) -> None:
        """Guards against reused lease ids, with which two daemons could hold one lease."""
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
