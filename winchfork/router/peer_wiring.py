"""Gives each kind of message from peers to the part that takes it in."""

from __future__ import annotations

import asyncio

import msgspec

from winchfork.router.crash_exchange import CrashExchange
from winchfork.router.document_relay import DocumentRelay
from winchfork.router.evidence_exchange import EvidenceExchange
from winchfork.router.leadership import Leadership
from winchfork.router.notice_exchange import NoticeExchange
from winchfork.router.peer_messages import (
    Accusation,
    Activity,
    ClearedRequests,
    DocumentPart,
    DocumentPull,
    EndedUnder,
    EraDocumentPart,
    EraDocumentPull,
    FleetWork,
    NamedVersions,
    RegionWork,
    ReplicaNotices,
    Resignation,
    SuspectUnderWay,
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
from winchfork.router.version_news import VersionNews
from winchfork.router.work_exchange import WorkExchange


class PeerParts(msgspec.Struct, frozen=True):
    """What the leader's duties need of what was connected."""

    news: VersionNews
    evidence: EvidenceExchange
    notices: NoticeExchange


def connect_peers(
    state: RouterState, peers: PeerGroup, sync: StoreSync, leadership: Leadership
) -> PeerParts:
    """Connect a process's parts to its peers."""
    call_later = asyncio.get_running_loop().call_later
    evidence = EvidenceExchange(state, peers, call_later)
    quotas = QuotaExchange(state, peers)
    regions = RegionExchange(state, peers, quotas)
    work = WorkExchange(state, peers, call_later, quotas, regions)
    news = VersionNews(state, peers)
    relay = DocumentRelay(state, peers, sync, call_later)
    peers.handle(Activity, work.take_activity)
    peers.handle(ZoneWork, work.take_zone)
    peers.handle(RegionWork, work.take_region)
    peers.handle(FleetWork, work.take_fleet)
    peers.handle(WeightsProgress, news.take_weights)
    peers.handle(NamedVersions, news.take_named)
    peers.handle(Resignation, leadership.note_resignation)
    peers.handle(
        Accusation, lambda message: state.note_accusation(message.replica_hash, message.sender_id)
    )
    state.on_ejected = lambda replica: peers.tell_everyone(
        Accusation(state.settings.node_id, replica.order_hash)
    )
    state.on_work_sent = work.tell_soon
    peers.handle(VersionEvidence, evidence.take)
    peers.handle(VersionStop, evidence.take_stop)
    crashes = CrashExchange(state, peers, call_later)
    peers.handle(EndedUnder, crashes.take_ended)
    peers.handle(SuspectUnderWay, crashes.take_run)
    peers.handle(ClearedRequests, crashes.take_cleared)
    notices = NoticeExchange(state, peers, call_later)
    peers.handle(ReplicaNotices, notices.take)
    peers.handle(DocumentPull, relay.take_pull)
    peers.handle(DocumentPart, relay.take_part)
    peers.handle(EraDocumentPull, relay.take_era_pull)
    peers.handle(EraDocumentPart, relay.take_era_part)
    peers.on_tick += [state.standstill.tick, news.greet_newcomers, work.tick, notices.tick]
    if state.settings.software_rollouts:
        peers.on_tick.append(evidence.tick)
    peers.on_position = relay.note_position
    sync.relay_through(relay)
    leadership.eligible = lambda: relay.may_lead
    leadership.newest_era = lambda: state.eras.newest
    return PeerParts(news, evidence, notices)
