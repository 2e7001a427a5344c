"""
hingepitch.control.hallapi
~~~~~~~~~~~~~~~~~~~~~~~~~~

The halls in the operators' HTTP API: their list, and the orders that cordon one.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import wall_ms
from hingepitch.error import HingepitchError
from hingepitch.httpd import is_caller_connected
from hingepitch.jobs.command import CordonHall, UncordonHall
from hingepitch.jobs.hallrows import hall_rows
from hingepitch.log import log_event
from hingepitch.model.command import Envelope, Role

__all__ = ["HallResource"]

PROPOSE_SECONDS = 4.0

#: Number of attempts of an order without a revision of its own, each based on the
#: revision that is current then.
ATTEMPTS = 3


class HallResource:
    """The falcon resource of `/v1/halls`.

    `confirm_state`
        Function that returns the state with every change acknowledged before.
    `group`
        A `GroupClient`, which passes commands to the leader.
    `authenticator`
        A `hingepitch.control.operator.Authenticator`.
    `halls`
        Names of the halls that are valid even without minions.
    """

    def __init__(self, confirm_state, group, authenticator, halls=()):
        self.confirm_state = confirm_state
        self.group = group
        self.authenticator = authenticator
        self.halls = frozenset(halls)

    def on_get(self, req, resp):
        """Respond with the halls and the revision of their cordons."""
        self.authenticator.operator(req)
        table = self.confirm_state().jobs
        rows = hall_rows(table, wall_ms())
        resp.media = {"revision": table.cordons.revision, "halls": rows}

    def on_post_cordon(self, req, resp, hall):
        """Cordon a hall."""
        resp.media = self.order(req, hall, True)

    def on_delete_cordon(self, req, resp, hall):
        """Uncordon a hall."""
        resp.media = self.order(req, hall, False)

    def order(self, req, hall, is_cordoned):
        """Set whether a hall is cordoned; return the response.

        An order that names the revision on which it is based (`base_revision`) is
        refused with `stale_version` after any other order, so that it cannot take
        effect late. One that names none takes the current revision, provided that
        its caller is still connected after that was read.
        """
        operator = self.authenticator.operator(req)
        given = req.get_param_as_int("base_revision", min_value=0)
        attempts = ATTEMPTS if given is None else 1
        while True:
            attempts -= 1
            table = self.confirm_state().jobs
            self.check_name(table, hall)
            was_cordoned = hall in table.cordons
            revision = table.cordons.revision if given is None else given
            if not is_caller_connected(req):
                raise HingepitchError("deadline_passed", "the caller has gone")
            command = UncordonHall(hall, revision)
            if is_cordoned:
                command = CordonHall(hall, wall_ms(), revision)
            outcome = self.group.propose(
                Envelope(Role.OPERATOR, operator.partner, operator.name, command),
                PROPOSE_SECONDS,
            )
            if outcome.accepted:
                break
            if outcome.code != "stale_version" or not attempts:
                raise HingepitchError(outcome.code, outcome.detail)
        if was_cordoned != is_cordoned:
            log_change(hall, is_cordoned, operator, revision)
        return {"hall": hall, "is_cordoned": is_cordoned}

    def check_name(self, table, hall):
        """Raise `unknown_hall` unless the hall is configured, cordoned or has minions.

        A mistyped name would otherwise be accepted and keep no work away.
        """
        if hall in self.halls or hall in table.cordons:
            return
        if not any(minion.hall == hall for minion in table.minion_by_id.values()):
            raise HingepitchError("unknown_hall", f"no hall {hall}")


def log_change(hall, is_cordoned, operator, revision):
    """Log that an operator has changed a cordon, and the revision before that."""
    fields = {"hall": hall, "by": operator.name, "base_revision": revision}
    if is_cordoned:
        log_event("hall_cordoned", **fields)
    else:
        log_event("hall_uncordoned", **fields)
