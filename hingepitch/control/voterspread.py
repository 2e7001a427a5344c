"""
hingepitch.control.voterspread
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Spread of the voters over halls, so that the loss of one hall leaves a quorum.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import Counter

__all__ = [
    "UNKNOWN_HALL",
    "choose_learner",
    "count_voters_by_hall",
    "find_crowded_voter",
    "has_room_elsewhere",
    "max_voters_in_hall",
    "survives_losses",
]

#: Hall of a bootstrap member until it has announced itself. It counts as no hall:
#: nothing is known that speaks for or against such a member.
UNKNOWN_HALL = "unknown"


def max_voters_in_hall(voters_wanted):
    """Return how many of `voters_wanted` voters may be lost with one hall."""
    return (voters_wanted - 1) // 2


def count_voters_by_hall(members):
    """Return the number of voters in each known hall."""
    return Counter(
        member.hall
        for member in members
        if member.voter and member.hall != UNKNOWN_HALL
    )


def survives_losses(members, not_responding, losses):
    """Whether a quorum still responds after `losses` more losses of voters."""
    voters = [member for member in members if member.voter]
    responding = [one for one in voters if one.identity not in not_responding]
    return len(responding) - losses >= len(voters) // 2 + 1


def choose_learner(members, learners, voters_wanted, not_responding):
    """Return the learner to promote next, or None if none should be.

    It is of the hall with the fewest voters. One that makes a hall too full is only
    chosen if the next loss of a voter would leave no quorum.

    `learners`
        The members that could be promoted.
    """
    count_by_hall = count_voters_by_hall(members)
    limit = max_voters_in_hall(voters_wanted)
    fitting = [one for one in learners if count_by_hall[one.hall] < limit]
    if not fitting and not survives_losses(members, not_responding, 1):
        fitting = learners
    return min(
        fitting,
        key=lambda one: (one.hall == UNKNOWN_HALL, count_by_hall[one.hall]),
        default=None,
    )


def has_room_elsewhere(members, learners, voters_wanted):
    """Whether one of `learners` is of a known hall that is not full of voters."""
    count_by_hall = count_voters_by_hall(members)
    limit = max_voters_in_hall(voters_wanted)
    return any(
        one.hall != UNKNOWN_HALL and count_by_hall[one.hall] < limit for one in learners
    )


def find_crowded_voter(members, voters_wanted, leader):
    """Return a voter of a hall that is too full, or None; never the leader."""
    count_by_hall = count_voters_by_hall(members)
    limit = max_voters_in_hall(voters_wanted)
    for member in members:
        is_crowded = member.voter and count_by_hall[member.hall] > limit
        if is_crowded and member.identity != leader:
            return member
    return None
