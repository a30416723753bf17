"""Samples of each peer message type and of each kind of record in the store.

``tests/earlier_build.json`` holds them as encoded by the previous build; it is created on that
build by ``python -m tests.peer_samples > tests/earlier_build.json``.
"""

from __future__ import annotations

import json
import sys

import msgspec

from winchfork.cluster.wire import PeerCodec
from winchfork.core.document_table import TableItem, TableUpdate
from winchfork.core.member import IndirectProbe, Member, MemberStatus, Probe, ProbeReply
from winchfork.core.peer_message import PeerMessage
from winchfork.core.quota_ledger import QuotaLevel, QuotaLevels, QuotaReport, QuotaTotals
from winchfork.core.software_state import SoftwarePhase, SoftwareState, StopCause
from winchfork.core.store_position import StorePosition
from winchfork.router.document_parts import split_update
from winchfork.router.peer_messages import (
    PEER_MESSAGE_TYPES,
    Activity,
    BrittleEntry,
    BrittleReport,
    CachedPartsEntry,
    ClearedRequests,
    ConfigurationQuery,
    ConfigurationReply,
    CrashReport,
    DocumentPull,
    EraDocumentPull,
    EvidenceEntry,
    FailureReport,
    FleetWork,
    Forward,
    LimitEntry,
    PartRefusalEntry,
    PartRefusalReport,
    RegionWork,
    ReplicaLoadEntry,
    ReplicaNoticeEntry,
    ReplicaNotices,
    Resignation,
    StreamOriginEntry,
    StreamOriginQuery,
    StreamOriginReply,
    StreamOriginReport,
    SuspectPartsReport,
    SuspectRunReport,
    VersionAgeEntry,
    VersionAgeQuery,
    VersionAgeReply,
    VersionAges,
    VersionEvidence,
    VersionStop,
    WeightsEntry,
    WeightsProgress,
    ZoneQuotaUse,
    ZoneWork,
)
from winchfork.router.refusal_records import RefusalRecord
from winchfork.router.software_records import encode_record

KEY = b"key of the samples"
_DIGEST = bytes(range(16))
_MEMBER = Member("n1", "z1", "10.0.0.1:7", "10.0.0.1:8", 5, MemberStatus.SUSPECT, 1000, 4)
_LOADS = (ReplicaLoadEntry(2**63 + 1, 3, 400, 500, 6),)
_CACHED = (CachedPartsEntry(9, (1, 2**64 - 1)),)
_QUOTA = QuotaReport(77, (QuotaTotals(1, 2, 3, 4),))
_LEVELS = QuotaLevels(80, True, False, (QuotaLevel(1, 2),))
UPDATE = TableUpdate(
    StorePosition(0, 3),
    StorePosition(0, 5),
    False,
    True,
    (TableItem("op/config", 4, b"{}"), TableItem("servers/i-1", 5, None)),
)
RECORD = SoftwareState("s", "v1", SoftwarePhase.TRIAL, "v2", 0.1, 2, 12)
REFUSAL = RefusalRecord(_DIGEST, 1_790_000_000_000, 2)

MESSAGES: tuple[PeerMessage, ...] = (
    Probe(_MEMBER, 1, (2, 3), (_MEMBER,), "n2", b"loads", 6),
    ProbeReply(_MEMBER, 1, (2, 3), (_MEMBER,), b"loads"),
    IndirectProbe(_MEMBER, 1, "n3", (_MEMBER,)),
    Activity("n1", _LOADS, _CACHED, _QUOTA, _LEVELS),
    WeightsProgress("n1", 41, (WeightsEntry("i-1", 2**63 + 2, "m", 3, 1500, 1000),)),
    VersionAges((VersionAgeEntry("m", 3, 2500),)),
    Resignation(41, 1200, 90_000),
    ZoneWork("n1", "z1", _LOADS, _CACHED, _QUOTA, _LEVELS),
    FleetWork("n1", True, _LOADS, _CACHED, _LEVELS, ("z2",), True),
    Forward(b"datagram", True),
    DocumentPull("n1", "10.0.0.1:7", 5),
    split_update("n1", UPDATE)[0],
    EraDocumentPull(3, DocumentPull("n1", "10.0.0.1:7", 5)),
    split_update("n1", msgspec.structs.replace(UPDATE, at=StorePosition(3, 5)))[0],
    FailureReport("n1", 2**63 + 3),
    RegionWork("n1", "g", True, _LOADS, (ZoneQuotaUse("n1", "z1", _QUOTA, _LEVELS),)),
    VersionEvidence("n1", 77, "z1", "s", 12, (EvidenceEntry(1, 2, 30, 4, 5),)),
    VersionStop("n1", "s", 12, StopCause.BUDGET_EXHAUSTED),
    CrashReport(2**63 + 4, (_DIGEST,)),
    SuspectRunReport("n1", _DIGEST, 2**63 + 4, 900),
    ClearedRequests((_DIGEST,)),
    ReplicaNotices(
        "n1",
        (
            ReplicaNoticeEntry(2**63 + 5, False, 0, LimitEntry(0.5, 120)),
            ReplicaNoticeEntry(6, True, 3000, LimitEntry(None, 0)),
        ),
    ),
    VersionAgeQuery("10.0.0.1:7000", 2**32 - 1),
    VersionAgeReply(2**32 - 1, (VersionAgeEntry("m", 3, 2500),)),
    BrittleReport("n1", (BrittleEntry(2**64 - 1, 3.0, 120, 4), BrittleEntry(7, None, 0))),
    StreamOriginReport((StreamOriginEntry(b"k" * 16, "s", "v1.1", 25_000),)),
    StreamOriginQuery("10.0.0.1:7000", 2**48 - 1, b"k" * 16, "s", 25_000),
    StreamOriginReply("n1", 2**48 - 1, "s", "v1.1", True),
    SuspectPartsReport(2**63 + 4, (_DIGEST,)),
    PartRefusalReport((PartRefusalEntry(_DIGEST, 2, 900),)),
    ConfigurationQuery("n1", "10.0.0.1:7000", 7),
    ConfigurationReply("n1", 7),
)


def encoded_messages() -> dict[str, str]:
    """Return each message as encoded by this build, in hexadecimal, by the name of its type."""
    codec = PeerCodec(KEY, PEER_MESSAGE_TYPES)
    datagrams = {type(message).__name__: codec.encode(message) for message in MESSAGES}
    return {name: data.hex() for name, data in datagrams.items() if isinstance(data, bytes)}


def encoded_records() -> dict[str, str]:
    """Return each record as encoded by this build."""
    return {
        "software": encode_record(RECORD).decode(),
        "refusal": msgspec.json.encode(REFUSAL).decode(),
    }


if __name__ == "__main__":
    json.dump({"messages": encoded_messages(), "records": encoded_records()}, sys.stdout, indent=1)
