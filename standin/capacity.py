"""
standin.capacity
~~~~~~~~~~~~~~~~

Measures how resource use grows with the size of the system, on small clusters
and fleets in bounded time: the slopes in docs/CAPACITY.md.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gc
import json
import sys
import tempfile
import time
import tracemalloc
from dataclasses import asdict
from http.client import HTTPConnection
from pathlib import Path

from hingepitch.control.message import Entry, EntryKind, Member
from hingepitch.control.storage import Storage, bootstrap_folder
from hingepitch.log import configure_log
from hingepitch.model import command as commands
from hingepitch.model.apply import apply
from hingepitch.model.codec import (
    decode_changes,
    decode_envelope,
    encode_changes,
    encode_envelope,
)
from hingepitch.model.command import Envelope, Role
from hingepitch.model.state import State
from hingepitch.planner.placement import plan_jobs
from hingepitch.planner.wave import plan_drains, plan_health, plan_moves, plan_wave
from standin.cluster import Cluster
from standin.fleet import HALLS, POOLS, TEAMS, VMS, FleetBuilder, full_size_fleet
from standin.measure import (
    best_seconds,
    cpu_seconds,
    fit_slope,
    format_short,
    print_table,
    resident_bytes,
)

REPORT = Path("build/capacity.json")
FRACTIONS = (0.05, 0.2, 0.5, 1.0)
IDLE_SECONDS = 6.0
ENTRY_COUNTS = (2, 4, 6, 8)
CHANGE_RATES = (5, 10, 20, 40)
RATE_SECONDS = 4.0
REQUEST_RATES = (50, 100, 200, 400)
CONNECTION_COUNTS = (200, 400, 800, 1600)
BACKLOGS = (1000, 4000, 16_000, 32_000)


def measure_records():
    """Yield slopes of memory and snapshot bytes for each kind of record."""
    adders = {
        "vm": lambda builder, number: builder.add_vm(number, 10),
        "job": lambda builder, number: builder.add_job(number, 10, 20),
        "team": lambda builder, number: builder.add_team(1000 + number),
        "claim": lambda builder, number: builder.add_claim(number),
    }
    for kind, add in adders.items():
        snapshot, memory = [], []
        for count in (500, 1000, 2000, 4000):
            builder = FleetBuilder()
            for number in range(10):
                builder.add_pool(number)
            for number in range(20):
                builder.add_team(number)
            before = len(builder.state.to_snapshot())
            gc.collect()
            tracemalloc.start()
            for number in range(count):
                add(builder, number)
            gc.collect()
            memory.append((count, tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            snapshot.append((count, len(builder.state.to_snapshot()) - before))
        yield fit_slope(f"snapshot bytes for each {kind}", "bytes", snapshot)
        yield fit_slope(f"memory for each {kind}", "bytes", memory)


def measure_planning():
    """Yield slopes of planning, snapshots and replication against VMs."""
    titles = (
        ("a pass over waves, drains, moves, health", "ms"),
        ("a pass over one touched pool", "ms"),
        ("a pass placing 100 jobs", "ms"),
        ("a snapshot encoded", "ms"),
        ("a full copy for an entry", "bytes"),
        ("a full copy taken by an entry", "ms"),
    )
    columns = zip(*(planning_points(part) for part in FRACTIONS), strict=True)
    for (name, unit), points in zip(titles, columns, strict=True):
        yield fit_slope(name, unit, points)


def planning_points(part):
    """Return a point for each slope of `measure_planning`.

    `part`
        Size of the fleet as a fraction of the full-size fleet.
    """
    builder = full_size_fleet(part)
    vms = len(builder.state.by_kind["vm"])
    view = builder.view()
    builder.add_campaigns()
    wave = best_seconds(lambda: plan_fleet(builder, view, list(builder.pools())))
    touched = best_seconds(lambda: plan_fleet(builder, view, ["pool-1"]))
    for number in range(100):
        builder.add_job(number, round(POOLS * part), round(TEAMS * part))
    jobs = best_seconds(lambda: plan_placement(builder))
    encode = best_seconds(builder.state.to_snapshot)
    version, _, changes = builder.state.changes_since("routing", -1)
    data = encode_changes(changes)
    copy = best_seconds(lambda: apply_changes(data, version))
    values = (
        1000 * wave,
        1000 * touched,
        1000 * jobs,
        1000 * encode,
        len(data),
        1000 * copy,
    )
    return [(vms, value) for value in values]


def plan_fleet(builder, view, pools):
    """Plan health, drains, moves and waves once; the latter two for `pools`."""
    state = builder.state
    list(plan_health(state, view, 0.0, 2.0))
    list(plan_drains(state, view))
    list(plan_moves(state, view, pools))
    list(plan_wave(state, view, 10, pools))


def plan_placement(builder):
    """Plan the placement of the waiting jobs once."""
    list(plan_jobs(builder.state, lambda vm: False, builder.pools()))


def apply_changes(data, version):
    """Decode a full copy of the state and apply it to an empty state."""
    State().apply_changes(decode_changes(data), version, True)


def relabel_payload(number):
    """Return the log payload of a command that changes the labels of one VM."""
    vm = commands.PutVm(
        f"vm-{number % 300}",
        f"pool-{number % 300 % 10}",
        "hall-0",
        "rack-0",
        "10.0.0.1",
        {"tier": "small", "color": f"c{number}"},
    )
    partner = ("prescriptions", "journeys")[number % 300 % 10 % 2]
    return encode_envelope(
        Envelope(Role.OPERATOR, partner, "someone", vm, f"id-{number}")
    )


def measure_catch_up():
    """Yield slopes of log recovery time and log size against entries."""
    seconds, sizes = [], []
    for count in BACKLOGS:
        with tempfile.TemporaryDirectory(prefix="hingepitch-") as folder:
            bootstrap_folder(folder, "c1", (Member("c1", "c1", "127.0.0.1:1", "h"),))
            storage = Storage(folder, "c1")
            storage.open()
            entries = [
                Entry(index, 1, EntryKind.COMMAND, relabel_payload(index))
                for index in range(1, count + 1)
            ]
            storage.write(None, entries)
            storage.close()
            sizes.append((count, storage.bytes_written))
            seconds.append((count, best_seconds(lambda: recover(folder), 2)))
    yield fit_slope("a restart with changes behind", "s", seconds)
    yield fit_slope("log bytes for each change", "bytes", sizes)


def recover(folder):
    """Read the log in a folder and apply it."""
    builder = FleetBuilder()
    for number in range(10):
        builder.add_pool(number)
    for number in range(300):
        builder.add_vm(number, 10)
    storage = Storage(folder, "c1")
    recovered = storage.open()
    for entry in recovered.entries:
        apply(builder.state, decode_envelope(entry.payload), 1000 + entry.index)
    storage.close()


class CpuMeter:
    """Measures the CPU time of processes as a fraction of a core."""

    def __init__(self, cluster, names):
        self.pids = {name: cluster.process_by_name[name].popen.pid for name in names}

    def run(self, work):
        """Call `work`; return its duration and the fractions of a core by name."""
        before = {name: cpu_seconds(pid) for name, pid in self.pids.items()}
        started = time.monotonic()
        work()
        seconds = time.monotonic() - started
        return seconds, {
            name: (cpu_seconds(pid) - before[name]) / seconds
            for name, pid in self.pids.items()
        }


def count_bytes(cluster, name):
    """Return the bytes that the relays of a process have forwarded."""
    return sum(relay.bytes_passed for relay in cluster.relays_of(name))


def measure_idle():
    """Yield slopes of idle CPU time and network traffic against entries."""
    leader_cpu, leader_bytes, follower_cpu, entry_cpu, entry_bytes = (
        [] for _ in "12345"
    )
    for count in ENTRY_COUNTS:
        with Cluster(entries=count, planners=0, with_relays=True) as cluster:
            cluster.start()
            leader = cluster.wait_leader()
            follower = next(n for n in cluster.replica_names if n != leader)
            meter = CpuMeter(cluster, [leader, follower, "e1"])
            names = (leader, "e1")
            before = {name: count_bytes(cluster, name) for name in names}
            seconds, cpu = meter.run(lambda: time.sleep(IDLE_SECONDS))
            rate = {
                name: (count_bytes(cluster, name) - before[name]) / seconds
                for name in names
            }
        leader_cpu.append((count, 100 * cpu[leader]))
        follower_cpu.append((count, 100 * cpu[follower]))
        entry_cpu.append((count, 100 * cpu["e1"]))
        leader_bytes.append((count, rate[leader]))
        entry_bytes.append((count, rate["e1"]))
    yield fit_slope("idle leader against entries", "% core", leader_cpu)
    yield fit_slope("idle follower against entries", "% core", follower_cpu)
    yield fit_slope("idle entry against entries", "% core", entry_cpu)
    yield fit_slope("idle leader against entries", "bytes/s", leader_bytes)
    yield fit_slope("idle entry against entries", "bytes/s", entry_bytes)


def measure_changes():
    """Yield slopes against changes per second, with 8 entries."""
    leader_cpu, entry_cpu, entry_bytes, lags = [], [], [], []
    with Cluster(entries=8, planners=0, with_relays=True) as cluster:
        cluster.start()
        leader = cluster.wait_leader()
        meter = CpuMeter(cluster, [leader, "e1"])
        for rate in CHANGE_RATES:
            before = count_bytes(cluster, "e1")
            seconds, cpu = meter.run(lambda rate=rate: send_changes(cluster, rate))
            passed = count_bytes(cluster, "e1") - before
            leader_cpu.append((rate, 100 * cpu[leader]))
            entry_cpu.append((rate, 100 * cpu["e1"]))
            entry_bytes.append((rate, passed / seconds))
            lags.append((rate, measure_delay(cluster)))
    yield fit_slope("leader against changes/s, 8 entries", "% core", leader_cpu)
    yield fit_slope("entry against changes/s", "% core", entry_cpu)
    yield fit_slope("entry against changes/s", "bytes/s", entry_bytes)
    yield fit_slope("accepted to in force against changes/s", "s", lags)


def send_changes(cluster, rate):
    """Change the labels of VMs at a rate, per second, for `RATE_SECONDS`."""
    client = cluster.client("prescriptions")
    started = time.monotonic()
    for number in range(int(rate * RATE_SECONDS)):
        time.sleep(max(0.0, started + number / rate - time.monotonic()))
        vm = cluster.vm_documents[number % 8]
        client.command(put={**vm, "labels": {**vm["labels"], "n": f"v{number}"}})


def measure_delay(cluster):
    """Make a change; return the seconds from its acceptance until in force.

    Raises `TimeoutError` if the wait times out.
    """
    client = cluster.client("prescriptions")
    vm = cluster.vm_documents[0]
    outcome = client.command(put={**vm, "labels": {**vm["labels"], "n": "last"}})
    started = time.monotonic()
    if not client.wait_in_force(outcome["version"]):
        raise TimeoutError("timed out after 10 s waiting for a change to be in force")
    return time.monotonic() - started


def measure_requests():
    """Yield slopes of an entry's CPU time and memory against its load."""
    from hingepitch.load.generator import LoadTest
    from hingepitch.load.mix import MIX_BY_NAME

    cpu_points, memory_points = [], []
    with Cluster(entries=1, planners=0) as cluster:
        cluster.start()
        pid = cluster.process_by_name["e1"].popen.pid
        meter = CpuMeter(cluster, ["e1"])
        address = cluster.http_by_name["e1"]
        mix = MIX_BY_NAME["checks-only"]
        for rate in REQUEST_RATES:
            test = LoadTest([address], mix, rate, RATE_SECONDS)
            seconds, cpu = meter.run(test.run)
            cpu_points.append((test.result.sent / seconds, 100 * cpu["e1"]))
        opened = []
        for count in CONNECTION_COUNTS:
            while len(opened) < count:
                opened.append(open_connection(address))
            memory_points.append((count, resident_bytes(pid)))
        for connection in opened:
            connection.close()
    yield fit_slope("entry against requests/s", "% core", cpu_points)
    yield fit_slope("entry memory against open connections", "bytes", memory_points)


def open_connection(address):
    """Open a connection on which one request has been answered."""
    connection = HTTPConnection(address, timeout=5)
    connection.request("GET", "/healthz")
    connection.getresponse().read()
    return connection


def report(slopes):
    """Print the slopes and write them to `REPORT` as JSON."""
    rows = [
        (
            slope.name,
            slope.unit,
            format_short(slope.per_unit),
            format_short(slope.base),
            f"{slope.fit:.3f}",
            f"{slope.spread:.0%}",
            " ".join(
                f"{format_short(size)}:{format_short(value)}"
                for size, value in slope.points
            ),
        )
        for slope in slopes
    ]
    columns = ("slope", "unit", "per one", "base", "fit", "spread", "points")
    print_table("Slopes", columns, rows)
    REPORT.parent.mkdir(exist_ok=True)
    document = {
        "fleet": {"vms": VMS, "pools": POOLS, "teams": TEAMS, "halls": HALLS},
        "slopes": [asdict(slope) for slope in slopes],
    }
    REPORT.write_text(json.dumps(document, indent=2))
    print(f"\nwritten to {REPORT}")


def main():
    """Measure everything, or the parts named as arguments."""
    parts = {
        "records": measure_records,
        "planning": measure_planning,
        "catch-up": measure_catch_up,
        "idle": measure_idle,
        "changes": measure_changes,
        "requests": measure_requests,
    }
    configure_log("capacity", "ERROR")
    slopes = []
    for name in sys.argv[1:] or parts:
        print(f"measuring {name}", flush=True)
        slopes += parts[name]()
    report(slopes)


if __name__ == "__main__":
    main()
