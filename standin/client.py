"""
standin.client
~~~~~~~~~~~~~~

Clients with persistent connections and failover, each calling in its own
thread.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import threading
import traceback
from http.client import HTTPConnection, HTTPException

__all__ = ["Client", "FailoverLink"]

#: Pause of a client after a call that was not served.
RETRY_PAUSE_SECONDS = 0.05


class FailoverLink:
    """Calls one of several interchangeable processes, with failover.

    A connection stays open until a call on it fails.

    `addresses`
        `IP:port` of the processes.
    `seconds`
        Timeout of a call.
    """

    def __init__(self, addresses, seconds):
        self.addresses = list(addresses)
        self.seconds = seconds
        self.connection_by_address = {}
        self.lock = threading.Lock()

    def call(self, method, path, body=None, headers=None):
        """Make a call; return `(status, body)`, or `(0, b"")` without an answer.

        After a status from 500 on, or no answer, the next call goes to the next
        address.
        """
        with self.lock:
            status, data = self.call_first(method, path, body, headers or {})
            if status == 0 or status >= 500:
                self.addresses.append(self.addresses.pop(0))
        return status, data

    def call_first(self, method, path, body, headers):
        """Call the process at the first address."""
        address = self.addresses[0]
        connection = self.connection_by_address.get(address)
        if connection is None:
            connection = HTTPConnection(address, timeout=self.seconds)
            self.connection_by_address[address] = connection
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, HTTPException):
            # Tests inject such failures: they are reported as status 0, not raised.
            self.connection_by_address.pop(address).close()
            return 0, b""

    def close(self):
        """Close all connections."""
        for connection in self.connection_by_address.values():
            connection.close()
        self.connection_by_address.clear()


class Client:
    """Calls `step()` repeatedly in its own thread.

    `addresses`
        `IP:port` of the processes to call.
    `record`
        The `Record` that collects the results of checks.
    `seconds`
        Timeout of a call.
    `pause_seconds`
        Pause between two steps.
    """

    def __init__(self, addresses, record, seconds, pause_seconds):
        self.link = FailoverLink(addresses, seconds)
        self.record = record
        self.pause_seconds = pause_seconds
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Start the thread."""
        self.thread.start()

    def run(self):
        """Make steps until stopped; a failure is recorded as a failed check."""
        try:
            pause = self.pause_seconds
            while not self.stopping.wait(pause):
                is_served = self.step()
                pause = self.pause_seconds if is_served else RETRY_PAUSE_SECONDS
        except Exception:
            # A client that failed checks nothing more, so the run must not pass.
            self.record.check("clients work", False, traceback.format_exc())

    def step(self):
        """Make one call and check the answer; return whether it was served."""
        raise NotImplementedError

    def stop(self):
        """Stop the thread and close the connections."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join()
        self.link.close()
