"""
hingepitch.control.hallapi
~~~~~~~~~~~~~~~~~~~~~~~~~~

The halls in the operators' HTTP API: their list, and the orders that cordon one.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds, wall_ms
from hingepitch.error import HingepitchError
from hingepitch.httpd import is_caller_connected
from hingepitch.jobs.command import CordonHall, UncordonHall
from hingepitch.jobs.halls.cordonchange import (
    apply_cordon_change,
    log_change,
    require_hall,
)
from hingepitch.jobs.halls.hallstatus import hall_rows
from hingepitch.model.command import Envelope, Role

__all__ = ["HallResource"]

#: Time for one order, and for each of its attempts, in seconds.
ORDER_SECONDS = 4.0


class HallResource:
    """The falcon resource of `/v1/halls`.

    `confirm_state`
        Function that returns the state with every change acknowledged before.
    `group`
        A `GroupClient`, which passes commands to the leader.
    `authenticator`
        A `hingepitch.control.operator.Authenticator`.
    """

    def __init__(self, confirm_state, group, authenticator):
        self.confirm_state = confirm_state
        self.group = group
        self.authenticator = authenticator

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
        order = CordonChange(self, operator, hall, is_cordoned)
        apply_cordon_change(
            order.read_revision,
            order.send,
            lambda: is_caller_connected(req),
            lease_seconds() + ORDER_SECONDS,
            req.get_param_as_int("base_revision", min_value=0),
        )
        return {"hall": hall, "is_cordoned": is_cordoned}


class CordonChange:
    """One order of an operator, as `apply_cordon_change` needs it.

    `resource`
        The `HallResource`.
    `was_cordoned`
        Whether the hall was cordoned when the revision was last read.
    """

    def __init__(self, resource, operator, hall, is_cordoned):
        self.resource = resource
        self.operator = operator
        self.hall = hall
        self.is_cordoned = is_cordoned
        self.was_cordoned = False

    def read_revision(self):
        """Return the revision of the cordons; raise `unknown_hall` for a wrong name."""
        table = self.resource.confirm_state().jobs
        require_hall(table, self.hall)
        self.was_cordoned = self.hall in table.cordons
        return table.cordons.revision

    def send(self, revision):
        """Propose the order; raise `HingepitchError` if it is refused."""
        command = UncordonHall(self.hall, revision)
        if self.is_cordoned:
            command = CordonHall(self.hall, wall_ms(), revision)
        outcome = self.resource.group.propose(
            Envelope(Role.OPERATOR, self.operator.partner, self.operator.name, command),
            ORDER_SECONDS,
        )
        if not outcome.accepted:
            raise HingepitchError(outcome.code, outcome.detail)
        if self.was_cordoned != self.is_cordoned:
            log_change(self.hall, self.is_cordoned, self.operator.name, revision)
