"""
hingepitch.control.execution
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The steps of the consensus core in a replica, and the execution of its actions.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds
from hingepitch.control.message import (
    Append,
    Commit,
    Durable,
    Install,
    Propose,
    Proposed,
    ReadReady,
    ReadRequest,
    Refuse,
    RoleChanged,
    SaveVote,
    Send,
    SendSnapshot,
)
from hingepitch.log import log_event

__all__ = ["BATCH_SECONDS", "ActionExecution"]

MAX_PROPOSALS_IN_STEP = 512

#: How long commands may be collected into one batch while the leader's disk is
#: writing, in seconds. A sync takes 4 to 9 ms.
BATCH_SECONDS = 0.01


def requires_sync(action):
    """Whether an action must be durable before the next one is executed."""
    if isinstance(action, Append):
        return not action.is_async
    return isinstance(action, SaveVote | Install)


class ActionExecution:
    """The part of `Replica` that steps the core and executes its actions.

    It empties `inbox` and `reads_waiting`, takes commands from `admission`, and
    sets `proposed_at`, when the last batch of commands was proposed.
    """

    def handle_events(self):
        """Step the core with all queued events, then execute all its actions."""
        actions = []
        while self.inbox:
            event = self.inbox.popleft()
            actions += self.core.step(event)
        waiting = self.take_proposals()
        if waiting:
            payloads = [command.payload for command in waiting]
            results = [command.result for command in waiting]
            actions += self.core.step(Propose(payloads, results))
            self.wakeup.set()
        if self.reads_waiting:
            reads, self.reads_waiting = self.reads_waiting, []
            actions += self.core.step(ReadRequest(reads))
        self.execute_actions(actions)
        self.snapshot_if_due()

    def take_proposals(self):
        """Return the next batch of commands to propose; empty to wait for more.

        While the disk is writing, commands are collected into one batch,
        because each batch costs a message to every other replica. The wait is
        at most `BATCH_SECONDS`, so a slow disk does not delay commands.
        """
        now = lease_seconds()
        if self.writer.is_behind and now - self.proposed_at < BATCH_SECONDS:
            return []
        waiting = self.admission.take(MAX_PROPOSALS_IN_STEP)
        if waiting:
            self.proposed_at = now
        return waiting

    def execute_actions(self, actions):
        """Make votes and entries durable, then execute the rest in order."""
        self.make_durable(actions)
        for action in actions:
            self.execute_action(action)

    def make_durable(self, actions):
        """Write the votes and entries of `actions` in one sync.

        If there are only a leader's own entries to write, they are written
        concurrently with the other actions.
        """
        if self.core.role == "leader" and not any(map(requires_sync, actions)):
            for action in actions:
                if isinstance(action, Append):
                    self.writer.write_later(action.entries)
            return
        self.write_in_order(actions)

    def write_in_order(self, actions):
        """Write the votes and entries of `actions`, after all earlier ones."""
        vote = None
        entries = []
        for action in actions:
            if isinstance(action, SaveVote):
                vote = (action.term, action.voted_for)
            elif isinstance(action, Append):
                entries += action.entries
            elif isinstance(action, Install):
                self.writer.write(vote, entries)
                vote, entries = None, []
                self.install(action)
        self.writer.write(vote, entries)
        for action in actions:
            if isinstance(action, Append) and action.is_async:
                last = action.entries[-1]
                self.put(Durable(last.index, last.term))

    def execute_action(self, action):
        """Execute one action; ignore the kinds that `make_durable` handles."""
        if isinstance(action, Send):
            self.send(action.message)
        elif isinstance(action, SendSnapshot):
            self.send_snapshot(action)
        elif isinstance(action, Commit):
            self.apply_up_to(action.index)
        elif isinstance(action, Proposed):
            self.register_waiter(action)
        elif isinstance(action, ReadReady):
            for result in action.token:
                result.set(action.index)
        elif isinstance(action, Refuse):
            self.refuse(action)
        elif isinstance(action, RoleChanged):
            self.on_role_changed(action)

    def send(self, message):
        """Send a message to another replica, if its address is known."""
        address = self.address_of(message.receiver)
        if address is not None:
            self.links.send(address, message)

    def on_role_changed(self, action):
        """Log a change of role; a new leader takes over the leases."""
        log_event(
            "role_changed", role=action.role, leader=action.leader, term=action.term
        )
        if action.role == "leader":
            self.roster.take_over(lease_seconds())
