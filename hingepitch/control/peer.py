"""
hingepitch.control.peer
~~~~~~~~~~~~~~~~~~~~~~~

Message delivery to the other replicas, and conversion from and to thrift.

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
from hingepitch.log import log_event, source_location
from hingepitch.rpc import ControlClient

__all__ = ["PeerLinks", "from_wire", "to_wire"]

MAX_QUEUED = 512
CALL_SECONDS = 2.0

#: A call's batch is closed once its payload reaches this size, which bounds the
#: memory for it: each message is copied twice when it is sent.
MAX_BATCH_BYTES = 2_000_000
PAUSE_AFTER_FAILURE_SECONDS = 0.2

#: Error codes that prove that the receiver accepted none of the messages.
UNDELIVERED_CODES = frozenset(("peer_unreachable", "storage_failed"))


def to_wire(message):
    """Return the thrift form of a `Message`."""
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
    """Return the `Message` of a thrift form; raise `bad_request` if it is invalid.

    Anything that would raise in the core is rejected here, because there it
    would end the replica's event loop each time the sender repeats it.
    """
    try:
        message = to_message(wire)
        check_message(message)
    except (ValueError, TypeError, HingepitchError) as error:
        raise HingepitchError("bad_request", f"invalid message: {error}") from None
    return message


def to_message(wire):
    """Return the `Message` of a thrift form without checking its fields."""
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
    """Raise ValueError, TypeError or HingepitchError if `message` is invalid."""
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
            raise ValueError("a snapshot must carry exactly one entry, the members")
        return
    following = range(message.index + 1, message.index + 1 + len(message.entries))
    if [entry.index for entry in message.entries] != list(following):
        raise ValueError("the entries are not consecutive")


def check_types(kind, *values):
    """Raise TypeError unless all values are of `kind` and no integer is negative."""
    for value in values:
        if not isinstance(value, kind) or (kind is int and value < 0):
            raise TypeError(f"expected {kind.__name__}, got {value!r:.40}")


def take_batch(messages):
    """Remove from a queue and yield the messages for one call, at least one."""
    total = 0
    while messages and total < MAX_BATCH_BYTES:
        message = messages.popleft()
        total += len(message.snapshot)
        total += sum(len(entry.payload) for entry in message.entries)
        yield message


class Link:
    """The queue of messages to one replica.

    The oldest message is dropped when the queue is full.
    """

    def __init__(self, client):
        self.client = client
        self.messages = deque(maxlen=MAX_QUEUED)
        self.filled = Event()
        self.reachable = True


class PeerLinks:
    """Sends messages to replicas by their addresses, without retries.

    `name`, `key`
        Name and shared key for the authentication.
    `on_lost`
        Callback for each message known not to have arrived; set by the replica.
    """

    def __init__(self, name, key):
        self.name = name
        self.key = key
        self.on_lost = None
        self.link_by_key = {}
        self.messages_sent = 0

    def send(self, address, message):
        """Queue `message` for the replica at `address`."""
        # Snapshots have their own link: heartbeats queued behind one would be late.
        key = (address, message.kind is MessageKind.SNAPSHOT)
        link = self.link_by_key.get(key)
        if link is None:
            client = ControlClient(address, self.name, self.key, CALL_SECONDS)
            link = self.link_by_key[key] = Link(client)
            gevent.spawn(self.send_forever, link)
        link.messages.append(message)
        link.filled.set()

    def send_forever(self, link):
        """Deliver the queued messages in batches until killed."""
        while True:
            link.filled.wait()
            link.filled.clear()
            while link.messages:
                self.deliver_or_log(link, list(take_batch(link.messages)))

    def deliver_or_log(self, link, batch):
        """Deliver one batch; log an unexpected exception instead of raising it.

        Nothing restarts the greenlet of a link: if it ended, its replica would
        receive no more messages from this process.
        """
        try:
            self.deliver(link, batch)
        except Exception as error:
            log_event(
                "child_failed",
                child="link",
                error=repr(error),
                at=source_location(error),
            )
            gevent.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    def deliver(self, link, batch):
        """Deliver one batch; on failure drop it and the whole queue, and pause.

        The messages of the batch are reported as undelivered only if the error
        proves that; those that were still queued always are.
        """
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
            self.report_undelivered(batch if error.code in UNDELIVERED_CODES else ())
            self.report_undelivered(link.messages)
            link.messages.clear()
            gevent.sleep(PAUSE_AFTER_FAILURE_SECONDS)

    def report_undelivered(self, messages):
        """Call `on_lost` for each of `messages`."""
        for message in messages:
            if self.on_lost is not None:
                self.on_lost(message)
