"""A replica that is its own quorum, on a simulated disk that loses power."""

import random
from types import SimpleNamespace

import gevent

from hingepitch.control.audit import AuditTrail
from hingepitch.control.message import Member, Tick
from hingepitch.control.replica import Replica
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.error import HingepitchError
from hingepitch.httpd import wait_until
from hingepitch.model.command import Envelope, PutPool, PutVm, Role
from standin.powerdisk import PowerDisk

SECONDS = 5
MEMBERS = (Member("c1", "c1", "127.0.0.1:1", "h1"),)


class PowerReplica:
    """A replica on a `PowerDisk`, with a record of the proposed commands.

    `acked`
        Id and error code of each decided operator command, in order.
    `proposed_ids`
        Ids of all proposed operator commands, in order.
    """

    def __init__(self, folder, seed=0):
        self.rng = random.Random(seed)
        self.disk = PowerDisk(folder)
        bootstrap_folder(folder, "c1", MEMBERS, self.disk)
        self.folder = folder
        self.replica = None
        self.acked = []
        self.proposed_ids = []
        self.number = 0
        self.greenlets = []

    def start(self):
        """Open the folder as a program does at its start, and become leader."""
        self.open()
        self.lead()

    def open(self):
        """Open the folder as a program does at its start."""
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
        """Run the replica until it leads or the power is lost."""
        self.greenlets = [
            gevent.spawn(self.replica.run),
            gevent.spawn(self.replica.write_in_background),
        ]
        assert wait_until(self.is_ready, SECONDS)

    def is_ready(self):
        """Whether the replica leads and has committed its log, or has no power."""
        if not self.disk.has_power:
            return True
        self.replica.put(Tick())
        gevent.sleep(0.001)
        core = self.replica.core
        return self.replica.is_leader and core.commit_index == core.log.last_index

    def propose_vm(self):
        """Propose one VM; the first call proposes its pool first."""
        if not self.number:
            self.propose(PutPool("pool"), "pool")
        self.number += 1
        name = f"vm-{self.number:06}"
        labels = {"tier": "small", "note": "x" * self.rng.randrange(600)}
        vm = PutVm(name, "pool", "hall", "rack", "10.0.0.1", labels)
        self.propose(vm, name)

    def propose(self, command, name):
        """Propose an operator command; record it and its outcome."""
        envelope = Envelope(Role.OPERATOR, "journeys", "someone", command, name)
        self.proposed_ids.append(name)
        try:
            outcome = self.replica.propose(envelope)
        except HingepitchError:
            return
        self.acked.append((name, outcome.code))

    def kill(self):
        """End the program as a signal does: nothing is flushed or closed."""
        gevent.killall(self.greenlets)
        self.greenlets = []

    def lose_power(self):
        """End the program and simulate the outcome of a power loss."""
        self.kill()
        self.close_files()
        self.disk.lose_power(self.rng)

    def close_files(self):
        """Close the files of a killed program without flushing."""
        storage, audit = self.replica.storage, self.replica.audit
        for file in (storage.segment, storage.lock_file, audit.file):
            if file is not None:
                file.close()

    def missing_vms(self):
        """Return the names of acknowledged VMs that are missing in the state."""
        vms = self.replica.state.by_kind["vm"]
        accepted = [name for name, code in self.acked if not code and name != "pool"]
        return [name for name in accepted if name not in vms]

    def audited_ids(self):
        """Return the command ids in the audit trail, in order."""
        return [record.command_id for record in self.replica.audit.read()]
