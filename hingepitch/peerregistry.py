"""
hingepitch.peerregistry
~~~~~~~~~~~~~~~~~~~~~~~

The addresses of the control replicas: learnt, passed on, remembered.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from pathlib import Path

import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from hingepitch.disk import Disk
from hingepitch.durable import run_in_thread, write_atomic
from hingepitch.error import HingepitchError
from hingepitch.jobs.question import AskMembers, MemberRow, encode
from hingepitch.log import log_event
from hingepitch.setting import check_address

__all__ = ["PeerRegistry", "decode_members"]

#: How often the members are asked for, in seconds.
REFRESH_SECONDS = 2.0

FILE_NAME = "peers"
ROWS_DECODER = msgspec.msgpack.Decoder(list[MemberRow])


def decode_members(answer):
    """Return the list of `MemberRow` of an answer; raise `bad_request`.

    Those that cannot be called are left out.
    """
    try:
        rows = ROWS_DECODER.decode(answer)
    except (msgspec.MsgspecError, TypeError, RecursionError) as error:
        raise HingepitchError("bad_request", f"not members: {error}") from None
    callable_rows = [row for row in rows if is_callable(row)]
    if len(callable_rows) < len(rows):
        log_event("rows_unread", of="members", count=len(rows) - len(callable_rows))
    return callable_rows


def is_callable(row):
    """Whether the address of a member is one."""
    try:
        check_address(row.address)
    except ValueError:
        return False
    return True


class PeerRegistry:
    """Where the control replicas take calls.

    `seeds`
        Addresses from the settings; they may be stale.
    `folder`
        Data folder in which the book is remembered, or None.
    `disk`
        A `hingepitch.disk.Disk`.
    """

    def __init__(self, seeds, folder=None, disk=None):
        self.disk = disk or Disk()
        self.seeds = list(seeds)
        self.path = Path(folder) / FILE_NAME if folder else None
        self.rows = []
        self.lock = BoundedSemaphore(1)

    def load(self):
        """Read what was remembered; an unreadable book is left aside."""
        if self.path is None or not self.path.exists():
            return
        try:
            self.rows = decode_members(self.path.read_bytes())
        except (OSError, HingepitchError) as error:
            log_event("storage_failed", file=FILE_NAME, error=error)

    def addresses(self):
        """Return all known addresses, the members' first."""
        return list(dict.fromkeys([row.address for row in self.rows] + self.seeds))

    def address_of(self, identity):
        """Return the address of a replica, or None."""
        return next(
            (row.address for row in self.rows if row.identity == identity), None
        )

    def update_rows(self, rows):
        """Take over newer rows, and remember them."""
        if not rows:
            return
        known = {(row.identity, row.address) for row in self.rows}
        self.rows = rows
        if self.path is not None and known != {(r.identity, r.address) for r in rows}:
            self.save()

    def save(self):
        """Remember the book; without it, only the seeds are known at a start.

        It is synced: written without, it was torn by each loss of power. The
        sync waits in a thread, so that a slow disk holds nobody else up.
        """
        try:
            # The announcer learns rows too; both would write the same file.
            with self.lock:
                run_in_thread(write_atomic, self.disk, self.path, encode(self.rows))
        except OSError as error:
            log_event("storage_failed", file=FILE_NAME, error=error)

    def refresh_forever(self, *groups):
        """Ask the first of `groups` for the members, again and again.

        All of `groups` get the addresses.
        """
        while True:
            asked = groups[0].preferred
            try:
                answer = groups[0].call_once("ask", encode(AskMembers()))
                self.update_rows(decode_members(answer))
            except HingepitchError as error:
                log_event("peer_unreachable", address=asked, error=error.code)
            for group in groups:
                group.set_addresses(self.addresses())
            gevent.sleep(REFRESH_SECONDS)
