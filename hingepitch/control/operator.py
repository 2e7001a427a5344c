"""
hingepitch.control.operator
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The operators' HTTP API of a control replica.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hmac
import json

from pydantic import ValidationError

from hingepitch.clock import lease_seconds
from hingepitch.control.hallapi import HallResource
from hingepitch.error import HingepitchError
from hingepitch.httpd import make_api
from hingepitch.jobs.explain import QUEUED_JOB, account_rows, explain_queued_job
from hingepitch.model import explain
from hingepitch.model.codec import to_plain
from hingepitch.model.command import CancelJobs, Delete, Envelope, Role
from hingepitch.model.record import RECORD_BY_KIND
from hingepitch.model.validation import parse_object
from hingepitch.setting import Name, Settings, format_validation_errors, hash_token

__all__ = ["Authenticator", "CommandForm", "OperatorApi"]

MAX_BODY_BYTES = 1_000_000
#: Longest long poll; below the timeout of the operators' client.
MAX_WAIT_SECONDS = 4.0
PROPOSE_SECONDS = 4.0
AUDIT_ROWS = 1000


class CommandForm(Settings):
    """The request body of a command.

    `id`
        Idempotency key: a command sent again with the same id takes effect once.
    `put`, `delete`, `cancel`
        The change; exactly one must be given. `put`: an object with its kind;
        `delete`: kind and name of an object; `cancel`: names of jobs.
    `base_version`
        Version of the object on which the change is based; -1 for any version.
    """

    id: Name
    put: dict | None = None
    delete: tuple[str, str] | None = None
    cancel: list[str] | None = None
    base_version: int = -1

    def to_command(self):
        """Return the command; raise `bad_object` if the form is not valid."""
        given = [
            value for value in (self.put, self.delete, self.cancel) if value is not None
        ]
        if len(given) != 1:
            raise HingepitchError(
                "bad_object", "expected exactly one of put, delete and cancel"
            )
        if self.put is not None:
            return parse_object(self.put)
        if self.delete is not None:
            return Delete(*self.delete)
        return CancelJobs(self.cancel)


class Authenticator:
    """Authenticates operators by their bearer tokens.

    `operators`
        The `OperatorSettings`.
    """

    def __init__(self, operators):
        self.operators = list(operators)

    def operator(self, req):
        """Return the `OperatorSettings` of the sender; raise `unauthenticated`."""
        scheme, _, token = (req.get_header("Authorization") or "").partition(" ")
        digest = hash_token(token)
        found = None
        for operator in self.operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                found = operator
        if scheme != "Bearer" or found is None:
            raise HingepitchError("unauthenticated", "expected a bearer token")
        return found


def parse_json(req, model):
    """Return the body of `req` as `model`; raise `bad_request` or `body_too_large`."""
    if (req.content_length or 0) > MAX_BODY_BYTES:
        raise HingepitchError("body_too_large")
    try:
        return model.model_validate(json.loads(req.bounded_stream.read()))
    except ValidationError as error:
        raise HingepitchError(
            "bad_request", "\n".join(format_validation_errors(error))
        ) from None
    except ValueError as error:
        raise HingepitchError("bad_request", str(error)) from None


class OperatorApi:
    """The falcon resources under `/v1`.

    `replica`, `roster`
        The `Replica` and the `EntryRoster` of this process.
    `group`
        A `CommandClient`, which passes commands to the leader.
    `authenticator`
        An `Authenticator`.
    `members`
        A `hingepitch.control.member.MemberChanger`.
    """

    def __init__(self, replica, roster, group, authenticator, members):
        self.replica = replica
        self.roster = roster
        self.group = group
        self.authenticator = authenticator
        self.members = members

    def make(self):
        """Return the falcon application."""
        api = make_api()
        api.add_route("/v1/commands", self, suffix="commands")
        api.add_route("/v1/objects/{kind}", self, suffix="objects")
        api.add_route("/v1/objects/{kind}/{name}", self, suffix="object")
        api.add_route("/v1/explain/{kind}/{name}", self, suffix="explain")
        api.add_route("/v1/accounts", self, suffix="accounts")
        halls = HallResource(self.confirm_state, self.group, self.authenticator)
        api.add_route("/v1/halls", halls)
        api.add_route("/v1/halls/{hall}/cordon", halls, suffix="cordon")
        api.add_route("/v1/audit", self, suffix="audit")
        api.add_route("/v1/watch", self, suffix="watch")
        api.add_route("/v1/in-force/{version:int}", self, suffix="in_force")
        api.add_route("/v1/members", self, suffix="members")
        return api

    def confirm_state(self):
        """Return the state once it has every change acknowledged before the call."""
        try:
            self.replica.confirm_leadership()
        except HingepitchError as error:
            if error.code != "not_leader":
                raise
            index = self.group.call("read_index", seconds=PROPOSE_SECONDS)
            self.replica.wait_applied(index, PROPOSE_SECONDS)
        return self.replica.state

    def on_post_commands(self, req, resp):
        """Propose a command; respond with the new version."""
        operator = self.authenticator.operator(req)
        form = parse_json(req, CommandForm)
        envelope = Envelope(
            Role.OPERATOR,
            operator.partner,
            operator.name,
            form.to_command(),
            form.id,
            form.base_version,
        )
        outcome = self.group.propose(envelope, PROPOSE_SECONDS)
        if not outcome.accepted:
            raise HingepitchError(outcome.code, outcome.detail)
        resp.media = {"version": outcome.version}

    def on_get_objects(self, req, resp, kind):
        """Respond with all objects of a kind."""
        self.authenticator.operator(req)
        if kind not in RECORD_BY_KIND:
            raise HingepitchError("unknown_object", f"unknown kind {kind}")
        state = self.confirm_state()
        resp.media = [plain_record(record) for record in state.by_kind[kind].values()]

    def on_get_object(self, req, resp, kind, name):
        """Respond with one object."""
        self.authenticator.operator(req)
        record = self.confirm_state().by_kind.get(kind, {}).get(name)
        if record is None:
            raise HingepitchError("unknown_object", f"no {kind} {name}")
        resp.media = plain_record(record)

    def on_get_explain(self, req, resp, kind, name):
        """Respond with the reasons why a job waits or a VM may not leave service."""
        self.authenticator.operator(req)
        state = self.confirm_state()
        if kind == QUEUED_JOB:
            resp.media = explain_queued_job(state.jobs, name)
        else:
            resp.media = explain.explain(state, kind, name)

    def on_get_accounts(self, req, resp):
        """Respond with what each client account uses, its quota and what waits."""
        self.authenticator.operator(req)
        resp.media = account_rows(self.confirm_state().jobs)

    def on_get_audit(self, req, resp):
        """Respond with the last `AUDIT_ROWS` audit records that match the query."""
        self.authenticator.operator(req)
        records = self.replica.audit.read(
            req.get_param("partner", default=""),
            req.get_param("operator", default=""),
            req.get_param("name", default=""),
            req.get_param_as_int("since_seconds", default=0),
        )
        resp.media = [to_plain(record) for record in records][-AUDIT_ROWS:]

    def on_get_watch(self, req, resp):
        """Respond with the changes after a version (long poll)."""
        self.authenticator.operator(req)
        self.replica.check_read()
        after = req.get_param_as_int("after", default=0)
        deadline = lease_seconds() + MAX_WAIT_SECONDS
        state = self.replica.state
        while state.feed_by_name["planning"].version <= after:
            if not self.replica.wait_for_change(deadline - lease_seconds()):
                break
            state = self.replica.state
        version, full, changes = state.changes_since("planning", after)
        resp.media = {
            "version": version,
            "full": full,
            "changes": [
                {"kind": kind, "name": name, "object": plain_record(record)}
                for kind, name, record in changes
            ],
        }

    def on_get_in_force(self, req, resp, version):
        """Respond with whether a version is in force at every entry."""
        self.authenticator.operator(req)
        wait_ms = req.get_param_as_int("wait_ms", min_value=0, default=0)
        wait_ms = min(wait_ms, int(MAX_WAIT_SECONDS * 1000))
        in_force = self.group.call("is_in_force", version, wait_ms)
        resp.media = {"version": version, "in_force": in_force}

    def on_get_members(self, req, resp):
        """Respond with the members of the group and its fault tolerance."""
        self.authenticator.operator(req)
        resp.media = self.members.status()

    def on_post_members(self, req, resp):
        """Add, promote or remove a member."""
        self.authenticator.operator(req)
        resp.media = self.members.change(parse_json(req, self.members.form))


def plain_record(record):
    """Return a record as plain values, without the content of its body."""
    plain = to_plain(record)
    if plain is not None and "body" in plain:
        plain["body"] = None
    return plain
