"""
soak.stranger
~~~~~~~~~~~~~

Calls with keys that come and go, that nobody has, and that are another account's.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from soak.caller import CALL_SECONDS, ID_PREFIX
from soak.operator import QUEUE
from standin.accounts import ACCOUNTS, TURN_VERSIONS, is_held, turning_key
from standin.client import Client
from standin.site import HOST, KEY_HEADER

__all__ = ["Stranger"]

#: Fractions of the calls with a key that nobody ever had, and for a job of another
#: account; the others bear a turning key.
UNKNOWN_SHARE = 0.3
OTHERS_SHARE = 0.3


class Stranger(Client):
    """Checks that a key admits exactly the calls that the configuration allows.

    `writer`
        The `ConfigWriter`, whose versions hold the turning keys.
    `callers`
        The `Caller` of each account.
    """

    def __init__(self, addresses, record, rng, writer, callers, pause_seconds=0.03):
        super().__init__(addresses, record, CALL_SECONDS, pause_seconds)
        self.rng = rng
        self.writer = writer
        self.callers = callers

    def step(self):
        """Make one call with a key of a random kind."""
        share = self.rng.random()
        if share < UNKNOWN_SHARE:
            return self.try_unknown_key()
        if share < UNKNOWN_SHARE + OTHERS_SHARE:
            return self.try_job_of_another()
        return self.try_turning_key()

    def ask(self, job_id, key):
        """Query a job with a key; return the HTTP status."""
        headers = {"Host": HOST, KEY_HEADER: key}
        return self.link.call("GET", QUEUE + job_id, None, headers)[0]

    def new_id(self):
        """Return a job id that nobody has submitted."""
        return f"{ID_PREFIX}{self.rng.getrandbits(60):015x}"

    def try_unknown_key(self):
        """Call with a key that no configuration held."""
        status = self.ask(self.new_id(), f"nobody-{self.rng.getrandbits(30)}")
        self.record.check(
            "no call is served with a key that nobody has",
            status in (0, 401) or status >= 500,
            f"answered with {status}",
        )
        return status == 401

    def try_job_of_another(self):
        """Ask for a job with the key of an account that has not submitted it."""
        caller = self.rng.choice(self.callers)
        jobs = caller.accepted()
        others = [one.key for one in self.callers if one.key != caller.key]
        if not jobs or not others:
            return False
        job = self.rng.choice(jobs)
        status = self.ask(job.id, self.rng.choice(others))
        self.record.check(
            "the job of another account is told like one that does not exist",
            status in (0, 410) or status >= 500,
            f"{job.id} was answered with {status}",
        )
        return status == 410

    def try_turning_key(self):
        """Call with a key that some of the latest configurations hold.

        Each version from the one acknowledged before the call to the one sent by
        its end may be the one in force.
        """
        acked = self.writer.acked
        number = acked // TURN_VERSIONS + self.rng.randrange(-1, 4)
        key = turning_key(self.rng.choice(ACCOUNTS), number)
        status = self.ask(self.new_id(), key)
        versions = range(acked, self.writer.sent + 1)
        held = {is_held(number, version) for version in versions}
        detail = f"{key} was answered with {status} at versions {versions}"
        if held == {True}:
            self.record.check("no key that is held is refused", status != 401, detail)
        if held == {False}:
            is_refused = status in (0, 401) or status >= 500
            self.record.check("no key that was dropped serves", is_refused, detail)
        return status in (401, 410)
