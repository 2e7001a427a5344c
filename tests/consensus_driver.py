"""Simulation of consensus cores over a network that loses and reorders messages."""

import random

import msgspec

from hingepitch.control.consensus import Consensus
from hingepitch.control.membership import encode_members
from hingepitch.control.message import (
    Append,
    Commit,
    Durable,
    Entry,
    EntryKind,
    Install,
    Member,
    Message,
    MessageKind,
    Propose,
    Proposed,
    ReadReady,
    ReadRequest,
    Receive,
    Recovered,
    RoleChanged,
    SaveVote,
    Send,
    SendSnapshot,
    Tick,
)


class InvariantViolation(AssertionError):
    """The checker found a violated safety property."""


class Disk:
    """The durable data of one replica."""

    def __init__(self, members):
        self.term, self.vote = 0, ""
        self.snapshot = (0, 0, members, [])
        self.entries = []

    def recovered(self, identity):
        index, term, members, _ = self.snapshot
        return Recovered(
            identity, self.term, self.vote, index, term, members, list(self.entries)
        )

    def append(self, entries):
        first = entries[0].index
        self.entries = [entry for entry in self.entries if entry.index < first]
        self.entries += entries


class Node:
    """One replica: its core, its disk and the entries it applied.

    `unsynced`
        Entries that a leader has handed to its disk and that are not durable yet.
    """

    def __init__(self, identity, members):
        self.identity = identity
        self.disk = Disk(members)
        self.core = None
        self.applied = []
        self.unsynced = []


class Driver:
    """Runs random events; raises `InvariantViolation` if a safety property is violated.

    `fault`
        Name of a planted fault, or an empty string.
    `restarts`
        Relative frequency of restarts among the events.
    """

    def __init__(self, seed, size, fault="", restarts=1):
        self.restarts = restarts
        self.random = random.Random(seed)
        self.seed = seed
        self.fault = fault
        names = [f"n{number}" for number in range(size)]
        members = tuple(Member(name, name, name, name) for name in names)
        self.nodes = {name: Node(name, members) for name in names}
        self.network = []
        self.blocked = set()
        self.leader_by_term = {}
        self.committed = []
        self.acknowledged = set()
        self.waiting = {}
        self.reads = {}
        self.tokens = 0
        self.read_count = 0
        for node in self.nodes.values():
            self.restart(node)

    def run(self, steps):
        """Carry out `steps` random events."""
        choices = (
            [self.tick] * 30
            + [self.deliver] * 60
            + [self.propose] * 6
            + [self.read] * 4
            + [self.drop, self.duplicate]
            + [self.finish_write] * 12
            + [self.maybe_restart] * self.restarts
            + [self.maybe_partition, self.maybe_compact]
        )
        for _ in range(steps):
            self.random.choice(choices)()

    def pick(self):
        return self.random.choice(list(self.nodes.values()))

    def tick(self):
        self.step(self.pick(), Tick())

    def deliver(self):
        """Deliver one of the six oldest messages, or drop it if its link is cut."""
        if self.network:
            at = self.random.randrange(min(len(self.network), 6))
            message = self.network.pop(at)
            if (message.sender, message.receiver) not in self.blocked:
                self.step(self.nodes[message.receiver], Receive(message))

    def drop(self):
        if self.network:
            self.network.pop(self.random.randrange(len(self.network)))

    def duplicate(self):
        if self.network:
            self.network.append(self.random.choice(self.network))

    def propose(self):
        self.tokens += 1
        self.step(self.pick(), Propose([b"%d" % self.tokens], [self.tokens]))

    def read(self):
        """Request a read; note the highest index acknowledged before it."""
        self.tokens += 1
        self.reads[self.tokens] = max(self.acknowledged, default=0)
        self.step(self.pick(), ReadRequest(self.tokens))

    def finish_write(self):
        """Let the background writes of a random replica become durable."""
        node = self.pick()
        if node.unsynced:
            self.flush(node)

    def flush(self, node):
        """Make the background writes durable and report that to the core."""
        last = node.unsynced[-1][-1]
        for entries in node.unsynced:
            node.disk.append(entries)
        node.unsynced = []
        self.step(node, Durable(last.index, last.term))

    def maybe_restart(self):
        if self.random.random() < 0.3:
            self.restart(self.pick())

    def restart(self, node):
        """Restart a replica from its disk; its background writes are lost."""
        if self.fault == "lost disk votes" and self.random.random() < 0.5:
            node.disk = Disk(node.disk.snapshot[2])
        node.unsynced = []
        node.core = Consensus(
            node.disk.recovered(node.identity), f"{self.seed}/{node.identity}"
        )
        if self.fault == "term not checked":
            node.core.log.term_at = lambda index: node.core.term
        node.applied = list(node.disk.snapshot[3])

    def maybe_partition(self):
        """Heal the network, or cut off one replica."""
        if self.random.random() < 0.2:
            self.blocked = set()
        elif self.random.random() < 0.3:
            isolated = self.pick().identity
            self.blocked = {(isolated, other) for other in self.nodes}
            self.blocked |= {(other, isolated) for other in self.nodes}

    def maybe_compact(self):
        """Replace the applied log of a random replica by a snapshot."""
        node = self.pick()
        if node.unsynced:
            self.flush(node)
        if len(node.applied) > 5:
            at = len(node.applied) - self.random.randrange(4)
            index, term = node.applied[at - 1][:2]
            if index <= node.disk.snapshot[0]:
                return
            state = node.applied[:at]
            node.disk.snapshot = (index, term, node.core.members_at(index), state)
            node.disk.entries = [e for e in node.disk.entries if e.index > index]
            node.core.compact(index)

    def step(self, node, event):
        actions = node.core.step(event)
        follows = node.core.role != "leader"
        if self.fault == "acknowledged while written ahead":
            follows = False
        must_wait = any(
            isinstance(action, SaveVote | Install)
            or (isinstance(action, Append) and not action.is_async)
            for action in actions
        )
        if node.unsynced and (follows or must_wait):
            self.flush(node)
        for action in actions:
            self.perform(node, action)

    def perform(self, node, action):
        if isinstance(action, SaveVote):
            node.disk.term = action.term
            if self.fault != "vote not synced":
                node.disk.vote = action.voted_for
        elif isinstance(action, Append):
            self.append(node, action)
        elif isinstance(action, Send):
            self.network.append(action.message)
        elif isinstance(action, SendSnapshot):
            self.send_snapshot(node, action)
        elif isinstance(action, Install):
            self.install(node, action)
        elif isinstance(action, Commit):
            self.apply(node, action.index)
        elif isinstance(action, Proposed):
            self.waiting[action.index, action.term] = action.token
        elif isinstance(action, ReadReady):
            self.check_read(action.token, action.index)
        elif isinstance(action, RoleChanged):
            self.check_role(node, action)
        if self.fault == "stale read" and node.core.reads:
            for _, token, index in node.core.reads:
                self.check_read(token, index)
            node.core.reads = []

    def append(self, node, action):
        if action.is_async:
            node.unsynced.append(action.entries)
            if self.fault == "counted before it is durable":
                last = action.entries[-1]
                self.step(node, Durable(last.index, last.term))
        elif self.fault != "entries not synced":
            node.disk.append(action.entries)

    def send_snapshot(self, node, action):
        index, term = node.applied[-1][:2] if node.applied else (0, 0)
        members = encode_members(node.core.members_at(index))
        self.network.append(
            Message(
                MessageKind.SNAPSHOT,
                node.identity,
                action.receiver,
                action.term,
                index=index,
                log_term=term,
                entries=(Entry(index, term, EntryKind.MEMBERS, members),),
                snapshot=msgspec.msgpack.encode(node.applied),
            )
        )

    def install(self, node, action):
        applied = msgspec.msgpack.decode(
            action.snapshot, type=list[tuple[int, int, bytes]]
        )
        node.applied = applied
        node.disk.snapshot = (action.index, action.term, node.core.members, applied)
        node.disk.entries = []

    def apply(self, node, index):
        """Apply committed entries; all replicas must apply the same ones."""
        for entry in node.core.log.after(len(node.applied), index - len(node.applied)):
            record = (entry.index, entry.term, entry.payload)
            node.applied.append(record)
            if len(self.committed) < entry.index:
                self.committed.append(record)
            elif self.committed[entry.index - 1] != record:
                raise InvariantViolation(
                    f"different entries committed at index {entry.index}"
                )
            token = self.waiting.pop((entry.index, entry.term), None)
            if token is not None:
                self.acknowledged.add(entry.index)

    def check_role(self, node, action):
        """Check that a term has one leader at most."""
        if action.role != "leader":
            return
        known = self.leader_by_term.setdefault(action.term, node.identity)
        if known != node.identity:
            raise InvariantViolation(f"two leaders in term {action.term}")

    def check_read(self, token, index):
        """Check that a read sees all changes acknowledged before it."""
        self.read_count += 1
        if index < self.reads[token]:
            raise InvariantViolation("a read misses an acknowledged change")

    def settle(self):
        """Heal the network; check that each replica has all acknowledged changes."""
        self.blocked = set()
        for _ in range(4000):
            self.tick()
            self.finish_write()
            for _ in range(6):
                self.deliver()
        for node in self.nodes.values():
            if len(node.applied) < max(self.acknowledged, default=0):
                raise InvariantViolation(
                    f"{node.identity} lacks an acknowledged change"
                )
            if node.applied != self.committed[: len(node.applied)]:
                raise InvariantViolation(f"{node.identity} has uncommitted entries")
