"""
hingepitch.jobs.halls.cordonchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An order to cordon or uncordon a hall, as every interface for operators carries it out:
based on a revision that was read while its caller waits.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.log import log_event

__all__ = ["apply_cordon_change", "log_change", "require_hall"]


def apply_cordon_change(read_revision, send, is_connected, due, base_revision=None):
    """Apply a change of a cordon until `due`; return what `send` returns.

    An order whose caller gave up must not be applied after a later, opposite one was
    acknowledged. So the revision is read before the connection is checked: an opposite
    order that is acknowledged after the read makes the revision stale, and one that was
    acknowledged before it implies that this caller has disconnected.

    `read_revision`
        Function that returns the revision of the cordons after all that was
        acknowledged.
    `send`
        Function that sends the order with the revision on which it is based. After
        `stale_version` it is called again with the revision read anew.
    `is_connected`
        Function that tells whether the caller still waits.
    `due`
        Time on the clock `lease_seconds` after which nothing is sent again.
    `base_revision`
        The revision that the caller names, or None. The order is then sent once, with
        this revision.

    Raises `HingepitchError` if the order is refused, with `deadline_passed` if the
    caller has gone or the cordons keep changing.
    """
    while True:
        revision = read_revision()
        if not is_connected():
            raise HingepitchError("deadline_passed", "the caller has gone")
        try:
            return send(revision if base_revision is None else base_revision)
        except HingepitchError as error:
            if error.code != "stale_version" or base_revision is not None:
                raise
        if lease_seconds() >= due:
            # Not `stale_version`, at which operators give up.
            raise HingepitchError("deadline_passed", "the cordons keep changing")


def require_hall(table, hall):
    """Raise `unknown_hall` unless a minion or a cordon shows that a hall exists.

    A mistyped name would otherwise be accepted and keep no work away.
    """
    minions = table.minion_by_id.values()
    if hall not in table.cordons and all(one.hall != hall for one in minions):
        raise HingepitchError("unknown_hall", hall)


def log_change(hall, is_cordoned, by, base_revision):
    """Log that a cordon was changed.

    `by`
        The address of the caller, or the name of the operator.
    `base_revision`
        The revision of the cordons on which the order was based.
    """
    event = "hall_cordoned" if is_cordoned else "hall_uncordoned"
    log_event(event, hall=hall, by=by, base_revision=base_revision)
