"""
hingepitch.entry.claim
~~~~~~~~~~~~~~~~~~~~~~

Claims: idempotency records of requests that are not repeatable.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hashlib
import uuid

import gevent

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.log import log_event
from hingepitch.model.command import CloseClaim, Envelope, OpenClaim, ReleaseClaim, Role
from hingepitch.model.record import ClaimState
from hingepitch.request import Answer, Execution, Failure

__all__ = ["Claimer", "compute_digest"]

#: Largest answer body that is recorded to be replayed to a resent request.
MAX_RECORDED_BYTES = 65_536

#: How long commands for a claim are retried in the background, in seconds.
BACKGROUND_RETRY_SECONDS = 30.0

RETRY_AFTER_MS = 1000
LONG_RETRY_AFTER_MS = 60_000


def compute_digest(request):
    """Return the digest that must match when a key is used again."""
    parts = [request.method.encode(), request.target.encode(), request.body]
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


class Claimer:
    """Opens and closes claims in the replicated log of the control group.

    `group`
        A `CommandClient`.
    `name`
        Name of this entry.
    """

    def __init__(self, group, name):
        self.group = group
        self.name = name

    def propose(self, command, command_id, seconds):
        """Propose a command; resend it for `seconds` until it is answered."""
        envelope = Envelope(Role.ENTRY, "", self.name, command, command_id)
        return self.group.propose(envelope, seconds)

    def open(self, request):
        """Claim `request`; return the claim, an `Answer` or a `Failure`.

        An `Answer` is the one recorded when the request was first answered.
        """
        command = OpenClaim(
            request.service, request.key, compute_digest(request), self.name
        )
        command_id = f"claim-{uuid.uuid4().hex}"
        seconds = request.deadline - lease_seconds()
        try:
            outcome = self.propose(command, command_id, seconds)
        except HingepitchError as error:
            gevent.spawn(self.release_unconfirmed, command, command_id)
            return Failure(
                "no_leader",
                Execution.NOT_RUN,
                f"the claim could not be opened: {error.code}",
                RETRY_AFTER_MS,
            )
        if outcome.accepted:
            return outcome.claim
        if outcome.claim and outcome.claim.state is ClaimState.ANSWERED:
            return self.recorded_answer(outcome.claim)
        if outcome.code == "key_in_progress":
            run, retry = Execution.UNKNOWN, RETRY_AFTER_MS
        elif outcome.code == "queue_full":
            run, retry = Execution.NOT_RUN, LONG_RETRY_AFTER_MS
        else:
            run, retry = Execution.UNKNOWN, None
        return Failure(outcome.code, run, outcome.detail, retry)

    def recorded_answer(self, claim):
        """Return the recorded `Answer` of a claim, or a `Failure` without one."""
        if claim.body is None:
            return Failure(
                "key_unknown",
                Execution.UNKNOWN,
                "the request ran, but its answer was not recorded",
            )
        headers = [("Hingepitch-Replayed", "true")]
        if claim.content_type:
            headers.append(("Content-Type", claim.content_type))
        return Answer(claim.status, headers, claim.body)

    def release_unconfirmed(self, command, command_id):
        """Release a claim whose opening has an unknown outcome.

        The request was not sent to a minion.
        """
        try:
            outcome = self.propose(command, command_id, BACKGROUND_RETRY_SECONDS)
            if outcome.accepted:
                self.release(outcome.claim)
        except HingepitchError as error:
            log_event("claim_left_open", key=command.key, error=error.code)

    def close(self, claim, answer, seconds):
        """Record the answer of a claimed request.

        After `seconds`, the method returns and the recording continues in the
        background.
        """
        recorded = answer.body if len(answer.body) <= MAX_RECORDED_BYTES else None
        content_types = [
            value for name, value in answer.headers if name.lower() == "content-type"
        ]
        command = CloseClaim(
            claim.service,
            claim.key,
            claim.version,
            answer.status,
            content_types[0] if content_types else "",
            recorded,
        )
        worker = gevent.spawn(self.record_end, command)
        worker.join(timeout=max(0.0, seconds))

    def release(self, claim):
        """Release a claim of a request of which no byte was sent."""
        self.record_end(ReleaseClaim(claim.service, claim.key, claim.version))

    def record_end(self, command):
        """Propose the end of a claim, with retries for `BACKGROUND_RETRY_SECONDS`."""
        command_id = f"claim-{uuid.uuid4().hex}"
        try:
            self.propose(command, command_id, BACKGROUND_RETRY_SECONDS)
        except HingepitchError as error:
            log_event("claim_left_open", key=command.key, error=error.code)
