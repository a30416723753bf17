"""Cached prompt parts of tenants that become isolated, or stop being so."""

from __future__ import annotations

import itertools
import unittest

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import KEY, URGENT_KEY, ScriptedReplica, answering, signed
from winchfork.core.prompt_parts import CacheScope, shared_isolation_key
from winchfork.core.routing import RoutingTable, TenantPolicy

#: Each set of isolated tenants that a configuration may name, of three.
TENANTS = ("a", "b", "c")
ISOLATED_SETS = tuple(
    frozenset(names)
    for count in range(len(TENANTS) + 1)
    for names in itertools.combinations(TENANTS, count)
)


def namespace(tenant: str, isolated: frozenset[str]) -> str:
    shared_key = shared_isolation_key(isolated)
    return CacheScope.for_tenant(tenant, tenant in isolated, "m", shared_key).namespace(1)


class NamespaceTest(unittest.TestCase):
    def test_no_request_finds_parts_of_a_tenant_that_is_isolated_from_it_now(self) -> None:
        """Whatever the configuration was when the parts were made."""
        for before, now in itertools.product(ISOLATED_SETS, repeat=2):
            for maker, user in itertools.permutations(TENANTS, 2):
                if {maker, user} & now:
                    with self.subTest(before=before, now=now, maker=maker, user=user):
                        self.assertNotEqual(namespace(maker, before), namespace(user, now))

    def test_tenants_that_are_not_isolated_share_their_parts(self) -> None:
        for isolated in ISOLATED_SETS:
            sharing = {namespace(tenant, isolated) for tenant in TENANTS if tenant not in isolated}
            self.assertLessEqual(len(sharing), 1)

    def test_the_key_depends_on_who_is_isolated_alone(self) -> None:
        self.assertEqual(shared_isolation_key(["a", "b"]), shared_isolation_key(["b", "a"]))
        self.assertNotEqual(shared_isolation_key(["a", "b"]), shared_isolation_key(["ab"]))


class RelayedNamespaceTest(RelayTestCase):
    async def asyncSetUp(self) -> None:
        self.replica = ScriptedReplica(answering(lambda request: signed(request, b"ok")))
        self.router = await self.relay(self.replica)

    def _isolate(self, version: int, *names: str) -> None:
        known = self.router.state.routing_table
        assert known is not None
        tenants = [
            TenantPolicy(item.name, item.api_keys, item.priority, isolated=item.name in names)
            for item in known.tenants
        ]
        table = RoutingTable(version, known.routes, known.services.values(), tenants)
        self.assertTrue(self.router.state.install_table(table))

    async def _salt(self, key: str) -> str:
        answer = await self.router.ask(method="POST", extra=PROMPT_HEADERS, key=key)
        self.assertEqual(answer.status, 200)
        return self.replica.received[-1].headers["x-cache-salt"]

    async def test_what_a_tenant_made_before_it_became_isolated_is_used_by_nobody(self) -> None:
        made_before = await self._salt(KEY)
        self.assertEqual(await self._salt(URGENT_KEY), made_before)
        self._isolate(2, "school")
        own, others = await self._salt(KEY), await self._salt(URGENT_KEY)
        self.assertEqual(len({made_before, own, others}), 3)

    async def test_a_configuration_that_isolates_nobody_anew_keeps_the_cache(self) -> None:
        self._isolate(2, "school")
        others = await self._salt(URGENT_KEY)
        self._isolate(3, "school")
        self.assertEqual(await self._salt(URGENT_KEY), others)


if __name__ == "__main__":
    unittest.main()
