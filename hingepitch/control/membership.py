"""
hingepitch.control.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who belongs to the group, and since which entry of the log.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.control.message import Member
from hingepitch.error import HingepitchError

__all__ = ["MemberHistory", "decode_members", "encode_members"]


def encode_members(members):
    """Return the bytes of a tuple of `Member`."""
    return msgspec.msgpack.encode(members)


def decode_members(data):
    """Return the tuple of `Member` of `data`; raise `storage_unknown`."""
    try:
        return msgspec.msgpack.decode(data, type=tuple[Member, ...])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise HingepitchError("storage_unknown", f"not members: {error}") from None


class MemberHistory:
    """The members as the entries of a log declared them.

    A declaration is in force as soon as it is in the log, committed or not; so
    one that is cut off the log gives way to the one before.

    `index`, `members`
        What a snapshot holds, and up to which entry.
    """

    def __init__(self, index, members):
        self.declared = [(index, members)]

    @property
    def members(self):
        """The members in force, by the last entry that changed them."""
        return self.declared[-1][1]

    @property
    def changed_at(self):
        """Index of the entry that changed them last."""
        return self.declared[-1][0]

    @property
    def voters(self):
        """The identities that vote."""
        return [member.identity for member in self.members if member.voter]

    def at(self, index):
        """Return the members in force at `index`."""
        return next(members for at, members in reversed(self.declared) if at <= index)

    def add(self, index, members):
        """Take over what the entry at `index` declares."""
        self.declared.append((index, members))

    def cut(self, first):
        """Forget what the entries from `first` on declared."""
        while self.changed_at >= first and len(self.declared) > 1:
            self.declared.pop()

    def compact(self, index):
        """Forget what came before the declaration in force at `index`."""
        while len(self.declared) > 1 and self.declared[1][0] <= index:
            del self.declared[0]
