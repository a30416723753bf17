"""Requests that were admitted under one configuration and are sent to a replica under the next."""

from __future__ import annotations

import asyncio

import msgspec

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    KEY,
    ReceivedAnswer,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    chunk,
    event,
    signed,
    stream_head,
)
from winchfork.core.part_index import shared_keys
from winchfork.core.prompt_parts import CacheScope, Prompt, PromptPart
from winchfork.core.routing import RouteKind, RoutingTable, TenantPolicy

#: Seconds for which all replicas are held, so that requests wait for one.
HOLD_S = 0.3
NOT_RUN = "X-Not-Executed: busy\r\n"
PROMPT = Prompt("m", (PromptPart("aa", 60), PromptPart("bb", 40)), 100, 20)


def served(request: ReceivedRequest) -> bytes:
    return signed(request, b"ok")


class ChangedConfigurationCase(RelayTestCase):
    """A router in front of two replicas that answer at once."""

    async def start(self, **route: object) -> None:
        self.replicas = [ScriptedReplica(answering(served)) for _ in range(2)]
        self.router: RelayUnderTest = await self.relay(*self.replicas, **route)

    def install(self, version: int, *tenants: TenantPolicy) -> None:
        known = self.router.state.routing_table
        assert known is not None
        table = RoutingTable(version, known.routes, known.services.values(), tenants)
        self.assertTrue(self.router.state.install_table(table))

    def hold_all(self) -> None:
        for replica in self.router.state.fleet.replicas():
            replica.loading_until_s = self.router.state.clock() + HOLD_S

    @property
    def received(self) -> list[ReceivedRequest]:
        return [request for replica in self.replicas for request in replica.received]

    def headers(self, name: str) -> list[str | None]:
        return [request.headers.get(name) for request in self.received]

    async def ask_while_held(self, *tenants: TenantPolicy, extra: str = "") -> ReceivedAnswer:
        """Send a request that waits for a replica; install ``tenants`` meanwhile."""
        self.hold_all()
        waiting = asyncio.create_task(self.router.ask(method="POST", extra=extra))
        await asyncio.sleep(HOLD_S / 3)
        self.assertFalse(self.received)
        self.install(2, *tenants)
        return await waiting


class TenantTest(ChangedConfigurationCase):
    """Guards against runs in the name of a tenant that is known not to hold the key any more."""

    async def test_a_request_that_waits_while_its_key_moves_runs_for_the_new_holder(self) -> None:
        await self.start()
        answer = await self.ask_while_held(TenantPolicy("press", (KEY,)))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.headers("x-tenant-id"), ["press"])

    async def test_a_retry_after_its_key_has_moved_runs_for_the_new_holder(self) -> None:
        await self.start()

        def move_key(request: ReceivedRequest) -> bytes:
            self.install(2, TenantPolicy("press", (KEY,)))
            return signed(request, b"", status="503 Busy", extra=NOT_RUN)

        self.replicas[0].scripts = [answering(move_key)]
        self.assertEqual((await self.router.ask()).status, 200)
        self.assertEqual(self.headers("x-tenant-id"), ["school", "press"])

    async def test_a_renamed_tenant_is_named_as_the_newest_configuration_names_it(self) -> None:
        await self.start()
        await self.ask_while_held(TenantPolicy("college", (KEY,), isolated=True))
        self.assertEqual(self.headers("x-tenant-id"), ["college"])

    async def test_a_request_sent_before_its_key_was_removed_keeps_its_tenant(self) -> None:
        await self.start()
        answer = await self.ask_while_held(TenantPolicy("school", ()))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.headers("x-tenant-id"), ["school"])

    async def test_a_request_that_waits_until_its_key_cannot_be_checked_is_refused(self) -> None:
        await self.start()
        state = self.router.state
        self.hold_all()
        waiting = asyncio.create_task(self.router.ask())
        await asyncio.sleep(HOLD_S / 3)
        state.freshness = type(state.freshness)()
        state.freshness.prove(state.clock() - state.settings.bounds.revoke_s)
        refused = await waiting
        self.assert_not_run(refused)
        self.assertIn(b"configuration_stale", refused.body)
        self.assertFalse(self.received)


class NamespaceTest(ChangedConfigurationCase):
    """Guards against the use of parts that a tenant has made which is isolated now."""

    ISOLATED = TenantPolicy("school", (KEY,), isolated=True)

    def salts(self) -> list[str | None]:
        return self.headers("x-cache-salt")

    async def test_a_request_that_waits_while_its_tenant_becomes_isolated(self) -> None:
        await self.start()
        answer = await self.ask_while_held(self.ISOLATED, extra=PROMPT_HEADERS)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.salts(), ["t.school/m/1"])

    async def test_a_request_that_waits_while_another_tenant_becomes_isolated(self) -> None:
        await self.start()
        other = TenantPolicy("press", ("press-key",), isolated=True)
        await self.ask_while_held(TenantPolicy("school", (KEY,)), other, extra=PROMPT_HEADERS)
        waited = self.salts()
        await self.router.ask("id-2", method="POST", extra=PROMPT_HEADERS)
        self.assertEqual(waited * 2, self.salts())

    async def test_a_retry_after_its_tenant_has_become_isolated(self) -> None:
        await self.start()

        def isolate(request: ReceivedRequest) -> bytes:
            self.install(2, self.ISOLATED)
            return signed(request, b"", status="503 Busy", extra=NOT_RUN)

        self.replicas[0].scripts = [answering(isolate)]
        answer = await self.router.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.salts(), ["-/m/1", "t.school/m/1"])

    async def test_a_stream_that_goes_on_elsewhere_after_its_tenant_has_become_isolated(
        self,
    ) -> None:
        await self.start(kind=RouteKind.STREAMING, resumable=True)

        def break_off(request: ReceivedRequest) -> bytes:
            self.install(2, self.ISOLATED)
            return stream_head(request) + chunk(event(1))

        def go_on(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(2)) + b"0\r\n\r\n"

        self.replicas[0].scripts = [answering(break_off, keep_open=False)]
        self.replicas[1].scripts = [answering(go_on)]
        answer = await self.router.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertEqual(answer.body, event(1) + event(2))
        self.assertEqual(self.salts(), ["-/m/1", "t.school/m/1"])

    async def test_parts_are_recorded_under_the_namespace_that_their_run_was_sent(self) -> None:
        await self.start(kind=RouteKind.STREAMING)

        def isolate(request: ReceivedRequest) -> bytes:
            self.install(2, self.ISOLATED)
            return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"

        self.replicas[0].scripts = [answering(isolate)]
        await self.router.ask(method="POST", extra=PROMPT_HEADERS)
        own_scope = CacheScope.for_tenant("school", True, "m")
        shared_scope = CacheScope.for_tenant("school", False, "m")
        parts = self.router.state.parts
        self.assertTrue(parts.cached_depths(shared_keys(shared_scope, PROMPT, 1)))
        self.assertFalse(parts.cached_depths(shared_keys(own_scope, PROMPT, 1)))


class UnprovenConfigurationTest(ChangedConfigurationCase):
    """Guards against parts of a tenant that may be isolated by now, as far as can be known."""

    async def _salt(self, key: str = "") -> str | None:
        answer = await self.router.ask(method="POST", extra=PROMPT_HEADERS, key=key)
        self.assertEqual(answer.status, 200)
        return self.received[-1].headers.get("x-cache-salt")

    def prove(self, age_s: float) -> None:
        state = self.router.state
        state.freshness = type(state.freshness)()
        state.freshness.prove(state.clock() - age_s)

    async def test_a_prompt_without_a_key_shares_no_parts_with_tenants(self) -> None:
        await self.start(anonymous=True)
        shared = await self._salt(KEY)
        self.prove(age_s=self.router.state.settings.bounds.revoke_s)
        self.assertNotEqual(await self._salt(), shared)
        self.prove(age_s=0.0)
        self.assertEqual(await self._salt(), shared)

    async def test_a_tenant_whose_key_is_served_all_the_same_shares_no_parts(self) -> None:
        await self.start()
        shared = await self._salt(KEY)
        bounds = self.router.state.settings.bounds
        open_bounds = msgspec.structs.replace(bounds, fail_closed=False)
        self.router.state.settings = msgspec.structs.replace(
            self.router.state.settings, bounds=open_bounds
        )
        self.prove(age_s=bounds.revoke_s)
        self.assertNotEqual(await self._salt(KEY), shared)
