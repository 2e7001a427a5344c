"""
standin.bench
~~~~~~~~~~~~~

Benchmarks, printed as tables of ratios to baselines measured in the same
run.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import sys
import tempfile
import time
import uuid

import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from hingepitch.commandclient import CommandClient
from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.exchange import MinionConnections
from hingepitch.load.generator import LoadTest
from hingepitch.load.mix import MIX_BY_NAME
from hingepitch.log import configure_log
from hingepitch.model.command import Envelope, PutPool, Role
from hingepitch.request import Answer, Request
from hingepitch.setting import parse_address
from standin import wave_trial
from standin.cluster import SHARED_KEY, Cluster, wait_for
from standin.measure import cpu_seconds, print_table, resident_bytes

RUN_SECONDS = 3.0
COMMITS = 600
CONNECTIONS = (1, 64, 500)
CLIENTS = (1, 16, 64)
TRIALS = 3
MEMORY_REQUESTS = 100_000
GOODPUT_SECONDS = 4.0
DEADLINE_SECONDS = 10.0


class ClosedLoop:
    """Workers that each call a function repeatedly and time each call.

    `workers`
        Number of workers.
    `work`
        Function of the worker's number; returns whether the call succeeded.
    """

    def __init__(self, workers, work):
        self.workers = workers
        self.work = work
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.done = 0
        self.failed = 0
        self.seconds = 0.0

    def run(self, seconds=RUN_SECONDS, count=None):
        """Run for some seconds, or until `count` calls are made; return self."""
        started = time.monotonic()
        self.remaining = count
        group = Group()
        for number in range(self.workers):
            group.spawn(self.loop, number, started + seconds)
        group.join()
        self.seconds = time.monotonic() - started
        return self

    def loop(self, number, until):
        """Call until the monotonic time `until` or until the count is reached."""
        while time.monotonic() < until and self.remaining != 0:
            if self.remaining is not None:
                self.remaining -= 1
            before = time.monotonic()
            good = self.work(number)
            self.histogram.record_value(int((time.monotonic() - before) * 1e6) + 1)
            self.done += 1
            self.failed += not good

    def at(self, percentile):
        """Return a percentile of the call durations in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000

    @property
    def rate(self):
        """Calls per second."""
        return self.done / self.seconds


def make_caller(address, prefix):
    """Return a work function that sends requests, one connection per worker.

    `address`
        `IP:port` of an entry or a minion.
    `prefix`
        Prefix of the request path.
    """
    connections_by_worker = {}

    def work(number):
        connections = connections_by_worker.get(number)
        if connections is None:
            connections = MinionConnections(parse_address(address))
            connections_by_worker[number] = connections
        request = Request(
            "eligibility",
            "GET",
            f"{prefix}/x",
            [("Request-Name", "bench")],
            b"",
            time.clock_gettime(time.CLOCK_BOOTTIME) + DEADLINE_SECONDS,
        )
        answer = connections.exchange(request)
        return isinstance(answer, Answer) and answer.status == 200

    return work


def bench_entry(cluster):
    """Compare requests through an entry with requests sent to a minion directly."""
    rows = []
    vm = cluster.vm_documents[0]
    straight = f"{vm['ip']}:{cluster.service_ports['prescriptions']}"
    entry = cluster.http_by_name["e1"]
    pid = cluster.process_by_name["e1"].popen.pid
    for connections in CONNECTIONS:
        base = ClosedLoop(connections, make_caller(straight, "")).run()
        before = cpu_seconds(pid)
        through = ClosedLoop(connections, make_caller(entry, "/s/eligibility")).run()
        used = cpu_seconds(pid) - before
        rows.append(
            (
                connections,
                f"{base.at(50):.2f}",
                f"{through.at(50):.2f}",
                f"{through.at(50) / base.at(50):.1f}",
                f"{base.at(99):.2f}",
                f"{through.at(99):.2f}",
                f"{through.at(99) / base.at(99):.1f}",
                f"{through.rate:.0f}",
                f"{through.rate / base.rate:.2f}",
                f"{through.done / max(used, 0.01):.0f}",
                through.failed,
            )
        )
    columns = ("connections", "straight p50 ms", "entry p50", "ratio")
    columns += ("straight p99 ms", "entry p99", "ratio", "entry/s", "of straight")
    columns += ("per core", "refused")
    print_table("A request through an entry", columns, rows)


def bench_memory(cluster):
    """Measure whether the memory of an entry grows with requests."""
    pid = cluster.process_by_name["e2"].popen.pid
    work = make_caller(cluster.http_by_name["e2"], "/s/eligibility")
    rows = [("idle", f"{resident_bytes(pid) / 1e6:.1f}")]
    for part in (1, 2):
        ClosedLoop(32, work).run(120, MEMORY_REQUESTS // 2)
        count = part * MEMORY_REQUESTS // 2
        rows.append((f"after {count:,} requests", f"{resident_bytes(pid) / 1e6:.1f}"))
    leader = cluster.process_by_name[cluster.wait_leader()].popen.pid
    rows.append(("leader", f"{resident_bytes(leader) / 1e6:.1f}"))
    print_table("Resident memory, MB", ("entry", "MB"), rows)


def local_append(count):
    """Return the finished loop of sequential synced appends to a local log."""
    with tempfile.TemporaryDirectory(prefix="hingepitch-") as folder:
        bootstrap_folder(folder, "c1", (Member("c1", "c1", "127.0.0.1:1", "h"),))
        storage = Storage(folder, "c1")
        storage.open()
        index = iter(range(1, count + 2))

        def work(number):
            entry = Entry(next(index), 1, EntryKind.COMMAND, b"x" * 150)
            storage.write(None, [entry])
            return True

        loop = ClosedLoop(1, work).run(60, count)
        storage.close()
    return loop


def bench_commits(cluster):
    """Compare the commit of commands with a synced append to a local log."""
    addresses = [cluster.rpc_by_name[name] for name in cluster.replica_names]
    base = local_append(COMMITS)
    rows = []
    for clients in CLIENTS:
        group = CommandClient(addresses, "bench", SHARED_KEY, connections=clients)

        def work(number, group=group):
            envelope = Envelope(
                Role.OPERATOR,
                "journeys",
                "bench",
                PutPool(f"bench-{number}"),
                uuid.uuid4().hex,
            )
            return group.propose(envelope).accepted

        loop = ClosedLoop(clients, work).run(60, COMMITS)
        rows.append(
            (
                clients,
                f"{loop.rate:.0f}",
                f"{loop.rate / base.rate:.2f}",
                f"{loop.at(50):.2f}",
                f"{loop.at(50) / base.at(50):.1f}",
                f"{loop.at(99):.2f}",
                loop.failed,
            )
        )
    columns = ("clients", "commits/s", "of local append", "p50 ms", "of local")
    columns += ("p99 ms", "failed")
    print_table("Committed commands, 3 replicas", columns, rows)


def bench_leader_loss(cluster):
    """Measure the time without a leader after the leader is killed or frozen."""
    rows = []
    for kind in ("killed", "frozen"):
        seconds = sorted(lose_leader(cluster, kind) for _ in range(TRIALS))
        rows.append((kind, *(f"{value:.2f}" for value in seconds)))
    columns = ("leader", "best s", "middle", "worst")
    print_table("Without a leader", columns, rows)


def lose_leader(cluster, kind):
    """Kill or freeze the leader, and restart or resume it at the end.

    Returns the seconds until another replica is leader.
    """
    import signal

    name = cluster.wait_leader()
    process = cluster.process_by_name[name]
    others = [one for one in cluster.replica_names if one != name]
    started = time.monotonic()
    if kind == "killed":
        process.kill()
    else:
        process.signal(signal.SIGSTOP)

    def leads():
        statuses = [cluster.status(one) for one in others]
        return any(status and status["role"] == "leader" for status in statuses)

    wait_for(leads)
    seconds = time.monotonic() - started
    if kind == "killed":
        process.start()
    else:
        process.signal(signal.SIGCONT)
    wait_for(lambda: (cluster.status(name) or {}).get("leader"))
    return seconds


def bench_in_force(cluster):
    """Measure the time from the acceptance of a change until all entries apply it."""
    client = cluster.client("prescriptions")
    vm = cluster.vm_documents[0]

    def work(number):
        labels = {**vm["labels"], "n": uuid.uuid4().hex[:8]}
        outcome = client.command(put={**vm, "labels": labels})
        started = time.monotonic()
        good = client.wait_in_force(outcome["version"])
        histogram.record_value(int((time.monotonic() - started) * 1e6) + 1)
        return good

    histogram = HdrHistogram(1, 60_000_000, 3)
    ClosedLoop(1, work).run(60, 200)
    row = [f"{histogram.get_value_at_percentile(at) / 1000:.1f}" for at in (50, 99)]
    title = f"Accepted to in force, {len(cluster.entry_names)} entries"
    print_table(title, ("p50 ms", "p99 ms"), [row])


def bench_goodput(cluster):
    """Measure goodput under overload with a slow, a failing and a hanging minion."""
    names = [vm["name"] for vm in cluster.vm_documents[:8]]
    service = cluster.services()[0][1]
    cluster.put("prescriptions", {**service, "slots": 2, "deadline_ms": 1000})
    for name in names:
        cluster.call_simulation("/behave", {"vm": name, "delay_ms": 50})
    capacity = len(names) * 2 * 2 / 0.05
    cluster.call_simulation("/behave", {"vm": names[0], "delay_ms": 250})
    cluster.call_simulation("/behave", {"vm": names[1], "delay_ms": 0, "status": 500})
    cluster.call_simulation("/behave", {"vm": names[2], "hang": True})
    entries = [cluster.http_by_name[name] for name in ("e1", "e2")]
    rows = []
    base = None
    for load in (0.25, 0.5, 1, 2, 3):
        test = LoadTest(
            entries, MIX_BY_NAME["checks-only"], capacity * load, GOODPUT_SECONDS
        )
        plain = test.run().to_plain()
        base = base or plain["goodput_per_second"]
        good = plain["outcomes"].get("ok", 0)
        rows.append(
            (
                load,
                plain["sent"],
                plain["goodput_per_second"],
                f"{plain['goodput_per_second'] / base:.2f}",
                f"{good / plain['sent']:.3f}",
                f"{plain['p50_ms']:.0f}",
                f"{plain['p99_ms']:.0f}",
                plain["outcomes"],
            )
        )
    title = f"Goodput, 5 good minions of 8 (nominal {capacity:.0f}/s of all 8)"
    columns = ("load", "sent", "good/s", "of first", "share good", "p50 ms", "p99 ms")
    print_table(title, (*columns, "outcomes"), rows)


CLUSTER_BENCHES = {
    "entry": bench_entry,
    "memory": bench_memory,
    "commits": bench_commits,
    "in-force": bench_in_force,
    "leader": bench_leader_loss,
    "goodput": bench_goodput,
}


def main():
    """Run all benchmarks, or those named as arguments."""
    configure_log("bench", "ERROR")
    wanted = sys.argv[1:] or [*CLUSTER_BENCHES, "waves"]
    for name in wanted:
        if name == "waves":
            wave_trial.main()
            continue
        with Cluster(entries=8 if name == "in-force" else 2, planners=0) as cluster:
            cluster.start()
            CLUSTER_BENCHES[name](cluster)
            gevent.sleep(0)


if __name__ == "__main__":
    main()
