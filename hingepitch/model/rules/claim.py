"""
hingepitch.model.rules.claim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules for the claims of requests that may not be repeated.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import replace

from hingepitch.model import command as commands
from hingepitch.model.record import Claim, ClaimState
from hingepitch.model.rule import Refusal, apply_command, require

__all__ = ["claim_key", "expire_claims"]

#: Retention of an answered claim, counted from its opening.
CLAIM_RETENTION_SECONDS = 24 * 3600

#: Above this number of claims, answered ones are kept only for the minimum
#: retention.
MAX_CLAIMS = 50_000
MIN_CLAIM_RETENTION_SECONDS = 3600

#: From this number of claims on, new ones are refused: claims younger than the
#: minimum retention must not be dropped to make space.
REFUSE_CLAIMS_ABOVE = 2 * MAX_CLAIMS

#: Time after the deadline of the service at which the outcome of an open claim
#: counts as unknown.
CLAIM_GRACE_SECONDS = 2


def claim_key(service_name, key):
    """Return the record key of a claim."""
    return f"{service_name}/{key}"


@apply_command.register
def _(command: commands.OpenClaim, state, envelope, index):
    service = require(state, "service", command.service)
    key = claim_key(command.service, command.key)
    claim = state.get("claim", key)
    if claim is None:
        if len(state.by_kind["claim"]) >= REFUSE_CLAIMS_ABOVE:
            raise Refusal("queue_full", "too many claims are kept")
        fresh = Claim(
            service=command.service,
            key=command.key,
            digest=command.digest,
            entry=command.entry,
            at_seconds=state.now_seconds,
        )
        return state.put("claim", key, fresh, index)
    if claim.digest != command.digest:
        raise Refusal("key_reused", "the key was used with another body")
    if claim.state is ClaimState.ANSWERED:
        raise Refusal("key_in_progress", "answered", claim)
    age_seconds = state.now_seconds - claim.at_seconds
    if age_seconds * 1000 > service.deadline_ms + CLAIM_GRACE_SECONDS * 1000:
        raise Refusal("key_unknown", f"claimed by {claim.entry}", claim)
    raise Refusal("key_in_progress", f"claimed by {claim.entry}", claim)


def require_open_claim(state, command):
    """Return `(key, claim)` of the open claim that `command` names; refuse if none."""
    key = claim_key(command.service, command.key)
    claim = state.get("claim", key)
    if claim is None or claim.version != command.claim_version:
        raise Refusal("unknown_object", f"no claim {key}")
    if claim.state is not ClaimState.OPEN:
        raise Refusal("key_in_progress", "answered already")
    return key, claim


@apply_command.register
def _(command: commands.CloseClaim, state, envelope, index):
    key, claim = require_open_claim(state, command)
    answered = replace(
        claim,
        state=ClaimState.ANSWERED,
        status=command.status,
        content_type=command.content_type,
        body=command.body,
    )
    return state.put("claim", key, answered, index)


@apply_command.register
def _(command: commands.ReleaseClaim, state, envelope, index):
    key, _ = require_open_claim(state, command)
    state.drop("claim", key, index)


def expire_claims(state, index):
    """Drop the answered claims whose retention has passed; keep open ones."""
    while state.claims_by_age:
        at_seconds, key, version = state.claims_by_age[0]
        age_seconds = state.now_seconds - at_seconds
        if age_seconds <= claim_retention_seconds(state):
            return
        state.claims_by_age.popleft()
        claim = state.get("claim", key)
        if claim is not None and claim.version == version:
            if claim.state is ClaimState.ANSWERED:
                state.drop("claim", key, index)


def claim_retention_seconds(state):
    """Return the retention of answered claims at the current number of claims."""
    if len(state.by_kind["claim"]) > MAX_CLAIMS:
        return MIN_CLAIM_RETENTION_SECONDS
    return CLAIM_RETENTION_SECONDS
