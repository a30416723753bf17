"""Chooses a replica for each attempt of one request and builds the message for it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from winchfork.core.engine_speed import PRIOR_FIRST_TOKEN_S, EngineSpeed
from winchfork.core.part_index import part_key, shared_keys
from winchfork.core.permit_queue import PermitOpening
from winchfork.core.placement_request import PromptPlacementRequest, RelayDecision
from winchfork.core.prompt_cost import max_jitter_s
from winchfork.core.prompt_parts import CacheScope
from winchfork.core.relay_placement import place_prompt
from winchfork.core.relay_replica import RelayReplica
from winchfork.core.rendezvous import member_hash
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.task_placement import TaskPlacementRequest, place_task
from winchfork.core.urgency import urgency_level
from winchfork.logs import log_event
from winchfork.router.attempt import AttemptPlan
from winchfork.router.header_codec import DispatchFields, HeaderCodec
from winchfork.router.http_types import IncomingRequest, render_headers
from winchfork.router.request_admission import AdmittedRequest
from winchfork.router.request_tenancy import RequestTenancy
from winchfork.router.state import RouterState

#: Seconds after the announcement of a newer version in which older weights carry no extra cost.
OLD_WEIGHTS_GRACE_S = 1.5
#: Seconds from the placement decision to the expected start of the run.
EXPECTED_START_DELAY_S = 0.2


class AttemptPlanner:
    """Plans the attempts of one admitted request."""

    def __init__(
        self,
        state: RouterState,
        header_codec: HeaderCodec,
        request: IncomingRequest,
        admitted: AdmittedRequest,
        service: str,
    ) -> None:
        self._state = state
        self._header_codec = header_codec
        self._request = request
        self._admitted = admitted
        self.service = service
        self.tenancy = RequestTenancy(state, admitted)
        self._prompt = admitted.fields.prompt
        family = self._prompt.family if self._prompt else admitted.fields.request_id
        self._on_target = state.software.assign_to_target(service, family)
        #: The version of the software that began the stream; None while none has.
        self.bound_to: str | None = None
        self._stores = state.cache_store_choices(service, self._prompt) if self._prompt else {}

    def bind_to_software(self, version: str) -> None:
        """Restrict the request to the version of the software that has begun its stream."""
        self.bound_to = version

    @property
    def _begun_at(self) -> str | None:
        """The version that began the stream, as listed now."""
        if self.bound_to is None:
            return None
        return self._state.fleet.resolve_software(self.bound_to)

    @property
    def _speed(self) -> EngineSpeed:
        return self._state.engine_speed(self.service)

    def place(self, excluded: set[str]) -> RelayDecision | None:
        """Return the best replica not in ``excluded``, or None if none accepts requests now."""
        candidates = self._candidates(excluded)
        now_s = self._state.clock()
        settings = self._state.settings
        delay = self._state.region_delay
        connected = frozenset(
            replica.incarnation_hash
            for replica in candidates
            if replica.counts_as_connected or self._state.is_connected(replica.listing.address)
        )
        if self._prompt is None:
            task = TaskPlacementRequest(
                settings.zone, now_s, settings.regions, delay.task_crossing_s, connected
            )
            return place_task(task, candidates)
        prefill_tokens_per_s = self._speed.prefill_tokens_per_s
        request = PromptPlacementRequest(
            prompt=self._prompt,
            scope=self.tenancy.scope(self._prompt.model),
            zone=settings.zone,
            now_s=now_s,
            expected_run_s=self._prompt.output_tokens * self._state.run_s_per_token,
            copy_tokens_per_s=self._state.copy_tokens_per_s(self.service),
            cache_tokens=self._state.cache_capacity_tokens(self.service),
            mean_run_s=self._state.mean_run_s,
            max_jitter_s=max_jitter_s(self._prompt, self._state.daemon_count, prefill_tokens_per_s),
            jitter_key=member_hash(self._admitted.fields.request_id),
            old_versions=self._old_versions(self._prompt.model, candidates),
            stores=self._stores,
            gap_target_s=self._admitted.route.gap_target_s,
            prefill_tokens_per_s=prefill_tokens_per_s,
            regions=settings.regions,
            cross_region_cost_s=delay.prompt_crossing_s,
            connected=connected,
        )
        stores = [choice.store for choice in self._stores.values()]
        sources = [*self._state.fleet.of_service(self.service), *stores]
        return place_prompt(request, candidates, sources, self._state.parts)

    def _candidates(self, excluded: set[str]) -> list[RelayReplica]:
        return self._state.replica_selector.candidates(
            self.service,
            excluded,
            self._prompt,
            on_target=self._on_target,
            begun_at=self._begun_at,
        )

    def is_available(self, replica: RelayReplica, excluded: set[str]) -> bool:
        """Whether this incarnation of a replica may be sent the request now."""
        return any(candidate is replica for candidate in self._candidates(excluded))

    def describe_target(self) -> str:
        """Return the service's name, with the version if only one may continue the stream."""
        return f"{self.service} at {self._begun_at}" if self._begun_at else self.service

    def listed_replicas(self) -> list[RelayReplica]:
        """Return the service's replicas, only those of its version once the stream has begun."""
        replicas = self._state.fleet.of_service(self.service)
        if self._begun_at is None:
            return list(replicas)
        return [item for item in replicas if item.listing.software == self._begun_at]

    def has_candidates(self, excluded: set[str]) -> bool:
        """Whether a replica not in ``excluded`` accepts requests now."""
        return bool(self._candidates(excluded))

    def is_version_gone(self, excluded: set[str]) -> bool:
        """Whether the service accepts requests, but none of the version that began the stream."""
        if self._begun_at is None:
            return False
        selector = self._state.replica_selector
        return selector.is_version_gone(self.service, excluded, self._begun_at)

    def next_available_in_s(self, excluded: set[str]) -> float | None:
        """Return in how many seconds the first replica will accept requests; None if none will."""
        return self._state.replica_selector.next_available_in_s(
            self.service, excluded, on_target=self._on_target, begun_at=self._begun_at
        )

    def permit_openings(self, excluded: set[str]) -> list[PermitOpening] | None:
        """Return the coming permits if every remaining replica has a request limit, else None."""
        return self._state.replica_selector.permit_openings(
            self.service, excluded, on_target=self._on_target, begun_at=self._begun_at
        )

    def min_run_s(self) -> float:
        """Return the seconds that a run is expected to take at least; 0 without a prompt.

        Computed from the output tokens and the average time per output token of recent runs.
        """
        return self._prompt.output_tokens * self._state.run_s_per_token if self._prompt else 0.0

    def expected_wait_s(self) -> float | None:
        """Return the expected cost in seconds at the best of all replicas, attempted ones included.

        If none accepts requests now, return the seconds until the first will, or None if none will.
        """
        decision = self.place(set())
        return decision.cost_s if decision is not None else self.next_available_in_s(set())

    def family_key(self, version: int | None) -> str | None:
        """Return the key of the prompt's last shared part under a weights version, in hex."""
        prompt = self._prompt
        if prompt is None or version is None or not prompt.shared_parts:
            return None
        namespace = self.tenancy.scope(prompt.model).namespace(version)
        return f"{part_key(namespace, prompt.shared_parts[-1]):016x}"

    def _old_versions(self, model: str, candidates: Sequence[RelayReplica]) -> frozenset[int]:
        """Return the candidates' weights versions that were replaced longer ago than the grace."""
        history = self._state.weights_versions.get(model)
        if history is None:
            return frozenset()
        now_s = self._state.clock() + EXPECTED_START_DELAY_S
        versions = {replica.versions.get(model, 0) for replica in candidates}
        return frozenset(
            version
            for version in versions
            if history.expires_at_s(version, OLD_WEIGHTS_GRACE_S) <= now_s
        )

    def plan(
        self, decision: RelayDecision, time_left_s: float, resume_after: int | None
    ) -> AttemptPlan:
        """Return the attempt at the chosen replica; ``time_left_s`` becomes its deadline."""
        replica = decision.replica
        prompt = self._prompt
        selector = self._state.replica_selector
        version = replica.versions.get(prompt.model) if prompt else None
        scope = self.tenancy.scope(prompt.model) if prompt else None
        fields = self._fields(decision, version, time_left_s, resume_after, scope)
        return AttemptPlan(
            replica=replica,
            head=self._message_head(fields),
            body=self._request.body,
            request_id=self._admitted.fields.request_id,
            kind=self._admitted.route.kind,
            prefill_tokens=decision.prefill_tokens,
            memory_tokens=prompt.memory_tokens if prompt else 0,
            model=prompt.model if prompt else "",
            weights_version=version,
            no_body=self._request.method == b"HEAD",
            expected_end_at_s=self._state.clock() + self._expected_run_s(decision),
            expected_s=self._expected_first_event_s(decision),
            start_margin_s=selector.start_margin_s(replica, prompt) if prompt else 0.0,
            software=replica.listing.software,
            resume_after=resume_after,
            on_prefill_done=self._on_prefill_done(decision, version, scope),
            on_notice=self._on_notice(replica),
        )

    def _on_notice(self, replica: RelayReplica) -> Callable[[AnswerNotice, bool], None]:
        """Return the callback that records the notices of a replica that is sent the request."""
        sent_at_s = self._state.clock()

        def record_notice(notice: AnswerNotice, is_answer: bool) -> None:
            self._state.notices.record(replica, notice, sent_at_s if is_answer else None)

        return record_notice

    def _fields(
        self,
        decision: RelayDecision,
        version: int | None,
        time_left_s: float,
        resume_after: int | None,
        scope: CacheScope | None,
    ) -> DispatchFields:
        tenant = self.tenancy.tenant
        save_to = decision.save_to
        return DispatchFields(
            deadline_s=time_left_s,
            replica_id=decision.replica.replica_id,
            tenant=tenant.name if tenant else None,
            priority=self._urgency(decision) if self._prompt else None,
            namespace=scope.namespace(version or 0) if scope else None,
            weights_version=version,
            resume_after=resume_after,
            copy_from=decision.copy_from.listing.address if decision.copy_from else None,
            save_to=save_to.listing.address if save_to else None,
        )

    def _urgency(self, decision: RelayDecision) -> int:
        prefill_s = decision.prefill_tokens / self._speed.prefill_tokens_per_s
        target_s = self._admitted.route.target_latency_s
        return urgency_level(self._admitted.priority, prefill_s, target_s)

    def _message_head(self, fields: DispatchFields) -> bytes:
        request = self._request
        headers = self._header_codec.dispatch_headers(request.headers, fields)
        if request.body or request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        start_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        return render_headers(start_line, headers)

    def _expected_run_s(self, decision: RelayDecision) -> float:
        if self._prompt is None:
            return decision.cost_s
        return decision.cost_s + self._prompt.output_tokens * self._state.run_s_per_token

    def _expected_first_event_s(self, decision: RelayDecision) -> float:
        """Return the expected seconds to the first event; 1 s for requests without a prompt.

        Software versions are compared by the ratio to this value, so the constant does not matter.
        """
        if self._prompt is None:
            return 1.0
        tokens = decision.replica.queued_prefill_tokens + decision.prefill_tokens
        return PRIOR_FIRST_TOKEN_S + tokens / self._speed.prefill_tokens_per_s

    def _on_prefill_done(
        self, decision: RelayDecision, version: int | None, scope: CacheScope | None
    ) -> Callable[[], None]:
        """Return the callback that records what a finished prefill shows of the replica."""
        replica = decision.replica
        sent_at_s = self._state.clock()
        alone = not replica.queued_prefill_tokens and self._prefills_all_uncached(decision)

        def record_prefill() -> None:
            self._record_late_start(replica, version, sent_at_s)
            if scope is not None and version is not None:
                self._record_cached(replica, scope, version, decision.save_to)
            if alone:
                took_s = self._state.clock() - sent_at_s
                self._speed.record_first_token(decision.prefill_tokens, took_s)

        return record_prefill

    def _record_late_start(
        self, replica: RelayReplica, version: int | None, sent_at_s: float
    ) -> None:
        """Log and count a stream whose first event came after its weights had expired."""
        model = self._prompt.model if self._prompt else ""
        now_s = self._state.clock()
        late_s = now_s - self._state.replica_selector.weights_expire_at_s(model, version)
        if late_s <= 0.0:
            return
        self._state.metrics.late_starts.inc()
        log_event(
            "stream_started_late",
            "WARNING",
            id=self._admitted.fields.request_id,
            replica=replica.replica_id,
            weights=version,
            late_s=late_s,
            sent_s=now_s - sent_at_s,
        )

    def _prefills_all_uncached(self, decision: RelayDecision) -> bool:
        """Whether the replica processes every token that it has not cached, and copies none."""
        if decision.copied_tokens:
            return False
        shared_tokens = self._prompt.shared_tokens if self._prompt else 0
        return decision.copy_from is None or decision.cached_tokens == shared_tokens

    def _record_cached(
        self,
        replica: RelayReplica,
        scope: CacheScope,
        version: int,
        saved_to: RelayReplica | None,
    ) -> None:
        """Record the prompt's shared parts as cached at the replica, and in the store if saved."""
        prompt = self._prompt
        if prompt is None:
            return
        keys = shared_keys(scope, prompt, version)
        self._state.record_cached_parts(replica, keys)
        if saved_to is not None:
            self._state.record_cached_parts(saved_to, keys)
