"""
standin.client
~~~~~~~~~~~~~~

Clients that keep their connections open until the process at their other end
is gone, and call in a thread of their own.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import threading
import traceback
from http.client import HTTPConnection, HTTPException

__all__ = ["Client", "Link"]

#: Pause after a call that was not served.
UNSERVED_SECONDS = 0.05


class Link:
    """Calls processes that can stand for each other, the last good one first.

    `addresses`
        Where they take calls.
    `seconds`
        Longest wait for an answer.
    """

    def __init__(self, addresses, seconds):
        self.addresses = list(addresses)
        self.seconds = seconds
        self.connection_by_address = {}
        self.lock = threading.Lock()

    def call(self, method, path, body=None, headers=None):
        """Return `(status, body)`, or `(0, b"")` where no answer came.

        After an answer from 500 on, or none, the next call goes elsewhere.
        """
        with self.lock:
            status, data = self.call_first(method, path, body, headers or {})
            if status == 0 or status >= 500:
                self.addresses.append(self.addresses.pop(0))
        return status, data

    def call_first(self, method, path, body, headers):
        """Call the first address."""
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
            # Faults are what this is for: the caller is told that none came.
            self.connection_by_address.pop(address).close()
            return 0, b""

    def close(self):
        """Close all connections."""
        for connection in self.connection_by_address.values():
            connection.close()
        self.connection_by_address.clear()


class Client:
    """Calls `step()` again and again in a thread of its own.

    `addresses`
        Of the processes it calls.
    `record`
        The `Record` of the run.
    `seconds`
        Longest wait for an answer.
    `pause_seconds`
        Between two steps.
    """

    def __init__(self, addresses, record, seconds, pause_seconds):
        self.link = Link(addresses, seconds)
        self.record = record
        self.pause_seconds = pause_seconds
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Begin to call."""
        self.thread.start()

    def run(self):
        """Call until stopped."""
        try:
            pause = self.pause_seconds
            while not self.stopping.wait(pause):
                is_served = self.step()
                pause = self.pause_seconds if is_served else UNSERVED_SECONDS
        except Exception:
            # A client that is gone checks nothing: the run must not pass.
            self.record.check("clients work", False, traceback.format_exc())

    def step(self):
        """Make one call, check what it tells; return whether it was served."""
        raise NotImplementedError

    def stop(self):
        """Stop calling, and close the connections."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join()
        self.link.close()
