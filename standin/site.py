"""
standin.site
~~~~~~~~~~~~

Starts the system on a stub of the users' platform: real processes on
loopback addresses, with settings files in the platform's format.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import json
import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import yaml

from standin import accounts, powerdisk
from standin.cluster import Process, free_ports, http_call, wait_for

__all__ = [
    "CATCH_UP_SECONDS",
    "CRASHING_PREFIX",
    "FAILING_PREFIX",
    "HOST",
    "KEY_HEADER",
    "Site",
    "config_body",
]

HOST = "queue.example"

#: The header that bears the key of a client account.
KEY_HEADER = "Api-Key"

#: Every task of a job whose id starts with this fails on every minion.
FAILING_PREFIX = "fa11"

#: In a job whose id starts with this, the first task of each step crashes its
#: minion.
CRASHING_PREFIX = "c4a5"
POOL = "pool"

#: How long after its start a control replica may take to catch up: the users'
#: `catch_up_s`.
CATCH_UP_SECONDS = 4.0


def config_body(version, queues=("/q/",), has_accounts=False):
    """Return a configuration as JSON, with a route for each path prefix.

    `has_accounts`
        Whether it has the client accounts of `standin.accounts`.
    """
    route = {"host": HOST, "timeout_ms": 3000, "service": POOL, "attempts": 3}
    body = {
        "version": version,
        "routes": [
            {**route, "name": f"r{at}", "path_prefix": prefix}
            for at, prefix in enumerate(queues)
        ],
        "services": [{"name": POOL, "admission_check": True}],
        "limits": {},
    }
    if has_accounts:
        body["tenants"] = accounts.tenants(version)
    return json.dumps(body)


class Site:
    """Control replicas, entries and one process of stub minions.

    `controls`, `entries`, `minions`
        Number of each; the first three control replicas are the seeds.
        Defaults: 5, 2, 4.
    `task_seconds`
        How long each task runs. Default: 0.2.
    `is_journaled`
        Whether `lose_power` works: the control replicas journal each disk call,
        which costs a second write. Default: False.
    `restart_seed`
        Seed by which minions crash, leave and start again. Default: they do not.
    `has_accounts`
        Whether calls need the key of a client account. Default: False.
    `has_cordons`
        Whether operators may cordon halls. Default: False.
    `controls_made`
        How many control replicas the site has had.
    `down`
        Addresses of the processes that are not running: killed by this object,
        or found to have ended.
    `stopping`
        Addresses of the processes that were asked to stop and not started again.
    `ended`
        Address and exit code of each process that ended by itself.
    """

    def __init__(
        self,
        controls=5,
        entries=2,
        minions=4,
        task_seconds=0.2,
        is_journaled=False,
        restart_seed=None,
        has_accounts=False,
        has_cordons=False,
    ):
        self.is_journaled = is_journaled
        self.has_accounts = has_accounts
        self.has_cordons = has_cordons
        self.down = set()
        self.stopping = set()
        self.ended = []
        self.folder = Path(tempfile.mkdtemp(prefix="hingepitch-site-"))
        self.port, self.rpc_port, self.ready_port = free_ports(3)
        self.control_ips = [self.ip(1, number) for number in range(controls)]
        self.controls_made = controls
        self.entry_ips = [self.ip(2, number) for number in range(entries)]
        self.process_by_ip = {}
        self.notes = self.folder / "notes"
        for ip in self.control_ips + self.entry_ips:
            self.process_by_ip[ip] = self.make_process(ip)
        self.fleet = self.make_fleet(minions, task_seconds, restart_seed)

    def ip(self, network, number):
        """Return the loopback address of a process.

        It depends on the id of this process, to differ between sites.
        """
        block = os.getpid() % 200 + 10
        network += os.getpid() // 200 % 80 * 3
        return f"127.{block}.{network}.{number + 1}"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        """Kill all processes of this site and remove its files."""
        self.kill(*self.process_by_ip)
        if self.fleet.is_running():
            self.fleet.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_settings(self, ip, bootstrap):
        """Write the settings file of the process at an address."""
        is_control = ip in self.control_ips
        listen = {"control": f"{ip}:{self.port}"}
        if not is_control:
            listen = {
                "front": f"{ip}:{self.port}",
                "readiness": f"{ip}:{self.ready_port}",
            }
        settings = {
            "node": f"node-{ip.replace('.', '-')}",
            "ip": ip,
            "zone": "hall-a",
            "listen": listen,
            "port_range": [self.rpc_port, self.rpc_port],
            "seeds": [f"{one}:{self.port}" for one in self.control_ips[:3]],
            "bootstrap": bootstrap,
            "data_dir": str(self.folder / ip) if is_control else None,
            "fault_tolerance": {"machines": (len(self.control_ips) - 1) // 2},
            "bounds": {
                "hold_max_ms": 3000,
                "grace_s": 3,
                "catch_up_s": CATCH_UP_SECONDS,
            },
            "heartbeat_ms": 500,
            "contracts": ["tenants"] * self.has_accounts
            + ["places"] * self.has_cordons,
            "zones": {"hall-a": "region", "hall-b": "region"},
        }
        (self.folder / f"{ip}.yaml").write_text(yaml.safe_dump(settings))

    def make_process(self, ip):
        """Create the process at an address, not yet started."""
        role = "control" if ip in self.control_ips else "entry"
        command = [sys.executable, "platform/main.py", role]
        if self.is_journaled and role == "control":
            command = [sys.executable, "-m", "standin.journaled", str(self.journal(ip))]
        env = {"HINGEPITCH_SETTINGS": str(self.folder / f"{ip}.yaml")}
        return Process(ip, command, self.folder, env)

    def make_fleet(self, minions, task_seconds, restart_seed):
        """Create the process of the stub minions, not yet started."""
        description = {
            "controls": [f"{ip}:{self.port}" for ip in self.control_ips],
            "notes": str(self.notes),
            "minions": {f"m-{number}": POOL for number in range(minions)},
            "task_seconds": task_seconds,
            "restart_seed": restart_seed,
        }
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(description))
        command = [sys.executable, "-m", "standin.taskfleet", str(path)]
        return Process("fleet", command, self.folder)

    def start(self):
        """Start all processes and wait until every control replica is a voter."""
        for ip, process in self.process_by_ip.items():
            self.write_settings(ip, bootstrap=True)
            process.start()
        self.fleet.start()
        wait_for(lambda: len(self.voters()) == len(self.control_ips), what="voters")
        for ip in self.process_by_ip:
            self.write_settings(ip, bootstrap=False)

    def restart(self, ip):
        """Kill the process at an address if it runs, and start it again."""
        self.kill(ip)
        self.process_by_ip[ip].start()
        self.down.discard(ip)
        self.stopping.discard(ip)

    def kill(self, *ips):
        """Kill the processes at these addresses with SIGKILL, all at once."""
        self.note_ended()
        running = [self.process_by_ip[ip] for ip in ips if self.is_running(ip)]
        for process in running:
            process.signal(signal.SIGKILL)
        for process in running:
            process.popen.wait()
        self.down.update(ips)

    def ask_to_stop(self, ip):
        """Send SIGTERM to a process; `note_ended` checks its exit code later."""
        self.note_ended()
        self.stopping.add(ip)
        self.process_by_ip[ip].signal(signal.SIGTERM)

    def replace_control(self, ip):
        """Kill a control replica for good; start an empty one at another address.

        Returns the new address.
        """
        self.kill(ip)
        del self.process_by_ip[ip]
        fresh = self.ip(1, self.controls_made)
        self.controls_made += 1
        self.control_ips[self.control_ips.index(ip)] = fresh
        self.process_by_ip[fresh] = self.make_process(fresh)
        self.write_settings(fresh, bootstrap=False)
        self.process_by_ip[fresh].start()
        return fresh

    def is_running(self, ip):
        """Whether the process at an address is running."""
        return self.process_by_ip[ip].is_running()

    def note_ended(self):
        """Add to `ended` the processes that ended without being killed here.

        A process that was asked to stop may exit with code 0.
        """
        for ip, process in self.process_by_ip.items():
            if process.popen is None or ip in self.down or process.is_running():
                continue
            self.down.add(ip)
            code = process.popen.returncode
            # SIGTERM ends a process that has not yet installed its handler.
            if ip not in self.stopping or code not in (0, -signal.SIGTERM):
                self.ended.append((ip, code))

    def lose_disk(self, *ips):
        """Kill control replicas and remove their data folders."""
        self.kill(*ips)
        for ip in ips:
            shutil.rmtree(self.folder / ip, ignore_errors=True)
            shutil.rmtree(self.base(ip), ignore_errors=True)
            self.journal(ip).unlink(missing_ok=True)

    def lose_power(self, rng, *ips):
        """Kill control replicas and simulate a power loss on their disks.

        `rng` decides which unsynced changes survive.
        """
        self.kill(*ips)
        for ip in ips:
            powerdisk.lose_power(self.folder / ip, self.journal(ip), self.base(ip), rng)

    def journal(self, ip):
        """Return the path of the journal of a control replica's disk calls."""
        return self.folder / f"{ip}.journal"

    def base(self, ip):
        """Return the folder with the files that the last power loss left."""
        return self.folder / f"{ip}.base"

    def addresses(self, ips):
        """Return the `IP:port` of the processes at these addresses."""
        return [f"{ip}:{self.port}" for ip in ips]

    def status(self, ip):
        """Return the status of a control replica, or None if unavailable."""
        try:
            status, _, body = http_call(
                f"{ip}:{self.port}", "GET", "/status", timeout=1
            )
        except OSError:
            return None
        return json.loads(body) if status == 200 else None

    def leader(self):
        """Return the IP address of a replica that reports to be leader, or None."""
        for ip in self.control_ips:
            status = self.status(ip)
            if status and status["role"] == "leader":
                return ip
        return None

    def voters(self):
        """Return the identities of the voters that the leader reports."""
        leader = self.leader()
        status = leader and self.status(leader)
        if not status:
            return []
        return [one["identity"] for one in status["members"] if one["voter"]]

    def complete_group(self, lost=()):
        """Return the voters' identities by IP address, or None if incomplete.

        The group is complete when it has as many members as control replicas
        and all are voters.

        `lost`
            Identities of lost replicas, which must have been replaced.
        """
        leader = self.leader()
        status = leader and self.status(leader)
        members = status["members"] if status else []
        good = [one for one in members if one["voter"] and one["identity"] not in lost]
        if not len(good) == len(members) == len(self.control_ips):
            return None
        identity_by_ip = {
            one["address"].rpartition(":")[0]: one["identity"] for one in members
        }
        return identity_by_ip if len(identity_by_ip) == len(members) else None

    def put_config(self, version, queues=("/q/",)):
        """Send a configuration to a control replica; return the HTTP status."""
        body = config_body(version, queues, self.has_accounts)
        return self.call_any_control("PUT", "/-/config", body)[0]

    def call_any_control(self, method, path, body=None):
        """Call control replicas in turn until one answers below 500."""

        def call():
            for ip in self.control_ips:
                try:
                    result = http_call(
                        f"{ip}:{self.port}", method, path, body, timeout=2
                    )
                except OSError:
                    continue
                if result[0] < 500:
                    return result
            return None

        return wait_for(call, what=f"{method} {path}")

    def call(self, method, path, body=None, key=None):
        """Call the entries in turn until one answers below 500.

        `key`
            Key of a client account. Default: none is sent.
        """
        headers = {"Host": HOST} | ({KEY_HEADER: key} if key else {})

        def call():
            for ip in self.entry_ips:
                try:
                    result = http_call(
                        f"{ip}:{self.port}", method, path, body, headers, 4
                    )
                except OSError:
                    continue
                if result[0] < 500:
                    return result
            return None

        return wait_for(call, what=f"{method} {path}")

    def submit(self, job, *widths, key=None):
        """Submit a job with a chain of steps; return the HTTP status.

        `widths`
            Number of tasks of each step.
        `key`
            As in `call`.
        """
        steps = [
            {"count": width, "cpu": 500, "after": [at - 1] if at else []}
            for at, width in enumerate(widths)
        ]
        body = json.dumps({"spec": "text", "steps": steps})
        return self.call("POST", f"/q/{job}", body, key)[0]

    def state(self, job, key=None):
        """Return the state of a job."""
        return json.loads(self.call("GET", f"/q/{job}", None, key)[2])["state"]

    def events(self):
        """Return the events that the minions recorded.

        Each is a list: time, kind, minion, task, run.
        """
        if not self.notes.exists():
            return []
        return [json.loads(line) for line in self.notes.read_text().splitlines()]

    def count_starts(self, task):
        """Return how many runs of a task were started."""
        return sum(row[1] == "start" and row[3] == task for row in self.events())

    def doubled_tasks(self):
        """Return the tasks with two runs at once, or a run after a completed one.

        A completed run does not count if its minion crashed before it was told that
        the end is recorded.
        """
        open_runs = {}
        done = set()
        doubled = set()
        for _, what, minion, task, run in self.events():
            if what == "start":
                if open_runs.get(task) or task in done:
                    doubled.add(task)
                open_runs.setdefault(task, set()).add((minion, run))
                continue
            open_runs.get(task, set()).discard((minion, run))
            if what == "done":
                done.add(task)
            elif what == "forgotten":
                done.discard(task)
        return doubled
