"""
hingepitch.jobs.accounts.keycheck
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Refusal of calls with unknown keys at an entry. One request to the leader confirms
the refusal of all calls that wait for it, so that strangers cost the leader little.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import gevent
import msgspec
from gevent.event import AsyncResult

from hingepitch.clock import lease_seconds
from hingepitch.error import HingepitchError
from hingepitch.jobs.accounts.account import describe_digest
from hingepitch.jobs.client import LEADER_WAIT_SECONDS, RETRY_TIMEOUT_SECONDS
from hingepitch.jobs.question import AskKeys, KeyListing
from hingepitch.jobs.queue import Queue, QueueIndex
from hingepitch.log import log_event, source_location

__all__ = ["KeyChecker"]

#: Minimum interval between two requests to the leader, in seconds.
CHECK_SECONDS = 0.05

#: Limit of calls that wait for a check; more are refused without one.
MAX_WAITING_CALLS = 500
RETRY_AFTER_MS = 1000


class KeyChecker:
    """Refuses calls with unknown keys by a listing of the known ones.

    A call is refused only once the leader has confirmed, after the call arrived,
    that the listing is the newest. All other calls are the leader's to check: the
    listing admits none.

    `client`
        A `JobClient`.
    `version`
        Version of the configuration that the listing is from; 0 without a listing,
        until the leader has refused the first call.
    `waiting`
        Result of the next check for each call that waits for it; None if there is
        no next check yet.
    `waiting_count`
        Number of calls that wait for a check.
    """

    def __init__(self, client):
        self.client = client
        self.version = 0
        self.queues = QueueIndex()
        self.key_digests = frozenset()
        self.waiting = None
        self.waiting_count = 0
        self.checked_at = 0.0

    def check(self, host, path, key, until=None):
        """Raise `unauthenticated` if a call certainly needs another key.

        `until`
            Time on the clock `lease_seconds` after which the call is refused with
            `no_leader`. Default: None, to wait for the check in any case.
        """
        if not self.lacks_key(host, path, key):
            return
        self.wait_for_check(until)
        if self.lacks_key(host, path, key):
            raise HingepitchError("unauthenticated", describe_digest(key))

    def lacks_key(self, host, path, key):
        """Whether the listing shows that a call needs another key."""
        if key in self.key_digests:
            return False
        queue = self.queues.find(host, path)
        return queue is not None and not queue.is_public

    def note_refusal(self):
        """Get the listing after the leader has refused the key of a call."""
        if not self.version and self.waiting is None:
            self.start_check()

    def wait_for_check(self, until):
        """Return once the leader has confirmed the listing after this call began."""
        if self.waiting_count >= MAX_WAITING_CALLS:
            raise HingepitchError(
                "overloaded", "too many calls with unknown keys", RETRY_AFTER_MS
            )
        if self.waiting is None:
            self.start_check()
        result = AsyncResult()
        self.waiting.append(result)
        self.waiting_count += 1
        try:
            result.get(timeout=until and max(0.0, until - lease_seconds()))
        except gevent.Timeout:
            raise HingepitchError("no_leader", "", RETRY_AFTER_MS) from None
        finally:
            self.waiting_count -= 1

    def start_check(self):
        """Start the next check for all calls that arrive until it is sent."""
        self.waiting = []
        gevent.spawn(self.run_check)

    def run_check(self):
        """Confirm or replace the listing; pass an error on to the waiting calls."""
        gevent.sleep(max(0.0, self.checked_at + CHECK_SECONDS - lease_seconds()))
        waiting, self.waiting = self.waiting, None
        self.checked_at = lease_seconds()
        error = self.try_update()
        for result in waiting:
            if error is None:
                result.set(None)
            else:
                result.set_exception(error)
            # The calls of accounts do not wait until all strangers are answered.
            gevent.sleep(0)

    def try_update(self):
        """Update the listing; return the `HingepitchError` of a failure, or None."""
        try:
            self.update()
        except HingepitchError as error:
            return error
        except Exception as error:
            log_event(
                "child_failed",
                child="keycheck",
                error=repr(error),
                at=source_location(error),
            )
            return HingepitchError("internal")
        return None

    def update(self):
        """Ask the leader whether the listing is the newest, and replace it if not."""
        request = AskKeys(self.version)
        answer = self.client.ask(request, RETRY_TIMEOUT_SECONDS, LEADER_WAIT_SECONDS)
        if answer is None:
            return
        listing = msgspec.convert(answer, KeyListing)
        self.version = listing.version
        self.key_digests = frozenset(listing.key_digests)
        queues = [
            Queue("", one.host, one.path_prefix, "", is_public=one.is_public)
            for one in listing.queues
        ]
        self.queues = QueueIndex(queues)
