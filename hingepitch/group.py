"""
hingepitch.group
~~~~~~~~~~~~~~~~

Client of the control group: finds the leader and retries calls.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.log import log_event
from hingepitch.rpc import ControlClient

__all__ = ["GroupClient", "RETRY_PAUSE_SECONDS"]

#: Pause between two attempts of a call, in seconds.
RETRY_PAUSE_SECONDS = 0.05

#: Transient error codes: the call may succeed at another replica.
TRANSIENT_CODES = frozenset(
    (
        "not_leader",
        "no_leader",
        "peer_unreachable",
        "peer_failed",
        "storage_failed",
        "lost_leadership",
    )
)

#: Error codes of a replica that does not answer.
SILENT_CODES = frozenset(("peer_unreachable", "peer_failed"))


class GroupClient:
    """Calls methods of the leader of the control group.

    `addresses`
        `IP:port` of the replicas.
    `name`, `key`
        Caller's name and shared key, for authentication.
    `timeout_seconds`
        Longest wait for one answer of one replica.
    `connections`
        Largest number of connections, and so of concurrent calls, to each
        replica.
    `hint`, `misses`
        The last address that a replica gave for the leader, and the number
        of calls that missed the leader since the first such hint. Both are
        reset when a leader is found or a hint is followed.
    `silent`, `probed`
        Addresses whose last call got no answer, and those of them with a call in
        progress. Other calls go elsewhere meanwhile: until the next leader is
        elected, the other replicas still name the silent one.
    `leader_lost_at`
        When the leader stopped answering, or None while one answers.
    """

    def __init__(self, addresses, name, key, timeout_seconds=5.0, connections=4):
        self.addresses = list(addresses)
        self.name = name
        self.key = key
        self.timeout_seconds = timeout_seconds
        self.connections = connections
        self.clients_by_address = {}
        self.round_robin_count = 0
        self.preferred = self.addresses[0]
        self.misses = 0
        self.hint = ""
        self.silent = set()
        self.probed = set()
        self.leader_lost_at = None

    def set_addresses(self, addresses):
        """Replace the known replicas and close connections to others.

        Connections to the preferred address stay open.
        """
        self.addresses = list(addresses)
        for address in self.clients_by_address.keys() - set(addresses):
            if address != self.preferred:
                self.drop_clients(address)

    def drop_clients(self, address):
        """Drop all connections to `address` and close the idle ones."""
        for client in self.clients_by_address.pop(address):
            if not client.lock.locked():
                client.close()

    def client(self, address):
        """Return an idle connection to `address`, else the next in round robin."""
        clients = self.clients_by_address.setdefault(address, [])
        for client in clients:
            if not client.lock.locked():
                return client
        if len(clients) < self.connections:
            fresh = ControlClient(address, self.name, self.key, self.timeout_seconds)
            clients.append(fresh)
            return fresh
        self.round_robin_count += 1
        return clients[self.round_robin_count % len(clients)]

    def call_once(self, method, *arguments):
        """Call one replica once; on a transient error prefer another.

        The replica is the preferred one, unless that is silent and being probed.
        """
        address = self.pick_address()
        is_probe = address in self.silent
        if is_probe:
            self.probed.add(address)
        try:
            answer = self.client(address).call(method, *arguments)
        except HingepitchError as error:
            self.record_error(address, error)
            raise
        finally:
            if is_probe:
                self.probed.discard(address)
        self.silent.discard(address)
        self.record_leader_found(address)
        return answer

    def pick_address(self):
        """Return the preferred address, or another one while that is probed."""
        if self.preferred not in self.probed:
            return self.preferred
        answering = [one for one in self.addresses if one not in self.silent]
        others = answering or [one for one in self.addresses if one not in self.probed]
        if not others:
            return self.preferred
        self.round_robin_count += 1
        return others[self.round_robin_count % len(others)]

    def record_error(self, address, error):
        """Record that a call at `address` failed; on a transient error, prefer another.

        A call that waited too long for others on its connection says nothing about the
        replica. The idle connections to a silent replica are closed. A call on one of
        them would be written and get no answer, so that its outcome is unknown; a call
        that cannot connect was certainly not sent.
        """
        if getattr(error, "is_busy", False):
            return
        if error.code in SILENT_CODES:
            self.silent.add(address)
            for client in self.clients_by_address.get(address, ()):
                if not client.lock.locked():
                    client.close()
        else:
            self.silent.discard(address)
        if error.code in TRANSIENT_CODES:
            self.log_leader_lost(address, error)
            self.prefer_next_replica(address, getattr(error, "leader", ""))

    def skip_replica(self):
        """Prefer another replica, as the preferred one is of no use to the caller."""
        self.prefer_next_replica(self.preferred, "")

    def record_leader_found(self, address):
        """End the search for the leader; log this if the leader had been lost."""
        self.reset_leader_search()
        if self.preferred in self.silent:
            self.preferred = address
        if self.leader_lost_at is None:
            return
        seconds = round(lease_seconds() - self.leader_lost_at, 3)
        self.leader_lost_at = None
        log_event("leader_found", address=address, seconds=seconds)

    def log_leader_lost(self, address, error):
        """Log once that the last leader does not answer or no longer leads."""
        if self.leader_lost_at is None:
            self.leader_lost_at = lease_seconds()
            log_event("leader_lost", address=address, error=error.code)

    def prefer_next_replica(self, address, leader):
        """Prefer `leader`, or the next known replica, for the next call.

        A leader at an address outside the known ones is asked only after all
        of these, whichever replica named it. The hint also survives answers
        without one: a replica that lost its disk knows no leader, and dropping
        the hint then made callers fail for 2.3 s, until that replica had
        rejoined.
        """
        known = self.addresses
        if self.preferred != address:
            is_better = leader in known and leader not in self.silent
            if is_better and self.preferred in self.silent:
                self.preferred = leader
            return
        self.hint = leader or self.hint
        self.misses += bool(self.hint)
        if leader in known:
            self.preferred = leader
        elif self.hint and self.misses > len(known):
            self.preferred = self.hint
            self.reset_leader_search()
        else:
            position = known.index(address) if address in known else -1
            self.preferred = known[(position + 1) % len(known)]

    def reset_leader_search(self):
        """Reset the state of the search for the leader."""
        self.misses = 0
        self.hint = ""

    def call(self, method, *arguments, seconds=10.0):
        """Call the leader; retry transient errors for `seconds`.

        Only for idempotent calls. Raises the last `HingepitchError` when the
        time is up.
        """
        deadline = lease_seconds() + seconds
        while True:
            try:
                return self.call_once(method, *arguments)
            except HingepitchError as error:
                if error.code not in TRANSIENT_CODES or lease_seconds() > deadline:
                    raise
            gevent.sleep(RETRY_PAUSE_SECONDS)
