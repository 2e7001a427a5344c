"""
hingepitch.peerregistry
~~~~~~~~~~~~~~~~~~~~~~~

Registry of the control replicas' addresses, kept on disk.

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

#: Interval between requests for the members, in seconds.
REFRESH_SECONDS = 2.0

FILE_NAME = "peers"
ROWS_DECODER = msgspec.msgpack.Decoder(list[MemberRow])


def decode_members(answer):
    """Return the `MemberRow`s of an answer; raise `bad_request` if malformed.

    Rows without a valid address are logged and left out.
    """
    try:
        rows = ROWS_DECODER.decode(answer)
    except (msgspec.MsgspecError, TypeError, RecursionError) as error:
        raise HingepitchError(
            "bad_request", f"malformed member list: {error}"
        ) from None
    valid_rows = [row for row in rows if has_valid_address(row)]
    if len(valid_rows) < len(rows):
        log_event("rows_unread", of="members", count=len(rows) - len(valid_rows))
    return valid_rows


def has_valid_address(row):
    """Whether the address of a member has the form `IP:port`."""
    try:
        check_address(row.address)
    except ValueError:
        return False
    return True


class PeerRegistry:
    """RPC addresses of the control replicas.

    `seeds`
        Addresses from the settings; they may be stale.
    `folder`
        Data folder in which the registry is saved, or None.
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
        """Load the saved registry; log and ignore an unreadable file."""
        if self.path is None or not self.path.exists():
            return
        try:
            self.rows = decode_members(self.path.read_bytes())
        except (OSError, HingepitchError) as error:
            log_event("storage_failed", file=FILE_NAME, error=error)

    def addresses(self):
        """Return all known addresses: the members', then the seeds."""
        return list(dict.fromkeys([row.address for row in self.rows] + self.seeds))

    def address_of(self, identity):
        """Return the address of the replica `identity`, or None."""
        return next(
            (row.address for row in self.rows if row.identity == identity), None
        )

    def update_rows(self, rows):
        """Replace the rows with newer ones; save them if they changed.

        An empty list is ignored.
        """
        if not rows:
            return
        known = {(row.identity, row.address) for row in self.rows}
        self.rows = rows
        if self.path is not None and known != {(r.identity, r.address) for r in rows}:
            self.save()

    def save(self):
        """Save the registry; without it, only the seeds are known at a start.

        The file is synced, because a power loss tore the unsynced file. The
        write runs in a thread, so that a slow disk does not block the event
        loop.
        """
        try:
            # `GroupReconciler.announce` also updates rows. Without the lock, both
            # greenlets could write the same file.
            with self.lock:
                run_in_thread(write_atomic, self.disk, self.path, encode(self.rows))
        except OSError as error:
            log_event("storage_failed", file=FILE_NAME, error=error)

    def refresh_forever(self, *groups):
        """Periodically ask the first of `groups` for the members.

        Passes the addresses on to all `groups`.
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
