"""One replica that votes alone, on a disk that loses power."""

import random
from types import SimpleNamespace

import gevent

from hingepitch.control.audit import AuditTrail
from hingepitch.control.message import Member, Tick
from hingepitch.control.replica import Replica
from hingepitch.control.storage import Storage, found_folder
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.model.command import Envelope, PutPool, PutVm, Role
from standin.powerdisk import PowerDisk

SECONDS = 5
MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)


class PowerReplica:
    """Keeps what was acknowledged, and compares it after each loss of power.

    `acked`
        Id and code of each operator command that was decided, in order.
    `tried`
        Ids of all that were sent, in order.
    """

    def __init__(self, folder, seed=0):
        self.rng = random.Random(seed)
        self.disk = PowerDisk(folder)
        found_folder(folder, "c1", MEMBERS, self.disk)
        self.folder = folder
        self.replica = None
        self.acked = []
        self.tried = []
        self.number = 0
        self.greenlets = []

    def start(self):
        """Open the folder, as a program does at its start, and lead."""
        self.open()
        self.lead()

    def open(self):
        """Open the folder, as a program does at its start."""
        links = SimpleNamespace(send=lambda *_: None)
        roster = SimpleNamespace(take_over=lambda now: None)
        self.replica = Replica(
            Storage(self.folder, "c1", self.disk),
            AuditTrail(self.folder, self.disk),
            links,
            roster,
            lambda identity: identity,
            "1",
        )
        self.replica.open()

    def lead(self):
        """Run the replica until it leads, or the power is lost."""
        self.greenlets = [
            gevent.spawn(self.replica.run),
            gevent.spawn(self.replica.write_in_background),
        ]
        assert wait_until(self.is_ready, SECONDS)

    def is_ready(self):
        """Whether the replica leads and knows all that was committed."""
        if not self.disk.has_power:
            return True
        self.replica.put(Tick())
        gevent.sleep(0.001)
        core = self.replica.core
        return self.replica.is_leader and core.commit_index == core.log.last_index

    def relabel(self):
        """Send one operator command; the first one makes the pool."""
        if not self.number:
            self.propose(PutPool("pool"), "pool")
        self.number += 1
        name = f"vm-{self.number:06}"
        labels = {"tier": "small", "note": "x" * self.rng.randrange(600)}
        vm = PutVm(name, "pool", "hall", "rack", "10.0.0.1", labels)
        self.propose(vm, name)

    def propose(self, command, name):
        """Send an operator command; note it once it is decided."""
        envelope = Envelope(Role.OPERATOR, "journeys", "someone", command, name)
        self.tried.append(name)
        try:
            outcome = self.replica.propose(envelope)
        except HingepitchError:
            return
        self.acked.append((name, outcome.code))

    def kill(self):
        """End the program, as a signal does: nothing is flushed or closed."""
        gevent.killall(self.greenlets)
        self.greenlets = []

    def lose_power(self):
        """End the program, and leave what a loss of power leaves."""
        self.kill()
        self.let_go()
        self.disk.lose_power(self.rng)

    def let_go(self):
        """Close the files of a program that was killed; nothing is flushed."""
        storage, audit = self.replica.storage, self.replica.audit
        for file in (storage.segment, storage.lock_file, audit.file):
            if file is not None:
                file.close()

    def missing(self):
        """Return the VMs that were acknowledged and are not in the state."""
        vms = self.replica.state.by_kind["vm"]
        accepted = [name for name, code in self.acked if not code and name != "pool"]
        return [name for name in accepted if name not in vms]

    def audited(self):
        """Return the names in the audit trail, in its order."""
        return [record.command_id for record in self.replica.audit.read()]
