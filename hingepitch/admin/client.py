"""
hingepitch.admin.client
~~~~~~~~~~~~~~~~~~~~~~~

Client of the operators' API; it tries each replica and resends commands under
the same id.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import time
import uuid

from hingepitch import group
from hingepitch.clock import lease_seconds
from hingepitch.error import ERROR_BY_CODE, HingepitchError
from hingepitch.jsoncall import call_json
from hingepitch.setting import Address, Settings

__all__ = ["AdminClient", "AdminSettings"]

#: Timeout of a call to one replica, in seconds: a replica that hangs delays the
#: operator by this time.
TIMEOUT_SECONDS = 6.0
RETRY_PAUSE_SECONDS = 0.2
LONG_POLL_SECONDS = 3.0
MAX_RETRY_SECONDS = 30.0

#: Codes after which the client tries the next replica, with the same command id.
TRANSIENT_CODES = group.TRANSIENT_CODES | {"queue_full"}


class AdminSettings(Settings):
    """Settings of `hingepitch-admin`.

    `control`
        `IP:port` of the HTTP servers of the control replicas.
    `token`
        The operator's token.
    """

    control: list[Address]
    token: str


class AdminClient:
    """Calls the operators' API of the control group.

    `settings`
        An `AdminSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.preferred = 0

    def call_replica(self, address, method, path, body=None):
        """Return the JSON answer of one replica; raise `HingepitchError`."""
        headers = {"Authorization": f"Bearer {self.settings.token}"}
        status, answer = call_json(
            address, method, path, body, headers, TIMEOUT_SECONDS
        )
        if status >= 300:
            raise to_error(answer)
        return answer

    def call(self, method, path, body=None):
        """Return the answer of the first replica that can give one.

        Tries the replicas in turn for up to `MAX_RETRY_SECONDS`. A command may be
        sent several times; its id ensures that it is applied once.
        """
        deadline = lease_seconds() + MAX_RETRY_SECONDS
        while True:
            addresses = self.settings.control
            address = addresses[self.preferred % len(addresses)]
            try:
                return self.call_replica(address, method, path, body)
            except HingepitchError as error:
                if error.code not in TRANSIENT_CODES or lease_seconds() > deadline:
                    raise
            self.preferred += 1
            time.sleep(RETRY_PAUSE_SECONDS)

    def command(self, base_version=-1, **fields):
        """Send a command under a new id; return its outcome."""
        body = {"id": uuid.uuid4().hex, "base_version": base_version, **fields}
        return self.call("POST", "/v1/commands", body)

    def wait_in_force(self, version, seconds=10.0):
        """Wait until `version` is in force everywhere; return whether it is."""
        deadline = lease_seconds() + seconds
        while (left := deadline - lease_seconds()) > 0:
            wait_ms = int(min(left, LONG_POLL_SECONDS) * 1000)
            path = f"/v1/in-force/{version}?wait_ms={wait_ms}"
            if self.call("GET", path)["in_force"]:
                return True
        return False


def to_error(answer):
    """Return the exception for the problem details of an answer."""
    code = answer.get("code", "internal")
    known = code if code in ERROR_BY_CODE else "internal"
    return HingepitchError(known, answer.get("detail", ""))
