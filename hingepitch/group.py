"""
hingepitch.group
~~~~~~~~~~~~~~~~

Calls to the control group from outside: finds the leader, tries again.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.log import log_event
from hingepitch.model.codec import decode_outcome, encode_envelope
from hingepitch.rpc import ControlClient

__all__ = ["GroupClient"]

PAUSE_SECONDS = 0.05

#: Codes after which another replica may be asked the same thing.
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


class GroupClient:
    """Calls methods of the leader of the control group.

    `addresses`
        `IP:port` of the replicas.
    `name`, `key`
        For the authentication.
    `timeout_seconds`
        Longest wait for one answer of one replica.
    `connections`
        Calls at once to each replica.
    `hint`, `misses`
        The last address that a replica gave for the leader, and how many
        calls have missed the leader since the first such hint. Both are
        forgotten once a leader is found or a hint was followed.
    `lost_at`
        Since when no leader has answered, or None while one does.
    """

    def __init__(self, addresses, name, key, timeout_seconds=5.0, connections=4):
        self.addresses = list(addresses)
        self.name = name
        self.key = key
        self.timeout_seconds = timeout_seconds
        self.connections = connections
        self.clients_by_address = {}
        self.turn = 0
        self.preferred = self.addresses[0]
        self.misses = 0
        self.hint = ""
        self.lost_at = None

    def set_addresses(self, addresses):
        """Replace the known replicas; connections to others are closed."""
        self.addresses = list(addresses)
        for address in self.clients_by_address.keys() - set(addresses):
            if address != self.preferred:
                self.drop_clients(address)

    def drop_clients(self, address):
        """Close the idle connections to `address` and forget them all."""
        for client in self.clients_by_address.pop(address):
            if not client.lock.locked():
                client.close()

    def client(self, address):
        """Return a free connection to `address`, or the next in turn."""
        clients = self.clients_by_address.setdefault(address, [])
        for client in clients:
            if not client.lock.locked():
                return client
        if len(clients) < self.connections:
            fresh = ControlClient(address, self.name, self.key, self.timeout_seconds)
            clients.append(fresh)
            return fresh
        self.turn += 1
        return clients[self.turn % len(clients)]

    def call_once(self, method, *arguments):
        """Call the replica that led last; learn who leads if it does not."""
        address = self.preferred
        try:
            answer = self.client(address).call(method, *arguments)
            self.note_leader(address)
            return answer
        except HingepitchError as error:
            if error.code in TRANSIENT_CODES:
                self.note_no_leader(address, error)
                self.prefer_another(address, getattr(error, "leader", ""))
            raise

    def note_leader(self, address):
        """Forget the search for the leader; log that it answers again."""
        self.forget_misses()
        if self.lost_at is None:
            return
        seconds = round(lease_seconds() - self.lost_at, 3)
        self.lost_at = None
        log_event("leader_found", address=address, seconds=seconds)

    def note_no_leader(self, address, error):
        """Log, once, that the replica that led last does not answer or lead."""
        if self.lost_at is None:
            self.lost_at = lease_seconds()
            log_event("leader_lost", address=address, error=error.code)

    def prefer_another(self, address, leader):
        """Ask the leader next time, or the next replica.

        A leader at an address that the settings do not name is asked after all
        the named ones, whoever told of it: a replica that lost its disk does
        not know where one is, and must not make the others forgotten. Callers
        were refused for 2.3 s until such a replica had joined again.
        """
        if self.preferred != address:
            return
        known = self.addresses
        self.hint = leader or self.hint
        self.misses += bool(self.hint)
        if leader in known:
            self.preferred = leader
        elif self.hint and self.misses > len(known):
            self.preferred = self.hint
            self.forget_misses()
        else:
            position = known.index(address) if address in known else -1
            self.preferred = known[(position + 1) % len(known)]

    def forget_misses(self):
        """Begin the search for a leader anew."""
        self.misses = 0
        self.hint = ""

    def call(self, method, *arguments, seconds=10.0):
        """Call the leader; try again while the refusal may pass.

        Only for calls that may be repeated. Raises the last
        `HingepitchError` after `seconds`.
        """
        deadline = lease_seconds() + seconds
        while True:
            try:
                return self.call_once(method, *arguments)
            except HingepitchError as error:
                if error.code not in TRANSIENT_CODES or lease_seconds() > deadline:
                    raise
            gevent.sleep(PAUSE_SECONDS)

    def propose(self, envelope, seconds=10.0):
        """Put a command into the log; return its `Outcome`.

        With a command id, the command is resent until there is an answer;
        without one, only refusals that came before the log are tried again.
        """
        deadline = lease_seconds() + seconds
        while True:
            try:
                return decode_outcome(
                    self.call_once("propose", encode_envelope(envelope))
                )
            except HingepitchError as error:
                if not may_resend(envelope, error) or lease_seconds() > deadline:
                    raise
            gevent.sleep(PAUSE_SECONDS)


def may_resend(envelope, error):
    """Whether a command may be sent again after `error`."""
    if error.code in ("not_leader", "no_leader", "peer_unreachable"):
        return True
    unknown = error.code in ("peer_failed", "lost_leadership", "storage_failed")
    return unknown and bool(envelope.command_id)
