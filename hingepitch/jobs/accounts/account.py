"""
hingepitch.jobs.accounts.account
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Client accounts: their keys, and which calls and jobs a key gives access to.

Keys are secrets. Only the configuration as sent holds them; everything else holds
their digests.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hashlib
from dataclasses import dataclass, field

from hingepitch.error import HingepitchError

__all__ = [
    "NO_KEY",
    "SENDER_WITHOUT_ACCOUNTS",
    "AccountIndex",
    "ClientAccount",
    "Quota",
    "caller_of",
    "check_accounts",
    "digest_key",
    "find_caller",
    "has_access",
    "has_known_key",
]

#: In place of the digest of a key: the caller sent none, or one that cannot be one.
NO_KEY = b""

#: Number of bytes of the digest of an unknown key that a log line shows.
SHOWN_DIGEST_BYTES = 4

#: Account name of a call or a job of a public queue.
NO_ACCOUNT = ""

#: Detail of the refusal of a configuration whose sender cannot read client accounts.
SENDER_WITHOUT_ACCOUNTS = "none for a sender that drops client accounts"

RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True)
class Quota:
    """What the tasks of an account may use at once on all minions; 0: no limit."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Someone whose programs call the queues.

    `key_digests`
        Digests of its keys, any of which its calls may bear.
    `weight`
        Its share of full pools, relative to the other accounts. It is also the
        number of jobs per second that it may expect to be served.
    """

    name: str
    key_digests: tuple[bytes, ...] = field(default=(), repr=False)
    weight: float = 0.0
    quota: Quota = Quota()


class AccountIndex:
    """The client accounts of a configuration, by name and by the digest of a key."""

    def __init__(self, accounts=()):
        self.account_by_name = {account.name: account for account in accounts}
        self.account_by_key = {
            digest: account for account in accounts for digest in account.key_digests
        }


def digest_key(key):
    """Return the digest that stands for a key, given as bytes, in this system."""
    return hashlib.sha256(key).digest()


def check_accounts(accounts):
    """Raise `HingepitchError` (`bad_object`) unless `accounts` are consistent.

    No two may share a name or a key. An account may name one key twice.
    """
    names = set()
    owner_by_key = {}
    for number, account in enumerate(accounts):
        place = f"accounts[{number}]"
        if not account.name:
            raise HingepitchError("bad_object", f"{place}: no name")
        if account.name in names:
            raise HingepitchError("bad_object", f"{place}: its name is taken")
        names.add(account.name)
        for at, digest in enumerate(account.key_digests):
            owner = owner_by_key.setdefault(digest, number)
            if owner != number:
                raise HingepitchError(
                    "bad_object", f"{place}.keys[{at}]: also a key of accounts[{owner}]"
                )


def find_caller(table, call, job):
    """Return the name of the account that makes a call, or None for an unknown key.

    `call`
        A request or command with the `host`, `path` and `key` of a caller's call.
    `job`
        The `JobRecord` that the call is about, or None.

    Raises `no_leader`, which every version knows, if the entry that sent the call is of
    a version that passes on no keys.
    """
    queue = table.queues.find(call.host, call.path)
    if queue is None and job is not None:
        queue = table.current_queue(job)
    if queue is None or queue.is_public:
        return NO_ACCOUNT
    if call.key is None:
        raise HingepitchError(
            "no_leader", "none for an entry that passes on no keys", RETRY_AFTER_MS
        )
    account = table.accounts.account_by_key.get(call.key)
    return account.name if account is not None else None


def has_known_key(table, call, job):
    """Whether a call bears the key of an account, or needs none."""
    return find_caller(table, call, job) is not None


def caller_of(table, call, job):
    """Return the name of the account that makes a call; empty on a public queue.

    Raises `unauthenticated` for an unknown key. That is only true of the newest
    configuration, so `table` must have all committed entries.
    """
    name = find_caller(table, call, job)
    if name is None:
        raise HingepitchError("unauthenticated", describe_digest(call.key))
    return name


def describe_digest(digest):
    """Return a text on an unknown key that does not reveal it."""
    if digest == NO_KEY:
        return "no key"
    return f"unknown key, digest {digest[:SHOWN_DIGEST_BYTES].hex()}"


def has_access(table, job, caller):
    """Whether the account `caller` may see and cancel a job.

    A job without an account came by a public queue, or was accepted before the
    configuration named accounts: whoever may call a queue may see it.
    """
    if not job.account or job.account == caller:
        return True
    return table.current_queue(job).is_public
