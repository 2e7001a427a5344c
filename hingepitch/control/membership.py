"""
hingepitch.control.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The members of the group, as the entries of the log set them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import msgspec

from hingepitch.control.message import Member
from hingepitch.error import HingepitchError

__all__ = ["MemberHistory", "decode_members", "encode_members"]


def encode_members(members):
    """Return a tuple of `Member` encoded as msgpack."""
    return msgspec.msgpack.encode(members)


def decode_members(data):
    """Return the tuple of `Member` in `data`.

    Raises `HingepitchError` (`storage_unknown`) if it cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(data, type=tuple[Member, ...])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise HingepitchError(
            "storage_unknown", f"invalid member list: {error}"
        ) from None


class MemberHistory:
    """The sequence of member configurations in the log.

    A configuration is in force as soon as it is in the log, committed or not.
    If its entry is truncated, the previous configuration is in force again.

    `index`, `members`
        Index of the snapshot that the log starts from, and its members.
    """

    def __init__(self, index, members):
        self.configurations = [(index, members)]

    @property
    def members(self):
        """The members in the latest configuration."""
        return self.configurations[-1][1]

    @property
    def changed_index(self):
        """Index of the entry with the latest configuration."""
        return self.configurations[-1][0]

    @property
    def voters(self):
        """The identities of the voters."""
        return [member.identity for member in self.members if member.voter]

    def at(self, index):
        """Return the members as of the entry at `index`."""
        return next(
            members for at, members in reversed(self.configurations) if at <= index
        )

    def add(self, index, members):
        """Add the configuration of the entry at `index`."""
        self.configurations.append((index, members))

    def discard_from(self, first):
        """Drop the configurations of the entries from `first` on."""
        while self.changed_index >= first and len(self.configurations) > 1:
            self.configurations.pop()

    def compact(self, index):
        """Drop the configurations before the one in force at `index`."""
        while len(self.configurations) > 1 and self.configurations[1][0] <= index:
            del self.configurations[0]
