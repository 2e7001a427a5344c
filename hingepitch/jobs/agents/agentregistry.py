"""
hingepitch.jobs.agents.agentregistry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Registry of the agents of one leadership: one for each incarnation of a minion
whose address can be called.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.jobs.agents.agent import Agent
from hingepitch.jobs.agents.contact import PollOrder, PollResult, Reply, ReplyKind
from hingepitch.jobs.agents.replytime import MAX_TIMEOUT_SECONDS
from hingepitch.jobs.record import is_same_birth
from hingepitch.jobs.warmth import WARM
from hingepitch.log import log_event

__all__ = ["AgentRegistry"]

#: Replies that prove that the called incarnation itself answers. An unhealthy
#: minion refuses a call before it checks which incarnation the call is for.
PRESENT_KINDS = frozenset((ReplyKind.DONE, ReplyKind.FENCED))


class AgentRegistry:
    """Reconciles the agents with the recorded minions.

    `session`
        The `Session` of the leadership.
    `connect`
        Function from a `Minion` to a client for it; raises ValueError if its
        address cannot be called.
    `by_minion`
        The agents, by incarnation.
    `early_warmth_by_minion`
        The `Warmth` of the incarnations that are recorded and have no agent yet.
    `uncallable`
        Addresses that no client could be created for, by incarnation.
    """

    def __init__(self, session, connect):
        self.session = session
        self.connect = connect
        self.by_minion = {}
        self.early_warmth_by_minion = {}
        self.uncallable = {}

    def reconcile(self):
        """Start and stop agents to match the table; wake those whose runs changed."""
        table = self.session.table
        for minion_id, agent in list(self.by_minion.items()):
            if minion_id not in table.minion_by_id:
                agent.stop()
                del self.by_minion[minion_id]
        for minion_id in self.early_warmth_by_minion.keys() - table.minion_by_id:
            del self.early_warmth_by_minion[minion_id]
        for minion_id, minion in list(table.minion_by_id.items()):
            agent = self.by_minion.get(minion_id)
            if agent is None:
                self.start_agent(minion)
            elif agent.minion is not minion:
                self.update_agent(agent, minion)
        for minion_id in table.changed_minions:
            if minion_id in self.by_minion:
                self.by_minion[minion_id].wake.set()
        table.changed_minions.clear()

    def start_agent(self, minion):
        """Start the agent of a minion and return it; return None if uncallable.

        The address is not trusted, as the record may come from another writer: an
        exception here would end every session of every leader and stop dispatch.
        """
        if self.uncallable.get(minion.id) == minion.address:
            return None
        client = self.make_client(minion)
        if client is None:
            self.uncallable[minion.id] = minion.address
            self.session.spawn(self.remove_uncallable, minion)
            return None
        agent = self.by_minion[minion.id] = Agent(minion, client, self.session)
        agent.warmth = self.early_warmth_by_minion.pop(minion.id, WARM)
        agent.start()
        return agent

    def update_agent(self, agent, minion):
        """Give an agent the changed record of its minion.

        The record of another incarnation gets a new agent, as nothing that was
        learnt of the incarnation before holds for it.
        """
        if agent.is_own_birth(minion.born_ms):
            agent.minion = minion
            return
        agent.stop()
        del self.by_minion[minion.id]
        self.session.permissions.forget_minion(minion.id)
        successor = self.start_agent(minion)
        if successor is not None:
            successor.inherit(agent)

    def note_cold(self, minion_id, warm_up_ms):
        """Note for how long the recorded incarnation of a minion is still cold.

        Its first heartbeat comes before the agent, which the next planning pass
        starts; without it, that pass would place runs there as on a warm minion.
        """
        minion = self.session.table.minion_by_id.get(minion_id)
        if minion is None:
            return
        agent = self.by_minion.get(minion_id)
        if agent is not None and is_same_birth(agent.minion.born_ms, minion.born_ms):
            agent.warmth = agent.warmth.updated(warm_up_ms, lease_seconds())
        elif warm_up_ms:
            warmth = WARM.updated(warm_up_ms, lease_seconds())
            self.early_warmth_by_minion[minion_id] = warmth
        else:
            self.early_warmth_by_minion.pop(minion_id, None)

    def make_client(self, minion):
        """Return a client for a minion, or None if its address cannot be called."""
        try:
            return self.connect(minion)
        except ValueError as error:
            log_event("minion_uncallable", minion=minion.id, error=error)
            return None

    def remove_uncallable(self, minion):
        """End an uncallable incarnation once its lease is confirmed expired.

        Otherwise the runs that were recorded on it earlier would stay recorded
        forever.
        """
        while True:
            gevent.sleep(self.session.confirmed_expiry_seconds)
            recorded = self.session.table.minion_by_id.get(minion.id)
            if recorded is None or recorded.address != minion.address:
                return
            self.session.end_incarnation(minion.id, "its address cannot be called")

    def is_present(self, minion):
        """Whether the incarnation of a `Minion` answers a probe now."""
        result = self.probe(minion)
        is_same = is_same_birth(result.born_ms, minion.born_ms)
        return is_same and result.reply.kind in PRESENT_KINDS

    def has_ended(self, minion):
        """Whether a probe shows that nothing runs under the id of a `Minion`.

        False if it does not answer, as it may be disconnected, and if another
        incarnation answers under the id: that one may have carried out orders for
        this one, and takes over the recorded runs once it is recorded.
        """
        reply = self.probe(minion).reply
        return reply.is_refused or reply.kind is ReplyKind.OTHER_LIFE

    def probe(self, minion):
        """Poll a minion apart from its agent; return the `PollResult`."""
        client = self.make_client(minion) if self.session.may_order() else None
        if client is None:
            return PollResult(Reply(ReplyKind.NOT_SENT))
        try:
            return client.look(PollOrder(self.session.fence, 0), MAX_TIMEOUT_SECONDS)
        finally:
            client.close()

    def close(self):
        """Close the connections of all agents; their greenlets end with the session."""
        for agent in self.by_minion.values():
            agent.client.close()
