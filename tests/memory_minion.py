"""In-memory stub of a minion, used as an agent's client without a network.

It keeps the rules of a minion: a run starts at most once, and not after it was
stopped or ended; ends are listed until the leader has recorded them.
"""

import itertools
import time

import gevent
from gevent.event import Event

from hingepitch.jobs.agents.contact import (
    EndedRun,
    PollResult,
    Reply,
    ReplyKind,
    RunningRow,
)
from hingepitch.jobs.record import RunResult

LIFE_NUMBERS = itertools.count(1)


class MemoryMinion:
    """Runs tasks for `task_seconds`, with faults on request.

    `start_faults`
        Faults of the next starts, or None: `late` sends no reply and carries the
        order out after `late_seconds`, `lost` carries it out without a reply, a
        `ReplyKind` is replied at once.
    `poll_faults`
        Whether the reply to each of the next polls is lost.
    """

    def __init__(self, task_seconds=0.3, slots=6, late_seconds=1.2):
        self.life = f"m-{next(LIFE_NUMBERS)}"
        self.address = "127.0.0.1:1"
        self.task_seconds = task_seconds
        self.slots = slots
        self.late_seconds = late_seconds
        self.start_faults = []
        self.poll_faults = []
        self.orders = []
        self.begun = []
        self.carried_out_late = 0
        self.running = {}
        self.barred = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self.end_listed = Event()

    def close(self):
        """Do nothing: there are no connections."""

    def clock_ms(self):
        return int(time.monotonic() * 1000)

    def reply(self, kind=ReplyKind.DONE):
        return Reply(kind, self.clock_ms())

    def start(self, order, seconds):
        self.orders.append(order)
        fault = self.start_faults.pop(0) if self.start_faults else None
        if isinstance(fault, ReplyKind):
            return self.reply(fault)
        if fault == "late":
            gevent.spawn_later(self.late_seconds, self.carry_out_late, order)
        elif fault == "lost":
            self.begin(order)
        if fault is not None:
            gevent.sleep(seconds)
            return Reply(ReplyKind.UNSURE)
        return self.reply(self.begin(order))

    def stop(self, order, seconds):
        self.bar(order.task, order.number)
        if self.running.get(order.task) == order.number:
            self.end(order.task, order.number, RunResult.STOPPED)
        return self.reply()

    def look(self, order, seconds):
        self.ended = [end for end in self.ended if end.sequence > order.ends_recorded]
        if self.poll_faults and self.poll_faults.pop(0):
            gevent.sleep(seconds)
            return PollResult(Reply(ReplyKind.UNSURE))
        if not self.ended and order.wait_ms:
            self.end_listed.wait(order.wait_ms / 1000)
        rows = tuple(
            RunningRow(task, number, "", 50) for task, number in self.running.items()
        )
        return PollResult(self.reply(), rows, tuple(self.ended))

    def carry_out_late(self, order):
        self.begin(order)
        self.carried_out_late += 1

    def begin(self, order):
        if self.running.get(order.task) == order.number:
            return ReplyKind.DONE
        if order.number <= self.barred.get(order.task, 0):
            return ReplyKind.RUN_TOO_OLD
        if len(self.running) >= self.slots:
            return ReplyKind.NO_ROOM
        self.running[order.task] = order.number
        self.begun.append((order.task, order.number, time.monotonic()))
        gevent.spawn_later(
            self.task_seconds, self.end, order.task, order.number, RunResult.DONE
        )
        return ReplyKind.DONE

    def bar(self, task, number):
        self.barred[task] = max(number, self.barred.get(task, 0))

    def end(self, task, number, result):
        if self.running.get(task) != number:
            return
        del self.running[task]
        self.bar(task, number)
        self.ended.append(EndedRun(next(self.end_numbers), task, number, result, ""))
        self.end_listed.set()
        self.end_listed = Event()
