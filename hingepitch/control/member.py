"""
hingepitch.control.member
~~~~~~~~~~~~~~~~~~~~~~~~~

Membership changes that an operator requests, and how many losses of members
the group tolerates.

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
    """Request body of a membership change.

    `action`
        `add`: add a learner; `promote`: make a learner that has caught up a
        voter; `remove`: remove a member.
    `name`, `address`, `hall`
        Required with `add`, unused otherwise.
    """

    action: Literal["add", "promote", "remove"]
    identity: str
    name: Name | None = None
    address: Address | None = None
    hall: Name | None = None


def losses_left(voters, caught_up_identities):
    """Return how many further losses leave a majority of `voters`.

    `caught_up_identities`
        The replicas that respond and have caught up.
    """
    majority = len(voters) // 2 + 1
    return max(0, len(set(caught_up_identities) & set(voters)) - majority)


class MemberChanger:
    """Makes the membership changes that an operator requests.

    `replica`
        The replica of this process; changes need it to lead.
    """

    form = MemberForm

    def __init__(self, replica):
        self.replica = replica

    def change(self, form):
        """Make one change and return the status after it.

        Raises `HingepitchError`: `not_leader`, the errors of `members_after`,
        and those of the replica's `change_members`.
        """
        if not self.replica.is_leader:
            raise HingepitchError("not_leader", retry_after_ms=200)
        members = self.members_after(form)
        if members != self.replica.core.members:
            self.replica.change_members(members)
        return self.status()

    def members_after(self, form):
        """Return the members after the change that `form` requests.

        Raises `HingepitchError`: `unknown_object`, `bad_request`.
        """
        by_identity = {member.identity: member for member in self.replica.core.members}
        if form.action == "add":
            if None in (form.name, form.address, form.hall):
                raise HingepitchError(
                    "bad_request", "add requires name, address and hall"
                )
            fresh = Member(form.identity, form.name, form.address, form.hall, False)
            by_identity.setdefault(form.identity, fresh)
        elif form.identity not in by_identity:
            raise HingepitchError(
                "unknown_object", f"no member with identity {form.identity}"
            )
        elif form.action == "promote":
            member = by_identity[form.identity]
            by_identity[form.identity] = replace(member, voter=True)
        else:
            del by_identity[form.identity]
        return tuple(by_identity.values())

    def caught_up_identities(self):
        """Return the identities that respond and have caught up.

        Includes this replica, which has to lead.
        """
        core = self.replica.core
        followers = [
            identity
            for identity, progress in core.progress_by_identity.items()
            if progress.active and core.has_caught_up(identity)
        ]
        return [core.identity, *followers]

    def status(self):
        """Return the members and which losses the group tolerates.

        `losses_left` counts replicas; `halls_that_may_go` lists the halls whose
        loss leaves a majority. Only the leader knows who has caught up.
        """
        core = self.replica.core
        leads = self.replica.is_leader
        caught_up_identities = set(self.caught_up_identities()) if leads else set()
        halls = Counter(member.hall for member in core.members if member.voter)
        majority = len(core.voters) // 2 + 1
        in_halls = Counter(
            member.hall
            for member in core.members
            if member.voter and member.identity in caught_up_identities
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
                    "caught_up": member.identity in caught_up_identities
                    if leads
                    else None,
                }
                for member in core.members
            ],
            "losses_left": losses_left(core.voters, caught_up_identities)
            if leads
            else None,
            "halls_that_may_go": sorted(
                hall
                for hall in halls
                if leads and sum(in_halls.values()) - in_halls[hall] >= majority
            ),
        }
