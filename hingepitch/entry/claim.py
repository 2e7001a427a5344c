"""
hingepitch.entry.claim
~~~~~~~~~~~~~~~~~~~~~~

Claims of requests that may not be repeated.

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

__all__ = ["Claimer", "digest_of"]

#: Answers up to this size are recorded, to be given to a resend.
MAX_RECORDED_BYTES = 65_536

BACKGROUND_SECONDS = 30.0
RETRY_AFTER_MS = 1000
LONG_RETRY_AFTER_MS = 60_000


def digest_of(request):
    """Return what must be the same in a request resent with its key."""
    parts = [request.method.encode(), request.target.encode(), request.body]
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


class Claimer:
    """Claims requests in the log of the control group.

    `group`
        A `GroupClient`.
    `name`
        Of this entry.
    """

    def __init__(self, group, name):
        self.group = group
        self.name = name

    def propose(self, command, command_id, seconds):
        """Put a command into the log; resent until there is an answer."""
        envelope = Envelope(Role.ENTRY, "", self.name, command, command_id)
        return self.group.propose(envelope, seconds)

    def open(self, request):
        """Claim `request`; return the claim, an `Answer` or a `Failure`.

        The answer is the recorded one, if the request was answered before.
        """
        command = OpenClaim(request.service, request.key, digest_of(request), self.name)
        command_id = f"claim-{uuid.uuid4().hex}"
        seconds = request.deadline - lease_seconds()
        try:
            outcome = self.propose(command, command_id, seconds)
        except HingepitchError as error:
            gevent.spawn(self.take_back, command, command_id)
            return Failure(
                "no_leader",
                Execution.NOT_RUN,
                f"no claim: {error.code}",
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
        """Return the answer that was recorded for a claim."""
        if claim.body is None:
            return Failure(
                "key_unknown", Execution.UNKNOWN, "it ran; the answer is not kept"
            )
        headers = [("Hingepitch-Replayed", "true")]
        if claim.content_type:
            headers.append(("Content-Type", claim.content_type))
        return Answer(claim.status, headers, claim.body)

    def take_back(self, command, command_id):
        """Release a claim whose opening got no answer: nothing was sent."""
        try:
            outcome = self.propose(command, command_id, BACKGROUND_SECONDS)
            if outcome.accepted:
                self.release(outcome.claim)
        except HingepitchError as error:
            log_event("claim_left_open", key=command.key, error=error.code)

    def close(self, claim, answer, seconds):
        """Record the answer; go on in the background if that takes long."""
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
        worker = gevent.spawn(self.finish, command)
        worker.join(timeout=max(0.0, seconds))

    def release(self, claim):
        """Give a claim back: no byte of the request left this entry."""
        self.finish(ReleaseClaim(claim.service, claim.key, claim.version))

    def finish(self, command):
        """Put the end of a claim into the log, trying for a while."""
        command_id = f"claim-{uuid.uuid4().hex}"
        try:
            self.propose(command, command_id, BACKGROUND_SECONDS)
        except HingepitchError as error:
            log_event("claim_left_open", key=command.key, error=error.code)
