"""Creates the exchanges with peers, and registers the handler of each message type."""

from __future__ import annotations

import asyncio

import msgspec

from winchfork.router.brittle_exchange import BrittleExchange
from winchfork.router.configuration_exchange import ConfigurationExchange
from winchfork.router.crash_exchange import CrashExchange
from winchfork.router.document_relay import DocumentRelay
from winchfork.router.evidence_exchange import EvidenceExchange
from winchfork.router.leadership import Leadership
from winchfork.router.notice_exchange import NoticeExchange
from winchfork.router.part_exchange import PartExchange
from winchfork.router.peer_messages import (
    Activity,
    BrittleReport,
    ClearedRequests,
    ConfigurationQuery,
    ConfigurationReply,
    CrashReport,
    DocumentPart,
    DocumentPull,
    EraDocumentPart,
    EraDocumentPull,
    FailureReport,
    FleetWork,
    PartRefusalReport,
    RegionWork,
    ReplicaNotices,
    Resignation,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginReport,
    SuspectPartsReport,
    SuspectRunReport,
    VersionAgeQuery,
    VersionAgeReply,
    VersionAges,
    VersionEvidence,
    VersionStop,
    WeightsProgress,
    ZoneWork,
)
from winchfork.router.peers import PeerGroup
from winchfork.router.quota_exchange import QuotaExchange
from winchfork.router.region_exchange import RegionExchange
from winchfork.router.state import RouterState
from winchfork.router.store_sync import StoreSync
from winchfork.router.stream_archive_exchange import StreamArchiveExchange
from winchfork.router.stream_origin_exchange import StreamOriginExchange
from winchfork.router.version_age_exchange import VersionAgeExchange
from winchfork.router.weights_exchange import WeightsExchange
from winchfork.router.work_exchange import WorkExchange


class PeerExchanges(msgspec.Struct, frozen=True):
    """The exchanges that are used outside this module."""

    weights: WeightsExchange
    evidence: EvidenceExchange
    notices: NoticeExchange
    stream_origins: StreamOriginExchange
    stream_archive: StreamArchiveExchange


def connect_peers(
    state: RouterState, peers: PeerGroup, sync: StoreSync, leadership: Leadership
) -> PeerExchanges:
    """Connect the parts of this process to its peers."""
    call_later = asyncio.get_running_loop().call_later
    evidence = EvidenceExchange(state, peers, call_later)
    quotas = QuotaExchange(state, peers)
    regions = RegionExchange(state, peers, quotas)
    work = WorkExchange(state, peers, call_later, quotas, regions)
    weights = WeightsExchange(state, peers)
    relay = DocumentRelay(state, peers, sync, call_later)
    peers.register_handler(Activity, work.handle_activity)
    peers.register_handler(ZoneWork, work.handle_zone)
    peers.register_handler(RegionWork, work.handle_region)
    peers.register_handler(FleetWork, work.handle_fleet)
    peers.register_handler(WeightsProgress, weights.handle_weights)
    version_ages = VersionAgeExchange(state, peers)
    peers.register_handler(VersionAges, version_ages.handle_report)
    peers.register_handler(VersionAgeQuery, version_ages.handle_query)
    peers.register_handler(VersionAgeReply, version_ages.handle_reply)
    peers.register_handler(Resignation, leadership.handle_resignation)
    peers.register_handler(
        FailureReport,
        lambda message: state.record_failure_report(message.replica_hash, message.sender_id),
    )
    brittle = BrittleExchange(state, peers, call_later)
    peers.register_handler(BrittleReport, brittle.handle_report)
    state.on_ejected = lambda replica: peers.broadcast(
        FailureReport(state.settings.node_id, replica.incarnation_hash)
    )
    state.on_work_sent = work.send_soon
    peers.register_handler(VersionEvidence, evidence.handle_evidence)
    peers.register_handler(VersionStop, evidence.handle_stop)
    crashes = CrashExchange(state, peers, call_later)
    peers.register_handler(CrashReport, crashes.handle_crash_report)
    peers.register_handler(SuspectRunReport, crashes.handle_suspect_run)
    parts = PartExchange(state, peers, call_later)
    state.crashes.parts.on_trial = crashes.broadcast_run
    peers.register_handler(SuspectPartsReport, parts.handle_crash_report)
    peers.register_handler(PartRefusalReport, parts.handle_refusals)

    def handle_cleared(message: ClearedRequests) -> None:
        crashes.handle_cleared(message)
        parts.handle_cleared(message)

    peers.register_handler(ClearedRequests, handle_cleared)
    notices = NoticeExchange(state, peers, call_later)
    peers.register_handler(ReplicaNotices, notices.handle_notices)
    stream_origins = StreamOriginExchange(state, peers)
    stream_archive = StreamArchiveExchange(state, peers, stream_origins)
    peers.register_handler(StreamOriginReport, stream_origins.handle_report)
    peers.register_handler(StreamOriginQuery, stream_origins.handle_query)
    peers.register_handler(StreamOriginReply, stream_origins.handle_reply)
    peers.register_handler(DocumentPull, relay.handle_pull)
    peers.register_handler(DocumentPart, relay.handle_part)
    peers.register_handler(EraDocumentPull, relay.handle_era_pull)
    peers.register_handler(EraDocumentPart, relay.handle_era_part)
    configurations = ConfigurationExchange(state, peers)
    peers.register_handler(ConfigurationQuery, configurations.handle_query)
    peers.register_handler(ConfigurationReply, configurations.handle_reply)
    peers.on_tick += [
        state.stall_detector.tick,
        configurations.tick,
        version_ages.tick,
        work.tick,
        notices.tick,
        brittle.tick,
        stream_origins.tick,
        stream_archive.tick,
    ]
    if state.settings.software_rollouts:
        peers.on_tick.append(evidence.tick)
    peers.on_position = relay.handle_position
    sync.set_relay(relay)
    leadership.eligible = lambda: relay.may_lead and not state.is_partitioned()
    leadership.newest_era = lambda: state.eras.newest
    return PeerExchanges(weights, evidence, notices, stream_origins, stream_archive)
