"""
standin.cluster
~~~~~~~~~~~~~~~

Starts a complete system on this machine: separate processes with their own
temporary folder. Ends only the processes that it started.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hashlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from http.client import HTTPConnection
from pathlib import Path

import yaml

from hingepitch.admin.client import AdminClient, AdminSettings
from standin.relay import Relay

SHARED_KEY = "a-key-for-this-machine-only"
FIRST_PORT = 10_000
PORT_RANGE = 20_000
START_SECONDS = 20.0
STOP_SECONDS = 15.0
TOKEN_BY_PARTNER = {"prescriptions": "token-of-amal", "journeys": "token-of-joris"}
OPERATOR_BY_PARTNER = {"prescriptions": "amal", "journeys": "joris"}
BIN = Path(sys.executable).parent
ROOT = Path(__file__).resolve().parent.parent


def free_ports(count):
    """Return `count` TCP ports that are free now.

    They lie below the range of ephemeral ports, so that no outgoing connection
    takes one. Raises `OSError` if there are too few.
    """
    first = FIRST_PORT + os.getpid() * 97 % PORT_RANGE
    found = []
    for number in range(PORT_RANGE):
        port = FIRST_PORT + (first + number) % PORT_RANGE
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("too few free ports on 127.0.0.1")


def http_call(address, method, path, body=None, headers=None, timeout=10.0):
    """Make one HTTP call to `address`, `IP:port`; return `(status, headers, body)`.

    `timeout` is in seconds.
    """
    connection = HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(condition, seconds=START_SECONDS, what="the condition"):
    """Wait until `condition()` is true and return its value.

    Raises `TimeoutError` after `seconds`; `what` names the condition.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what}: timed out after {seconds} s")
        time.sleep(0.02)


class Process:
    """A child process that appends its output to a log file in `folder`."""

    def __init__(self, name, command, folder, env=None):
        self.name = name
        self.command = command
        self.env = {**os.environ, **(env or {})}
        self.log_path = folder / f"{name}.log"
        self.popen = None

    def start(self):
        """Start the process; its output is appended to the log."""
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, cwd=ROOT, env=self.env
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process with SIGKILL and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def stop(self):
        """Send SIGTERM and wait for the end; return the exit code."""
        self.popen.terminate()
        return self.popen.wait(STOP_SECONDS)

    def is_running(self):
        """Whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def log(self):
        """Return the text of the log."""
        return self.log_path.read_text(errors="replace")


class Cluster:
    """Control replicas, entries, planners and the simulated platform.

    `replicas`, `entries`, `planners`
        Number of each. Defaults: 3, 2, 1.
    `vms`
        Number of VMs of each partner, four to a rack, over four halls.
        Default: 8.
    `lease_seconds`
        Duration of an entry's lease. Default: 2.
    `reboot_seconds`
        How long the reboot of a VM takes. Default: 0.3.
    `lag_seconds`
        Age of the platform's list of VMs. Default: 0.2.
    `with_relays`
        Whether every call to a replica passes a relay that can simulate a
        network partition. Default: False.
    """

    def __init__(
        self,
        replicas=3,
        entries=2,
        planners=1,
        vms=8,
        lease_seconds=2.0,
        reboot_seconds=0.3,
        lag_seconds=0.2,
        with_relays=False,
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="hingepitch-"))
        self.lease_seconds = lease_seconds
        self.reboot_seconds = reboot_seconds
        self.lag_seconds = lag_seconds
        self.process_by_name = {}
        ports = iter(free_ports(replicas * 2 + entries + planners + 3))
        self.replica_names = [f"c{n}" for n in range(1, replicas + 1)]
        self.entry_names = [f"e{n}" for n in range(1, entries + 1)]
        self.planner_names = [f"p{n}" for n in range(1, planners + 1)]
        names = self.replica_names + self.entry_names + self.planner_names
        self.http_by_name = {name: f"127.0.0.1:{next(ports)}" for name in names}
        self.rpc_by_name = {
            name: f"127.0.0.1:{next(ports)}" for name in self.replica_names
        }
        self.relay_by_pair = {}
        if with_relays:
            self.make_relays(names)
        self.platform = f"127.0.0.1:{next(ports)}"
        self.service_ports = {"prescriptions": next(ports), "journeys": next(ports)}
        self.vm_documents = list(self.make_vms(vms))

    def make_relays(self, names):
        """Start a relay from every process to every other replica."""
        for sender in names:
            for receiver in self.replica_names:
                if sender != receiver:
                    relay = Relay(self.rpc_by_name[receiver])
                    self.relay_by_pair[sender, receiver] = relay

    def rpc_address(self, sender, receiver):
        """Return the address at which `sender` reaches a replica."""
        relay = self.relay_by_pair.get((sender, receiver))
        return relay.address if relay else self.rpc_by_name[receiver]

    def control_addresses(self, sender):
        """Return the addresses of all replicas for `sender`."""
        return [self.rpc_address(sender, name) for name in self.replica_names]

    def relays_of(self, name):
        """Return the relays that carry connections from or to a process."""
        return [relay for pair, relay in self.relay_by_pair.items() if name in pair]

    def cut_off(self, name):
        """Partition a process from all replicas; connections stay open."""
        for relay in self.relays_of(name):
            relay.cut()

    def reconnect(self, name):
        """End the partition of a process."""
        for relay in self.relays_of(name):
            relay.heal()

    def make_vms(self, count):
        """Yield the VM objects of both partners."""
        unique = os.getpid() % 200 + 20
        for at, partner in enumerate(TOKEN_BY_PARTNER):
            for number in range(count):
                yield {
                    "kind": "vm",
                    "name": f"{partner[0]}{number + 1}",
                    "pool": f"{partner}-pool",
                    "hall": f"hall-{number % 4 + 1}",
                    "rack": f"{partner[0]}-rack-{number // 4 + 1}",
                    "ip": f"127.{unique}.{at + 1}.{number + 1}",
                    "labels": {"tier": "small", "color": "blue"},
                    "cores": 16,
                    "memory_gb": 32,
                }

    def partner_of(self, vm):
        """Return the partner of a VM object."""
        return vm["pool"].removesuffix("-pool")

    def declarations(self):
        """Return the objects of both partners as `(partner, object)` pairs."""
        objects = []
        for partner in TOKEN_BY_PARTNER:
            objects.append((partner, {"kind": "pool", "name": f"{partner}-pool"}))
            team = {"kind": "team", "name": f"{partner}-team", "quota_cores": 64}
            objects.append((partner, team))
        for vm in self.vm_documents:
            objects.append((self.partner_of(vm), vm))
        objects += self.services()
        return objects

    def services(self):
        """Return the services of both partners as `(partner, object)` pairs."""
        prescriptions_port = self.service_ports["prescriptions"]
        journeys_port = self.service_ports["journeys"]
        base = {"kind": "service", "selector": "tier=small", "max_down": 1}
        return [
            (
                "prescriptions",
                {
                    **base,
                    "name": "eligibility",
                    "pool": "prescriptions-pool",
                    "port": prescriptions_port,
                },
            ),
            (
                "prescriptions",
                {
                    **base,
                    "name": "refill",
                    "pool": "prescriptions-pool",
                    "port": prescriptions_port,
                    "repeatable": False,
                },
            ),
            (
                "journeys",
                {
                    **base,
                    "name": "route",
                    "pool": "journeys-pool",
                    "port": journeys_port,
                    "max_down": 2,
                },
            ),
        ]

    def write_settings(self, name, settings):
        """Write the settings file of a process; return its path."""
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def common_settings(self, name):
        """Return the settings that all daemons have in common."""
        return {
            "name": name,
            "hall": f"hall-{(int(name[1:]) - 1) % 4 + 1}",
            "http_address": self.http_by_name[name],
            "shared_key": SHARED_KEY,
        }

    def control_settings(self, name):
        """Return the settings of a control replica."""
        return {
            **self.common_settings(name),
            "rpc_address": self.rpc_by_name[name],
            "data_folder": str(self.folder / f"data-{name}"),
            "lease_seconds": self.lease_seconds,
            "peers": [
                {
                    "name": peer,
                    "address": self.rpc_address(name, peer),
                    "hall": f"hall-{(int(peer[1:]) - 1) % 4 + 1}",
                }
                for peer in self.replica_names
            ],
            "operators": [
                {
                    "name": OPERATOR_BY_PARTNER[partner],
                    "partner": partner,
                    "token_sha256": hashlib.sha256(token.encode()).hexdigest(),
                }
                for partner, token in TOKEN_BY_PARTNER.items()
            ],
        }

    def make_processes(self):
        """Write all settings files and create the processes, not yet started."""
        for name in self.replica_names:
            self.add("control", name, self.control_settings(name))
        for name in self.entry_names:
            settings = {**self.common_settings(name), "drain_seconds": 0.2}
            settings["control"] = self.control_addresses(name)
            self.add("entry", name, settings)
        for name in self.planner_names:
            settings = self.common_settings(name)
            settings["control"] = self.control_addresses(name)
            settings |= {"platform": self.platform, "lease_seconds": 2}
            settings |= {"pass_seconds": 0.05, "lost_after_seconds": 0.5}
            settings |= {"platform_seconds": 0.05, "full_pass_seconds": 1.0}
            self.add("planner", name, settings)
        self.add_simulation()

    def add(self, program, name, settings):
        """Create the process `name` that runs `hingepitch-PROGRAM`."""
        path = self.write_settings(name, settings)
        command = [str(BIN / f"hingepitch-{program}"), "--settings", str(path)]
        self.process_by_name[name] = Process(name, command, self.folder)

    def add_simulation(self):
        """Create the process that simulates the platform and the minions."""
        document = {
            "address": self.platform,
            "lag_seconds": self.lag_seconds,
            "reboot_seconds": self.reboot_seconds,
            "vms": [
                {
                    "name": vm["name"],
                    "ip": vm["ip"],
                    "group": self.partner_of(vm),
                    "ports": [self.service_ports[self.partner_of(vm)]],
                }
                for vm in self.vm_documents
            ],
        }
        path = self.folder / "world.json"
        path.write_text(json.dumps(document))
        command = [sys.executable, "-m", "standin.simulation", str(path)]
        self.process_by_name["world"] = Process("world", command, self.folder)

    def start(self, with_declarations=True):
        """Start all processes and wait until the entries can serve requests.

        Without declarations, wait only for a leader.
        """
        self.make_processes()
        initializers = [
            subprocess.Popen(
                [*self.process_by_name[name].command, "--init"],
                stdout=subprocess.DEVNULL,
                cwd=ROOT,
            )
            for name in self.replica_names
        ]
        if any(popen.wait() for popen in initializers):
            raise RuntimeError("hingepitch-control --init failed for a data folder")
        for process in self.process_by_name.values():
            process.start()
        self.wait_leader()
        if with_declarations:
            for partner, document in self.declarations():
                self.put(partner, document)
            self.wait_entries()

    def wait_leader(self, seconds=START_SECONDS):
        """Wait until a replica is leader; return its name."""
        return wait_for(self.leader, seconds, "a leader")

    def leader(self):
        """Return the name of the leader with the highest term, or None."""
        statuses = [self.status(name) for name in self.replica_names]
        leaders = [
            (status["term"], status["name"])
            for status in statuses
            if status and status["role"] == "leader"
        ]
        return max(leaders)[1] if leaders else None

    def wait_entries(self):
        """Wait until every entry has a lease and the leader's routing version."""
        leader = self.status(self.wait_leader())
        version = leader["routing_version"]
        for name in self.entry_names:
            wait_for(
                lambda name=name: self.has_reached_version(name, version),
                what=f"{name} at {version}",
            )

    def has_reached_version(self, entry, version):
        """Whether an entry has a lease and has applied `version`."""
        status = self.status(entry)
        return status and status["has_lease"] and status["version"] >= version

    def status(self, name):
        """Return the status of a daemon, or None if it does not answer."""
        if not self.process_by_name[name].is_running():
            return None
        try:
            return json.loads(
                http_call(self.http_by_name[name], "GET", "/status", timeout=1.0)[2]
            )
        except (OSError, ValueError):
            return None

    def close(self):
        """Kill the processes of this cluster and remove its folder."""
        for process in self.process_by_name.values():
            if process.is_running():
                process.signal(signal.SIGCONT)
                process.kill()
        for relay in self.relay_by_pair.values():
            relay.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.close()

    def admin_settings(self, partner):
        """Write the settings file of a partner's operator; return its path."""
        settings = {
            "control": [self.http_by_name[name] for name in self.replica_names],
            "token": TOKEN_BY_PARTNER[partner],
        }
        return self.write_settings(f"admin-{partner}", settings)

    def admin(self, partner, *arguments):
        """Run `hingepitch-admin` for a partner; return the `CompletedProcess`."""
        command = [str(BIN / "hingepitch-admin"), *arguments]
        command += ["--settings", str(self.admin_settings(partner))]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def client(self, partner):
        """Return an `AdminClient` with the token of a partner's operator."""
        return AdminClient(
            AdminSettings(
                control=[self.http_by_name[name] for name in self.replica_names],
                token=TOKEN_BY_PARTNER[partner],
            )
        )

    def put(self, partner, document):
        """Declare an object; return the outcome."""
        return self.client(partner).command(put=document)

    def objects(self, kind, partner="prescriptions"):
        """Return all objects of a kind by name."""
        rows = self.client(partner).call("GET", f"/v1/objects/{kind}")
        return {row.get("name", row.get("vm", row.get("key"))): row for row in rows}

    def request(self, entry, service, name, body=b"", key="", method=None, **headers):
        """Send a request through an entry; return `(status, headers, body)`."""
        sent = {"Request-Name": name, **headers}
        if key:
            sent["Idempotency-Key"] = key
        method = method or ("POST" if body else "GET")
        address = self.http_by_name[entry]
        return http_call(address, method, f"/s/{service}/x", body, sent)

    def call_simulation(self, path, body=None):
        """Call the simulated platform's API; return the decoded answer."""
        method = "GET" if body is None else "POST"
        data = None if body is None else json.dumps(body)
        headers = {"Content-Type": "application/json"}
        answer = http_call(self.platform, method, path, data, headers)
        return json.loads(answer[2])

    def counts(self):
        """Return the counters of the simulated platform."""
        return self.call_simulation("/counts")
