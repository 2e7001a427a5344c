"""
hingepitch.jobs.agentbook
~~~~~~~~~~~~~~~~~~~~~~~~~

The agents of one leadership: one for each life of a minion that can be called.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.jobs.agent import Agent
from hingepitch.jobs.answer import MOST_SECONDS
from hingepitch.jobs.contact import LookOrder, ReplyKind
from hingepitch.log import log_event

__all__ = ["AgentBook"]

#: Replies that only the life gives that was called; an unhealthy minion refuses
#: before it looks for whom a call is.
PRESENT_KINDS = frozenset((ReplyKind.DONE, ReplyKind.FENCED))


class AgentBook:
    """Keeps the agents in step with the minions that are recorded.

    `session`
        The leadership.
    `connect`
        Function from a `Minion` to a client for it; raises ValueError if its
        address cannot be called.
    `by_minion`
        The agents, by life.
    `uncallable`
        Addresses that no client could be made for, by life.
    """

    def __init__(self, session, connect):
        self.session = session
        self.connect = connect
        self.by_minion = {}
        self.uncallable = {}

    def match(self):
        """Have one agent for each life of a minion, and wake those with news."""
        table = self.session.table
        for minion_id, agent in list(self.by_minion.items()):
            if minion_id not in table.minion_by_id:
                agent.stop()
                del self.by_minion[minion_id]
        for minion_id, minion in list(table.minion_by_id.items()):
            agent = self.by_minion.get(minion_id) or self.meet(minion)
            if agent is not None:
                agent.minion = minion
        for minion_id in table.touched_minions:
            if minion_id in self.by_minion:
                self.by_minion[minion_id].wake.set()
        table.touched_minions.clear()

    def meet(self, minion):
        """Start the agent of a minion; return None if it cannot be called.

        Its record may come from another writer. An error here would end every
        session of every leader, and with them all dispatching.
        """
        if self.uncallable.get(minion.id) == minion.address:
            return None
        client = self.make_client(minion)
        if client is None:
            self.uncallable[minion.id] = minion.address
            self.session.spawn(self.remove_uncallable, minion)
            return None
        agent = self.by_minion[minion.id] = Agent(minion, client, self.session)
        agent.start()
        return agent

    def make_client(self, minion):
        """Return a client of a minion, or None if its address cannot be called."""
        try:
            return self.connect(minion)
        except ValueError as error:
            log_event("minion_uncallable", minion=minion.id, error=error)
            return None

    def remove_uncallable(self, minion):
        """End a life that still cannot be called once its lease is surely over.

        Runs that it had before would stay recorded for good otherwise.
        """
        while True:
            gevent.sleep(self.session.lease_until_over_seconds)
            recorded = self.session.table.minion_by_id.get(minion.id)
            if recorded is None or recorded.address != minion.address:
                return
            self.session.life_is_over(minion.id, "its address cannot be called")

    def is_present(self, minion):
        """Whether a life that has no agent answers a call now."""
        client = self.make_client(minion) if self.session.may_order() else None
        if client is None:
            return False
        try:
            look = client.look(LookOrder(self.session.fence, 0), MOST_SECONDS)
        finally:
            client.close()
        return look.reply.kind in PRESENT_KINDS

    def close(self):
        """Close the connections of all agents; their loops end with the session."""
        for agent in self.by_minion.values():
            agent.client.close()
