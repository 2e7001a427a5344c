"""
hingepitch.jobs.halls.cordonservice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers the requests about halls at the leader: which are cordoned, and orders to
cordon or uncordon one.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import wall_ms
from hingepitch.jobs.command import CordonHall, UncordonHall
from hingepitch.jobs.halls.cordonchange import log_change, require_hall
from hingepitch.jobs.question import HallListing
from hingepitch.model.command import Role

__all__ = ["HallService"]


class HallService:
    """Lists, cordons and uncordons halls for a `JobService`.

    `service`
        The `JobService`: its job table, and its `propose`.
    """

    def __init__(self, service):
        self.service = service

    @property
    def table(self):
        """The replicated job table."""
        return self.service.table

    def listing(self):
        """Return the `HallListing` after all that was acknowledged."""
        self.service.confirm_leadership()
        cordons = self.table.cordons
        return HallListing(cordons.revision, list(cordons.cordon_by_hall.values()))

    def set_cordon(self, order):
        """Record a `SetCordon` in the log; raise `HingepitchError` if it is refused.

        An order whose state already holds is recorded too: it outdates the orders
        that were sent before it.
        """
        if not order.is_listed:
            self.service.confirm_leadership()
            require_hall(self.table, order.hall)
        is_change = (order.hall in self.table.cordons) is not order.is_cordoned
        if order.is_cordoned:
            command = CordonHall(order.hall, wall_ms(), order.base_revision)
        else:
            command = UncordonHall(order.hall, order.base_revision)
        self.service.propose(Role.OPERATOR, command)
        if is_change:
            log_change(order.hall, order.is_cordoned, order.caller, order.base_revision)
