"""A group in which a majority of the replicas can store and vote, but not lead.

This happens during an upgrade: the logs of the replicas of the earlier version hold a
command that only the later version can read, and these logs may be ahead of those of
the later version.
"""

import pytest

from hingepitch.control.message import MayLead, Propose
from tests.consensus_driver import Driver

SIZE = 5
STEPS = 1200
LATER = b"later"

#: Rounds of about one tick per replica, enough for more than ten elections.
MANY_ROUNDS = 300


class UpgradeDriver(Driver):
    """Driver whose first replicas cannot apply commands that begin with `LATER`.

    When such a command is committed at one of them, its core gets `MayLead(False)`.

    `unable`
        Number of replicas of the earlier version.
    """

    def __init__(self, seed, unable):
        self.earlier = {f"n{number}" for number in range(unable)}
        super().__init__(seed, SIZE)

    def restart(self, node):
        super().restart(node)
        if self.is_unable(node, node.applied):
            super().step(node, MayLead(False))

    def apply(self, node, index):
        before = len(node.applied)
        super().apply(node, index)
        if self.is_unable(node, node.applied[before:]):
            self.newly_unable.append(node)

    def install(self, node, action):
        super().install(node, action)
        if self.is_unable(node, node.applied):
            self.newly_unable.append(node)

    def is_unable(self, node, records):
        """Whether a replica cannot read one of the records."""
        is_later = any(payload.startswith(LATER) for _, _, payload in records)
        return is_later and node.identity in self.earlier

    def step(self, node, event):
        self.newly_unable = []
        super().step(node, event)
        for unable in self.newly_unable:
            super().step(unable, MayLead(False))

    def propose_later(self):
        self.tokens += 1
        self.step(self.pick(), Propose([LATER + b"%d" % self.tokens], [self.tokens]))

    def run(self, steps):
        """Run random events; propose commands of the later version at a random time."""
        before = self.random.randrange(steps // 2)
        super().run(before)
        for _ in range(40):
            self.propose_later()
            super().run(5)
        super().run(self.random.randrange(200))

    def serving(self):
        """Return the replicas that lead and can apply the log."""
        return [
            node
            for node in self.nodes.values()
            if node.core.role == "leader" and node.core.may_lead
        ]

    def round(self):
        """Give each replica about one tick, and deliver some messages."""
        for _ in range(SIZE):
            self.tick()
            self.finish_write()
            for _ in range(6):
                self.deliver()

    def serves(self):
        """Heal the network; return whether enough commands are committed in time."""
        self.blocked = set()
        known = len(self.committed)
        for _ in range(MANY_ROUNDS):
            self.round()
            for node in self.serving():
                self.tokens += 1
                self.step(node, Propose([b"%d" % self.tokens], [self.tokens]))
            if self.serving() and len(self.committed) > known + 20:
                return True
        return False


# Guards against a group without a leader: the replicas that can lead lack entries
# that the others hold, so no other replica votes for them.
@pytest.mark.parametrize("unable", [1, 2, 3, 4])
def test_a_group_serves_while_one_replica_can_lead(unable):
    idle_seeds = []
    for seed in range(150):
        driver = UpgradeDriver(seed, unable)
        driver.run(STEPS)
        if not driver.serves():
            idle_seeds.append(seed)
    assert not idle_seeds
