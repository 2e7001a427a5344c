"""
soak.operator
~~~~~~~~~~~~~

Clients that act as the operator: write configurations rapidly and read them back.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import json
import threading

from standin.client import Client
from standin.site import config_body

__all__ = ["ConfigReader", "ConfigWriter"]

CALL_SECONDS = 2.0
CONFIG_PATH = "/-/config"

#: Path prefix of the queue that every configuration has.
QUEUE = "/q/"

#: Limit of the routes in a large configuration, which takes tens of kilobytes.
MAX_ROUTES = 300

#: A configuration whose version is divisible by this number is a large one.
LARGE_EVERY = 7


class ConfigWriter(Client):
    """Sends configurations with increasing versions.

    `has_accounts`
        Whether they have client accounts.
    `sent`, `acked`
        The newest version that was sent and that was acknowledged.
    """

    def __init__(self, addresses, record, rng, has_accounts=False, pause_seconds=0.0):
        super().__init__(addresses, record, CALL_SECONDS, pause_seconds)
        self.rng = rng
        self.has_accounts = has_accounts
        self.sent = 0
        self.acked = 0
        self.ack_count = 0
        self.sending = threading.Lock()

    def step(self):
        """Send the next version once; return whether it was acknowledged."""
        with self.sending:
            self.sent += 1
            body = config_body(self.sent, self.queues(), self.has_accounts)
            status, data = self.link.call("PUT", CONFIG_PATH, body)
            if status == 200:
                self.acked = self.sent
                self.ack_count += 1
            is_expected = status in (0, 200) or status >= 500
            detail = f"{self.sent} was answered with {status}: {data[:200]}"
            self.record.check(
                "valid configurations are not refused", is_expected, detail
            )
        return status == 200

    def queues(self):
        """Return the path prefixes of the next version; a large one has many."""
        count = 1
        if self.sent % LARGE_EVERY == 0:
            count = min(MAX_ROUTES, 20 + self.sent) - self.rng.randrange(20)
        return [QUEUE, *(f"/queue-{at:04}/{self.sent:08}/" for at in range(1, count))]


class ConfigReader(Client):
    """Reads the current configuration repeatedly."""

    def __init__(self, addresses, record, writer, pause_seconds=0.05):
        super().__init__(addresses, record, CALL_SECONDS, pause_seconds)
        self.writer = writer

    def step(self):
        """Read and check the configuration; return whether the read succeeded."""
        acked = self.writer.acked
        status, data = self.link.call("GET", CONFIG_PATH)
        if status != 200:
            self.record.check(
                "configuration is known", status != 404, f"{status}: {data[:200]}"
            )
            return False
        version = json.loads(data)["version"]
        self.record.check(
            "acknowledged configuration is not lost nor shown older",
            acked <= version <= self.writer.sent,
            f"{acked} was acknowledged, {self.writer.sent} sent, {version} shown",
        )
        return True
