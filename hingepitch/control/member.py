"""
hingepitch.control.member
~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of the members of the group, and what losses it stands.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter
from dataclasses import replace
from typing import Literal

from hingepitch.control.message import Member
from hingepitch.error import HingepitchError
from hingepitch.setting import Address, Name, Settings

__all__ = ["MemberChanger", "MemberForm", "losses_left"]


class MemberForm(Settings):
    """A change of the members.

    `action`
        `add`: a learner; `promote`: a learner that has caught up to a
        voter; `remove`: take a member out.
    `name`, `address`, `hall`
        With `add` only, and needed there.
    """

    action: Literal["add", "promote", "remove"]
    identity: str
    name: Name | None = None
    address: Address | None = None
    hall: Name | None = None


def losses_left(voters, alive):
    """Return how many of the `alive` of `voters` may still be lost."""
    majority = len(voters) // 2 + 1
    return max(0, len(set(alive) & set(voters)) - majority)


class MemberChanger:
    """Proposes changes of the members.

    `replica`
        The replica of this process, which has to lead.
    """

    form = MemberForm

    def __init__(self, replica):
        self.replica = replica

    def change(self, form):
        """Make one change; return the status after it."""
        if not self.replica.is_leader:
            raise HingepitchError("not_leader", retry_after_ms=200)
        members = self.changed(form)
        if members != self.replica.core.members:
            self.replica.change_members(members)
        return self.status()

    def changed(self, form):
        """Return the members after the change.

        Raises `HingepitchError`: `unknown_object`, `bad_request`.
        """
        by_identity = {member.identity: member for member in self.replica.core.members}
        if form.action == "add":
            if None in (form.name, form.address, form.hall):
                raise HingepitchError("bad_request", "add needs name, address, hall")
            fresh = Member(form.identity, form.name, form.address, form.hall, False)
            by_identity.setdefault(form.identity, fresh)
        elif form.identity not in by_identity:
            raise HingepitchError("unknown_object", f"no member {form.identity}")
        elif form.action == "promote":
            member = by_identity[form.identity]
            by_identity[form.identity] = replace(member, voter=True)
        else:
            del by_identity[form.identity]
        return tuple(by_identity.values())

    def alive(self):
        """Return the identities that answered the leader and caught up."""
        core = self.replica.core
        followers = [
            identity
            for identity, progress in core.progress_by_identity.items()
            if progress.active and core.has_caught_up(identity)
        ]
        return [core.identity, *followers]

    def status(self):
        """Return the members and how many more losses the group stands."""
        core = self.replica.core
        leads = self.replica.is_leader
        alive = set(self.alive()) if leads else set()
        halls = Counter(member.hall for member in core.members if member.voter)
        majority = len(core.voters) // 2 + 1
        in_halls = Counter(
            member.hall
            for member in core.members
            if member.voter and member.identity in alive
        )
        return {
            "identity": core.identity,
            "role": core.role,
            "leader": core.leader,
            "term": core.term,
            "members": [
                {
                    "identity": member.identity,
                    "name": member.name,
                    "address": member.address,
                    "hall": member.hall,
                    "voter": member.voter,
                    "caught_up": member.identity in alive if leads else None,
                }
                for member in core.members
            ],
            "losses_left": losses_left(core.voters, alive) if leads else None,
            "halls_that_may_go": sorted(
                hall
                for hall in halls
                if leads and sum(in_halls.values()) - in_halls[hall] >= majority
            ),
        }
