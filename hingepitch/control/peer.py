"""
hingepitch.control.peer
~~~~~~~~~~~~~~~~~~~~~~~

Sending messages to the other replicas.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque

import gevent
from gevent.event import Event

from hingepitch.control.membership import decode_members
from hingepitch.control.message import Entry, EntryKind, Message, MessageKind
from hingepitch.error import HingepitchError
from hingepitch.gen.control.ttypes import LogEntry, PeerMessage
from hingepitch.log import log_event, place_of
from hingepitch.rpc import ControlClient

__all__ = ["PeerLinks", "from_wire", "to_wire"]

MAX_QUEUED = 512
CALL_SECONDS = 2.0

#: A call takes messages until their content passes this; each message is
#: copied twice on its way out.
MAX_BATCH_BYTES = 2_000_000
PAUSE_AFTER_FAILURE_SECONDS = 0.2

#: Codes after which the other side has surely taken none of the messages.
UNTAKEN_CODES = frozenset(("peer_unreachable", "storage_failed"))


def to_wire(message):
    """Return a `Message` as its thrift form."""
    return PeerMessage(
        kind=int(message.kind),
        sender=message.sender,
        receiver=message.receiver,
        term=message.term,
        index=message.index,
        log_term=message.log_term,
        commit=message.commit,
        granted=message.granted,
        sequence=message.sequence,
        entries=[
            LogEntry(entry.index, entry.term, int(entry.kind), entry.payload)
            for entry in message.entries
        ]
        or None,
        snapshot=message.snapshot or None,
    )


def from_wire(wire):
    """Return the `Message` of its thrift form; raise `bad_request`.

    Whatever would fail in the core is refused here: there it would end the loop
    of the replica, as often as its sender repeats it.
    """
    try:
        message = to_message(wire)
        check_message(message)
    except (ValueError, TypeError, HingepitchError) as error:
        raise HingepitchError("bad_request", f"not a message: {error}") from None
    return message


def to_message(wire):
    """Return the `Message` of its thrift form, unchecked."""
    return Message(
        kind=MessageKind(wire.kind),
        sender=wire.sender,
        receiver=wire.receiver,
        term=wire.term,
        index=wire.index or 0,
        log_term=wire.log_term or 0,
        commit=wire.commit or 0,
        granted=bool(wire.granted),
        sequence=wire.sequence or 0,
        entries=tuple(
            Entry(entry.index, entry.term, EntryKind(entry.kind), entry.payload)
            for entry in wire.entries or ()
        ),
        snapshot=wire.snapshot or b"",
    )


def check_message(message):
    """Raise ValueError or TypeError unless the core can take `message`."""
    check_types(str, message.sender, message.receiver)
    check_types(int, message.term, message.index, message.log_term, message.commit)
    check_types(int, message.sequence)
    check_types(bytes, message.snapshot)
    for entry in message.entries:
        check_types(int, entry.index, entry.term)
        check_types(bytes, entry.payload)
        if entry.kind is EntryKind.MEMBERS:
            decode_members(entry.payload)
    if message.kind is MessageKind.SNAPSHOT:
        if [entry.kind for entry in message.entries] != [EntryKind.MEMBERS]:
            raise ValueError("a snapshot without its members")
        return
    following = range(message.index + 1, message.index + 1 + len(message.entries))
    if [entry.index for entry in message.entries] != list(following):
        raise ValueError("entries that do not follow each other")


def check_types(kind, *values):
    """Raise TypeError unless all values are of `kind`, numbers not negative."""
    for value in values:
        if not isinstance(value, kind) or (kind is int and value < 0):
            raise TypeError(f"expected {kind.__name__}, got {value!r:.40}")


def take_batch(messages):
    """Yield messages off a queue, at least one, as many as fit one call."""
    total = 0
    while messages and total < MAX_BATCH_BYTES:
        message = messages.popleft()
        total += len(message.snapshot)
        total += sum(len(entry.payload) for entry in message.entries)
        yield message


class Link:
    """The messages that wait for one replica."""

    def __init__(self, client):
        self.client = client
        self.messages = deque(maxlen=MAX_QUEUED)
        self.filled = Event()
        self.reachable = True


class PeerLinks:
    """Sends messages to replicas by their addresses; lost ones stay lost.

    `name`, `key`
        For the authentication.
    `on_lost`
        Function of a message that surely did not arrive; set by the replica.
    """

    def __init__(self, name, key):
        self.name = name
        self.key = key
        self.on_lost = None
        self.link_by_key = {}
        self.messages_sent = 0

    def send(self, address, message):
        """Queue `message` for the replica at `address`."""
        # The whole state takes long: rounds behind it would come too late.
        key = (address, message.kind is MessageKind.SNAPSHOT)
        link = self.link_by_key.get(key)
        if link is None:
            client = ControlClient(address, self.name, self.key, CALL_SECONDS)
            link = self.link_by_key[key] = Link(client)
            gevent.spawn(self.keep_sending, link)
        link.messages.append(message)
        link.filled.set()

    def keep_sending(self, link):
        """Deliver what is queued, in batches, until killed."""
        while True:
            link.filled.wait()
            link.filled.clear()
            while link.messages:
                self.deliver_safely(link, list(take_batch(link.messages)))

    def deliver_safely(self, link, batch):
        """Deliver one batch; log a failure that nothing expected.

        Nothing starts a link again that ends: its replica would get no message
        for as long as this process lives.
        """
        try:
            self.deliver(link, batch)
        except Exception as error:
            log_event(
                "child_failed", child="link", error=repr(error), at=place_of(error)
            )
            gevent.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    def deliver(self, link, batch):
        """Deliver one batch; on failure drop it, and what waits, and pause."""
        try:
            link.client.call("deliver", [to_wire(message) for message in batch])
            self.messages_sent += len(batch)
            if not link.reachable:
                log_event("peer_reachable", address=link.client.address)
            link.reachable = True
        except HingepitchError as error:
            if link.reachable:
                address = link.client.address
                log_event("peer_unreachable", address=address, error=error.detail)
            link.reachable = False
            self.drop(batch if error.code in UNTAKEN_CODES else ())
            self.drop(link.messages)
            link.messages.clear()
            gevent.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    def drop(self, messages):
        """Tell of each of `messages` that it did not arrive."""
        for message in messages:
            if self.on_lost is not None:
                self.on_lost(message)
