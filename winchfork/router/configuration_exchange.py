"""Asks peers which configuration they have installed, in each era of the store.

See :mod:`winchfork.core.configuration_check`. Question and reply both carry the sender's version,
so that a peer with an earlier one learns of the later one as well.
"""

from __future__ import annotations

import random

from winchfork.logs import log_event
from winchfork.router.peer_messages import ConfigurationQuery, ConfigurationReply
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.state import RouterState

#: Peers that are asked at a time.
ASKED_PEERS = 6


class ConfigurationExchange:
    """Asks peers, and answers their questions."""

    def __init__(self, state: RouterState, peers: PeerMessenger) -> None:
        self._state = state
        self._peers = peers
        self._generator = random.Random(state.start_id)
        settings = state.settings
        hosts = [seed.rpartition(":")[0] for seed in settings.seeds]
        self._seeds = [
            f"{host}:{settings.peer_ports[0]}" for host in hosts if host != settings.machine_ip
        ]
        state.eras.on_advance = self._begin

    def _begin(self) -> None:
        """Begin a check in a new era of the store, before anything of that era is used."""
        self._state.configuration_check.begin(self._state.freshness.proven_at_s)
        self._ask(self._state.clock())

    def tick(self, now_s: float) -> None:
        """Ask peers while a check is pending; end it when that is due."""
        self._end_if_due(now_s)
        self._ask(now_s)

    def _ask(self, now_s: float) -> None:
        check = self._state.configuration_check
        if not check.is_pending:
            return
        check.record_question(now_s)
        query = ConfigurationQuery(
            self._state.settings.node_id, self._peers.view.own.peer_address, self._own_version
        )
        for address in self._asked_addresses():
            self._peers.send(address, query)

    def _asked_addresses(self) -> list[str]:
        """Return peers that have not replied; seeds, while no members are known."""
        check = self._state.configuration_check
        others = self._peers.view.others
        waited_for = [
            member.peer_address for member in others if not check.has_replied(member.member_id)
        ]
        candidates = waited_for if others else self._seeds
        return self._generator.sample(candidates, min(ASKED_PEERS, len(candidates)))

    @property
    def _own_version(self) -> int:
        table = self._state.routing_table
        return table.version if table is not None else 0

    def handle_query(self, message: ConfigurationQuery) -> None:
        """Reply with the installed version."""
        if self._state.configuration_check.record_version(message.version):
            self._log_newest(message.sender_id)
        reply = ConfigurationReply(self._state.settings.node_id, self._own_version)
        self._peers.send(message.sender_address, reply)

    def handle_reply(self, message: ConfigurationReply) -> None:
        """Record the version that a peer has installed."""
        if self._state.configuration_check.record_reply(message.sender_id, message.version):
            self._log_newest(message.sender_id)
        self._end_if_due(self._state.clock())

    def _end_if_due(self, now_s: float) -> None:
        check = self._state.configuration_check
        if not check.end_if_due(len(self._peers.view.others), now_s):
            return
        log_event(
            "configuration_checked",
            "INFO" if check.replies else "WARNING",
            version=self._own_version,
            known=check.newest_reported,
            replies=check.replies,
        )

    def _log_newest(self, told_by: str) -> None:
        newest = self._state.configuration_check.newest_reported
        if newest > self._own_version:
            log_event(
                "configuration_outdated",
                "WARNING",
                version=self._own_version,
                known=newest,
                told_by=told_by,
            )
