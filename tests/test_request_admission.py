"""Which tenant's name a request runs in, by the age of the proof that the keys are current.

The route allows callers without a key.
"""

from __future__ import annotations

import unittest

from tests.relay_case import RelayTestCase
from tests.relay_support import KEY, RelayUnderTest, ScriptedReplica, answering, signed
from winchfork.core.routing import RoutingTable
from winchfork.router.settings import RouterSettings

FORMER_KEY = "key-of-nobody"
#: Share of the revocation bound up to which operators expect keys to be served without the store.
SERVED_SHARE = 0.6


class AnonymousRouteTest(RelayTestCase):
    async def asyncSetUp(self) -> None:
        self.replica = ScriptedReplica(answering(lambda request: signed(request, b"ok")))
        self.router: RelayUnderTest = await self.relay(self.replica, anonymous=True)

    def _prove(self, age_s: float) -> None:
        """Let the last proof that the configuration is current be this old."""
        state = self.router.state
        state.freshness = type(state.freshness)()
        state.freshness.prove(state.clock() - age_s)

    @property
    def _revoke_s(self) -> float:
        settings: RouterSettings = self.router.state.settings
        return settings.bounds.revoke_s

    def _tenants_that_ran(self) -> list[str | None]:
        return [request.headers.get("x-tenant-id") for request in self.replica.received]

    async def test_a_proven_key_runs_in_its_tenants_name(self) -> None:
        self._prove(age_s=0.0)
        self.assertEqual((await self.router.ask()).status, 200)
        self.assertEqual(self._tenants_that_ran(), ["school"])

    async def test_a_proven_unknown_key_runs_in_nobodys_name(self) -> None:
        self._prove(age_s=0.0)
        self.assertEqual((await self.router.ask(key=FORMER_KEY)).status, 200)
        self.assertEqual(self._tenants_that_ran(), [None])

    async def test_a_key_is_served_until_it_may_have_been_revoked_for_too_long(self) -> None:
        self._prove(age_s=SERVED_SHARE * self._revoke_s)
        self.assertEqual((await self.router.ask()).status, 200)
        self.assertEqual(self._tenants_that_ran(), ["school"])

    async def test_a_key_that_may_have_moved_is_refused_as_not_run(self) -> None:
        self._prove(age_s=self._revoke_s)
        refused = await self.router.ask(key=KEY)
        self.assert_not_run(refused)
        self.assertIn("retry-after", refused.headers)
        self.assertIn(b"configuration_stale", refused.body)
        self.assertEqual(self._tenants_that_ran(), [])

    async def test_a_key_that_a_tenant_may_have_got_is_refused_as_not_run(self) -> None:
        self._prove(age_s=self._revoke_s)
        self.assert_not_run(await self.router.ask(key=FORMER_KEY))
        self.assertEqual(self._tenants_that_ran(), [])

    async def test_a_caller_without_a_key_is_served_whatever_the_age(self) -> None:
        self._prove(age_s=self._revoke_s)
        self.assertEqual((await self.router.ask(key="")).status, 200)
        self.assertEqual(self._tenants_that_ran(), [None])

    async def test_a_key_is_used_again_once_it_is_proven(self) -> None:
        self._prove(age_s=self._revoke_s)
        self.assert_not_run(await self.router.ask())
        self._prove(age_s=0.0)
        self.assertEqual((await self.router.ask()).status, 200)
        self.assertEqual(self._tenants_that_ran(), ["school"])

    async def test_an_unproven_configuration_without_tenants_gives_a_key_to_nobody(self) -> None:
        """A first configuration with tenants may have been accepted since."""
        known = self.router.state.routing_table
        assert known is not None
        table = RoutingTable(2, known.routes, known.services.values())
        self.assertTrue(self.router.state.install_table(table))
        self._prove(age_s=self._revoke_s)
        self.assert_not_run(await self.router.ask())
        self.assertEqual((await self.router.ask(key="")).status, 200)
        self._prove(age_s=0.0)
        self.assertEqual((await self.router.ask()).status, 200)
        self.assertEqual(self._tenants_that_ran(), [None, None])


if __name__ == "__main__":
    unittest.main()
