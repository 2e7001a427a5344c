"""
soak.link
~~~~~~~~~

A client's connections, kept open until the process at their other end is gone.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import threading
from http.client import HTTPConnection, HTTPException

__all__ = ["Link"]


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
