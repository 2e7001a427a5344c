"""An entry, as a process of its own, while it loads its parts.

Guards against a program that opens the callers' socket only after its imports, which
take most of its start, or that cannot be stopped during them. The import of one module
waits for the test, so that none of this depends on how fast the machine is.
"""

import os
import socket
import sys

import pytest
import yaml

from adapter.early import SETTINGS_VARIABLE
from standin.cluster import Process, free_ports, wait_for

IP = "127.0.0.1"
SECONDS = 20
REQUEST = b"GET /q/65b1674dcd4bbe80 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

#: Loaded by Python at its start; blocks the import of one module until the test opens
#: the pipe.
GATE = """
import sys

class Gate:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            open({reached!r}, "w").close()
            open({pipe!r}).close()

sys.meta_path.insert(0, Gate())
"""


class StartingEntry:
    """Process of an entry that waits before it imports `module`."""

    def __init__(self, folder, module):
        self.pipe = str(folder / "gate")
        os.mkfifo(self.pipe)
        self.reached = folder / "reached"
        gate = GATE.format(module=module, pipe=self.pipe, reached=str(self.reached))
        (folder / "sitecustomize.py").write_text(gate)
        self.port, readiness, metrics, rpc = free_ports(4)
        settings = {
            "node": "entry-1",
            "ip": IP,
            "zone": "a",
            "listen": {"front": f"{IP}:{self.port}", "readiness": f"{IP}:{readiness}"},
            "metrics_port": metrics,
            "port_range": [rpc, rpc],
            "seeds": [f"{IP}:{rpc}"],
        }
        path = folder / "settings.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.process = Process(
            "entry",
            [sys.executable, "platform/main.py", "entry"],
            folder,
            {SETTINGS_VARIABLE: str(path), "PYTHONPATH": str(folder)},
        )
        self.process.start()

    def connect(self):
        """Return a connection to the entry, or None if it does not listen."""
        try:
            return socket.create_connection((IP, self.port), SECONDS)
        except ConnectionRefusedError:
            return None

    def open_gate(self):
        """Let the process import the module once it has come to it."""
        with open(self.pipe, "w"):
            pass


@pytest.fixture
def start_entry(tmp_path):
    entries = []

    def start(module):
        entries.append(StartingEntry(tmp_path, module))
        return entries[-1]

    yield start
    for entry in entries:
        if entry.process.is_running():
            entry.process.kill()


# Guards against a program that no longer listens early, or only after the imports, and
# against callers that connected early and get no answer.
def test_an_entry_takes_connections_before_it_loads_its_parts(start_entry):
    entry = start_entry("gevent")
    with wait_for(entry.connect, SECONDS, "the address") as caller:
        assert "event=started" not in entry.process.log()
        entry.open_gate()
        caller.sendall(REQUEST)
        assert caller.recv(100).startswith(b"HTTP/1.1 503")
    wait_for(lambda: "event=started" in entry.process.log(), SECONDS, "the start")


# Guards against an entry that is killed at the end of its grace period, or reported as
# failed, because it was told to stop while it started; and against a socket that
# outlives it.
@pytest.mark.parametrize("module", ["gevent", "adapter.entry"])
def test_an_entry_that_is_stopped_while_it_starts_ends_in_order(start_entry, module):
    entry = start_entry(module)
    wait_for(entry.reached.exists, SECONDS, module)
    entry.connect().close()
    assert entry.process.stop() == 0
    assert entry.connect() is None
    assert "event=started" not in entry.process.log()
