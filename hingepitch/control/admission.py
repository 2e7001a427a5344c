"""
hingepitch.control.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission of commands: bounded queues, served round-robin.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from collections import deque
from dataclasses import dataclass

from hingepitch.error import HingepitchError

__all__ = ["Admission", "PendingCommand"]

MAX_WAITING_IN_LANE = 2000
RETRY_AFTER_MS = 500


@dataclass(frozen=True, slots=True)
class PendingCommand:
    """A command that waits to be appended to the log."""

    payload: bytes
    result: object


class Admission:
    """Queues of waiting commands, one queue (lane) for each partner or role.

    A full lane refuses commands at once. Lanes are served round-robin, so that
    no partner can starve another.
    """

    def __init__(self, max_waiting=MAX_WAITING_IN_LANE):
        self.max_waiting = max_waiting
        self.lane_by_name = {}

    def put(self, lane_name, waiting):
        """Add a command to a lane; raise `queue_full` if the lane is full."""
        lane = self.lane_by_name.setdefault(lane_name, deque())
        if len(lane) >= self.max_waiting:
            detail = f"{len(lane)} commands of {lane_name} are waiting"
            raise HingepitchError("queue_full", detail, RETRY_AFTER_MS)
        lane.append(waiting)

    @property
    def has_waiting(self):
        """Whether any command is waiting."""
        return any(self.lane_by_name.values())

    @property
    def size(self):
        """Number of waiting commands."""
        return sum(map(len, self.lane_by_name.values()))

    def take(self, limit):
        """Remove and return at most `limit` commands, round-robin from the lanes."""
        taken = []
        while len(taken) < limit:
            lanes = [lane for lane in self.lane_by_name.values() if lane]
            if not lanes:
                break
            for lane in lanes[: limit - len(taken)]:
                taken.append(lane.popleft())
        self.rotate_lanes()
        return taken

    def rotate_lanes(self):
        """Move the first lane to the end, so that another is served first next time."""
        if self.lane_by_name:
            first = next(iter(self.lane_by_name))
            self.lane_by_name[first] = self.lane_by_name.pop(first)
