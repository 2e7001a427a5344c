"""
hingepitch.commandclient
~~~~~~~~~~~~~~~~~~~~~~~~

Client that also proposes commands for the log. Apart from the client of the control
group, since programs that propose none start sooner without the commands' types.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.group import RETRY_PAUSE_SECONDS, GroupClient
from hingepitch.model.codec import decode_outcome, encode_envelope

__all__ = ["CommandClient"]


class CommandClient(GroupClient):
    """A `GroupClient` that proposes commands for the log."""

    def propose(self, envelope, seconds=10.0):
        """Propose a command for the log; return its `Outcome`.

        Retries for up to `seconds`. A command with an id is also resent after
        errors that leave its outcome unknown; one without an id only after
        errors that show that it did not reach the log.
        """
        deadline = lease_seconds() + seconds
        while True:
            try:
                return decode_outcome(
                    self.call_once("propose", encode_envelope(envelope))
                )
            except HingepitchError as error:
                if not may_resend(envelope, error) or lease_seconds() > deadline:
                    raise
            gevent.sleep(RETRY_PAUSE_SECONDS)


def may_resend(envelope, error):
    """Whether a command may be sent again after `error`."""
    if error.code in ("not_leader", "no_leader", "peer_unreachable"):
        return True
    unknown = error.code in ("peer_failed", "lost_leadership", "storage_failed")
    return unknown and bool(envelope.command_id)
