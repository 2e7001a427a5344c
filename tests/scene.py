"""The state that the steps of a scenario share."""

import json
import threading
import uuid
from collections import defaultdict

from hingepitch.error import HingepitchError
from standin.callers import Callers
from standin.cluster import Cluster, http_call, wait_for

SERVICES = [("eligibility", True), ("refill", False), ("route", True)]
BUDGET = {"prescriptions": 1, "journeys": 2}
WAVE_SECONDS = 60.0
PARTNERS = ("prescriptions", "journeys")


class Observer:
    """Reads one value repeatedly in a thread and checks each against the one before."""

    def __init__(self, read, check):
        self.read = read
        self.check = check
        self.faults = []
        self.seen = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        last = None
        while not self.stopping.is_set():
            try:
                value = self.read()
            except (HingepitchError, OSError, ValueError):
                value = None
            if value is not None:
                self.seen += 1
                self.faults += self.check(last, value)
                last = value
            self.stopping.wait(0.02)

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return self.faults


def check_versions(last, value):
    """Yield the objects that disappeared or whose version decreased."""
    for name, version in (last or {}).items():
        if value.get(name, -1) < version:
            yield f"{name}: {version} then {value.get(name)}"


def check_pools(last, value):
    """Yield faults of the pools: VMs in two pools, in none, or no longer listed."""
    names = [name for name, _ in value]
    if len(names) != len(set(names)):
        yield "a VM in two pools"
    gone = {name for name, _ in last or ()} - set(names)
    if gone:
        yield f"in no pool: {sorted(gone)}"
    if any(not pool for _, pool in value):
        yield "a VM without a pool"


class Scene:
    """The cluster of one scenario, with what its steps share.

    `accepted`
        `(name, version)` of the accepted changes by partner.
    `saved_values`
        Values that a step saves for later steps.
    """

    def __init__(self):
        self.cluster = None
        self.callers = None
        self.callers_count = 8
        self.observers = []
        self.accepted = defaultdict(list)
        self.refusal = None
        self.outcome = None
        self.stopped = []
        self.saved_values = {}

    def start(self, **options):
        self.cluster = Cluster(**options)
        self.cluster.start()

    def close(self):
        for observer in self.observers:
            observer.stop()
        if self.callers is not None:
            self.callers.stop()
        if self.cluster is not None:
            self.cluster.close()

    def start_callers(self):
        addresses = [self.cluster.http_by_name[name] for name in self.entries]
        self.callers = Callers(addresses, SERVICES, self.callers_count).start()

    @property
    def entries(self):
        return self.cluster.entry_names

    def count(self, run):
        return sum(result.run == run for result in self.callers.results)

    def wait_results(self, run, more):
        target = self.count(run) + more
        wait_for(lambda: self.count(run) >= target, 60, f"{more} more {run}")

    def verdict(self):
        """Stop the callers and return the `Verdict` on their results."""
        self.callers.stop()
        return self.callers.verdict(self.cluster.counts()["ran"])

    def put(self, partner, document):
        self.outcome = self.cluster.put(partner, document)
        return self.outcome

    def start_campaigns(self):
        for partner in PARTNERS:
            self.put(partner, {"kind": "campaign", "name": f"{partner}-c"})

    def is_maintained(self, partner):
        vms = self.cluster.objects("vm").values()
        return all(
            vm["maintained_version"] and vm["life"] == "live"
            for vm in vms
            if vm["partner"] == partner
        )

    def wait_maintained(self, partner):
        wait_for(
            lambda: self.is_maintained(partner), WAVE_SECONDS, f"wave of {partner}"
        )

    def wait_reboots(self, count):
        wait_for(
            lambda: len(self.cluster.counts()["reboots"]) >= count,
            WAVE_SECONDS,
            f"{count} reboots",
        )

    def reboots_of(self, partner):
        names = [
            vm["name"]
            for vm in self.cluster.vm_documents
            if self.cluster.partner_of(vm) == partner
        ]
        return [name for name in self.cluster.counts()["reboots"] if name in names]

    def burst(self, partner, count):
        """Send changes, each twice with one command id; save the outcomes.

        The replica that is cut off, if there is one, is called first.
        """
        client = self.cluster.client(partner)
        if "cut" in self.saved_values:
            client.preferred = self.cluster.replica_names.index(
                self.saved_values["cut"]
            )
        for number in range(count):
            name = f"{partner[0]}-burst-{number}"
            body = {"id": uuid.uuid4().hex, "put": {"kind": "pool", "name": name}}
            for _ in range(2):
                outcome = client.call("POST", "/v1/commands", body)
            self.accepted[partner].append((name, outcome["version"]))

    def burst_both(self, count):
        """Start a thread with `burst` for each partner; return the threads."""
        threads = [
            threading.Thread(target=self.burst, args=(partner, count), daemon=True)
            for partner in PARTNERS
        ]
        for thread in threads:
            thread.start()
        return threads

    def watch_versions(self):
        for address in self.http_of_replicas():
            self.observe(
                lambda address=address: {
                    row["name"]: row["version"] for row in self.read(address, "pool")
                },
                check_versions,
            )
        for name in self.entries:
            self.observe(
                lambda name=name: {"version": self.entry_version(name)}, check_versions
            )

    def watch_pools(self):
        for address in self.http_of_replicas():
            self.observe(
                lambda address=address: [
                    (row["name"], row["pool"]) for row in self.read(address, "vm")
                ],
                check_pools,
            )

    def observe(self, read, check):
        """Observe a value until the end; return after the first successful read.

        The next step may kill the process that is read.
        """
        observer = Observer(read, check)
        self.observers.append(observer)
        wait_for(lambda: observer.seen, what="a first read")

    def http_of_replicas(self):
        return [self.cluster.http_by_name[name] for name in self.cluster.replica_names]

    def entry_version(self, name):
        status = self.cluster.status(name)
        if status is None:
            raise ValueError("the entry reports no status")
        return status["version"]

    def read(self, address, kind):
        """Return the objects of a kind by a confirmed read at one replica."""
        client = self.cluster.client("prescriptions")
        return client.call_replica(address, "GET", f"/v1/objects/{kind}")

    def stop_observers(self):
        faults = [fault for observer in self.observers for fault in observer.stop()]
        assert all(observer.seen for observer in self.observers)
        self.observers = []
        return faults

    def process(self, name):
        return self.cluster.process_by_name[name]

    def status_of(self, name):
        return self.cluster.status(name)

    def restart_all(self):
        for name in self.cluster.replica_names:
            self.process(name).kill()
        for name in self.cluster.replica_names:
            self.process(name).start()
        self.cluster.wait_leader()

    def wait_other_leader(self, name):
        """Wait until a replica other than `name` leads."""
        others = [one for one in self.cluster.replica_names if one != name]

        def leads():
            statuses = [self.status_of(one) for one in others]
            return any(status and status["role"] == "leader" for status in statuses)

        wait_for(leads, 10, "another leader")

    def behave(self, names, **behaviour):
        """Change how the minions of the named VMs answer, such as `delay_ms`."""
        for name in names:
            self.cluster.call_simulation("/behave", {"vm": name, **behaviour})

    def vms_of(self, partner):
        return [
            vm["name"]
            for vm in self.cluster.vm_documents
            if self.cluster.partner_of(vm) == partner
        ]

    def vms_in(self, rack):
        documents = self.cluster.vm_documents
        return [vm["name"] for vm in documents if vm["rack"] == rack]

    def healthz(self, name):
        address = self.cluster.http_by_name[name]
        return http_call(address, "GET", "/healthz")[0]

    def order(self, entry, key, body=b"order"):
        """Send an order; return `(status, answer)`, or None if no answer came."""
        try:
            status, _, data = self.cluster.request(
                entry, "refill", key, body, key, method="POST"
            )
        except OSError:
            return None
        return status, json.loads(data)
