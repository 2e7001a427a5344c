"""Stub minions that keep the rules of the minion protocol, and their clients.

Calls and their replies are delayed or lost as a `Network` draws it.
"""

import itertools
import random
import time
from collections import namedtuple

import gevent
import msgspec
from gevent.event import AsyncResult, Event

from adapter import minion as adapter_minion
from adapter.minion import HttpMinion
from adapter.wire import decode_heartbeat
from hingepitch.clock import lease_seconds
from hingepitch.jobs.agents.contact import EndedRun, PollResult, Reply, ReplyKind
from hingepitch.jobs.record import RunResult
from hingepitch.jobs.spec import format_task
from hingepitch.request import Answer

#: Part by which a minion's monotonic clock is slower than the leader's.
CLOCK_DRIFT = 0.02

#: Interval at which a minion checks whether its lease has expired, in seconds.
LEASE_CHECK_SECONDS = 0.02

#: Interval between the heartbeats of a minion, in seconds.
BEAT_SECONDS = 0.2

#: Time from the acknowledgement of `draining` to the end of the minion in seconds,
#: and after how many heartbeats it ends without one.
DRAIN_SECONDS = 0.5
MAX_DRAIN_HEARTBEATS = 6

#: Longest delay of the message that a minion has left, in seconds.
MAX_LEAVE_DELAY_SECONDS = 1.5

Delays = namedtuple("Delays", "request answer")


class Network:
    """Draws the delays and losses of calls and replies.

    `fault_rate`
        Probability that a call is delayed or lost, or its reply is.
    `garble_rate`
        Probability that a row of a reply is garbled.
    """

    def __init__(self, seed, fault_rate):
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.garble_rate = 0.0

    def garble(self, row):
        """Return a row of a reply, or in its place one that cannot be decoded."""
        return None if self.garble_rate and self.happens(self.garble_rate) else row

    def draw_delays(self):
        """Return the delays of a call and of its reply in seconds; None: lost."""
        if self.random.random() >= self.fault_rate:
            return Delays(self.short_delay(), self.short_delay())
        late = self.random.uniform(0.05, 1.6)
        return self.random.choice(
            (
                Delays(None, None),
                Delays(self.short_delay(), None),
                Delays(late, self.short_delay()),
                Delays(late, None),
                Delays(self.short_delay(), late),
            )
        )

    def short_delay(self):
        return self.random.uniform(0.0, 0.004)

    def happens(self, part):
        return self.random.random() < part


class Incarnation:
    """One incarnation of a minion: its runs, its listed ends and its lease.

    `id`
        The id of the incarnation before, or None for a new one.
    `drain_noted_at`
        When it was acknowledged that this incarnation leaves, or None.
    `called_at`
        When the call that it carries out now was sent.
    """

    numbers = itertools.count(1)

    def __init__(self, simulation, vm, address, id=None):
        self.simulation = simulation
        self.id = id or f"w-{next(self.numbers)}"
        self.vm = vm
        self.address = address
        self.born_ms = int(time.time() * 1000)
        self.clock_zero = lease_seconds() - simulation.network.random.uniform(0, 3)
        self.is_draining = False
        self.drain_noted_at = None
        self.called_at = 0.0
        self.fence = 0
        self.until_ms = 0
        self.running = {}
        self.barred = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self.end_listed = Event()
        self.is_up = True
        self.is_unhealthy = False
        self.ended_at = {}
        self.expired_at = 0.0

    def clock_ms(self):
        return int((lease_seconds() - self.clock_zero) * (1 - CLOCK_DRIFT) * 1000)

    def heartbeat(self, sequence):
        body = {
            "service": "pool",
            "address": self.address,
            "zone": self.simulation.hall_of(self.vm),
            "state": "draining" if self.is_draining else "ready",
            "seq": sequence,
            "capacity": {"cpu": 6000, "mem_mb": 4000, "gpu": 0},
            "labels": ["a", "r1"],
            "machine": self.vm,
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
        }
        return decode_heartbeat(self.id, msgspec.json.encode(body))

    def reply(self, kind=ReplyKind.DONE):
        return Reply(kind, self.clock_ms())

    def refusal(self, life, fence):
        """Return the `Reply` that refuses a call, or None."""
        if self.is_unhealthy:
            return Reply(ReplyKind.UNHEALTHY)
        if life != self.id:
            return Reply(ReplyKind.OTHER_LIFE)
        if fence < self.fence:
            return self.reply(ReplyKind.FENCED)
        self.fence = fence
        return None

    def start(self, order):
        present = self.running.get(order.task)
        if present == order.number:
            return self.reply()
        if order.number <= self.barred.get(order.task, 0) or present:
            return self.reply(ReplyKind.RUN_TOO_OLD)
        if order.lease_until_ms < self.clock_ms():
            return self.reply(ReplyKind.TOO_LATE)
        self.until_ms = max(self.until_ms, order.lease_until_ms)
        if len(self.running) >= 5:
            return self.reply(ReplyKind.NO_ROOM)
        self.running[order.task] = order.number
        self.simulation.note_start(self, order.task, order.number)
        seconds = self.simulation.network.random.uniform(0.1, 0.6)
        gevent.spawn_later(seconds, self.end, order.task, order.number, RunResult.DONE)
        return self.reply()

    def stop(self, order):
        self.barred[order.task] = max(order.number, self.barred.get(order.task, 0))
        seconds = self.simulation.network.random.uniform(0.0, 0.05)
        gevent.spawn_later(
            seconds, self.end, order.task, order.number, RunResult.STOPPED
        )
        return self.reply()

    def look(self, order):
        if order.lease_until_ms is not None:
            self.until_ms = max(self.until_ms, order.lease_until_ms)
        for end in self.ended:
            if end.sequence <= order.ends_recorded:
                self.note_recorded(end)
        self.ended = [end for end in self.ended if end.sequence > order.ends_recorded]
        if not self.ended and order.wait_ms:
            self.end_listed.wait(order.wait_ms / 1000)
        return self.reply(), self.lists()

    def lists(self):
        """Return the answer to a poll: the clock and the lists of runs."""
        running = [
            [format_task(task), number, "", 50] for task, number in self.running.items()
        ]
        finished = [
            [one.sequence, format_task(one.task), one.number, one.result.value, ""]
            for one in self.ended[: adapter_minion.MAX_LISTED_ENDS]
        ]
        finished = [self.simulation.network.garble(row) for row in finished]
        body = {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "finished": finished,
        }
        return Answer(200, body=msgspec.json.encode(body))

    def end(self, task, number, result):
        if not self.is_up or self.running.get(task) != number:
            return
        del self.running[task]
        self.barred[task] = max(number, self.barred.get(task, 0))
        self.ended.append(EndedRun(next(self.end_numbers), task, number, result, ""))
        self.ended_at[self.ended[-1]] = lease_seconds()
        self.end_listed.set()
        self.end_listed = Event()

    def note_recorded(self, end):
        """Note that the leader recorded an end.

        An end from before the last expiry of the lease does not count: the leader
        may have recorded that run as lost.
        """
        if end.result is RunResult.DONE and self.ended_at[end] > self.expired_at:
            self.simulation.recorded_tasks.add(end.task)

    def enforce_lease(self):
        while self.is_up:
            gevent.sleep(LEASE_CHECK_SECONDS)
            if self.clock_ms() > self.until_ms:
                self.expired_at = lease_seconds()
                for task, number in list(self.running.items()):
                    self.end(task, number, RunResult.LAPSED)

    def send_heartbeats(self):
        """Send heartbeats until the crash; some are lost or delayed."""
        for sequence in itertools.count(1):
            if not self.is_up:
                return
            request = self.simulation.network.draw_delays().request
            if request is not None:
                late = 3 if self.simulation.network.happens(0.1) else 1
                gevent.spawn_later(
                    request * late,
                    self.simulation.receive_heartbeat,
                    self,
                    self.heartbeat(sequence),
                )
            gevent.sleep(BEAT_SECONDS)

    def crash(self):
        self.is_up = False
        self.running = {}

    def leave(self):
        """Say that it leaves, end a while later, and say so; that may be late."""
        self.is_draining = True
        for _ in range(MAX_DRAIN_HEARTBEATS):
            gevent.sleep(BEAT_SECONDS)
            if self.drain_noted_at is not None:
                gevent.sleep(DRAIN_SECONDS)
                break
        if not self.is_up:
            return
        self.crash()
        delay = self.simulation.network.random.uniform(0, MAX_LEAVE_DELAY_SECONDS)
        gevent.spawn_later(delay, self.simulation.receive_leaving, self.id)
        self.simulation.start_incarnation_later(self)


class SimulatedClient:
    """The client of an incarnation; calls go to its address.

    Another incarnation that has this address by then replies in its place.
    """

    def __init__(self, simulation, record):
        self.simulation = simulation
        self.record = record
        self.address = record.address
        self.life = record.id
        self.decoder = HttpMinion(record)

    def start(self, order, seconds):
        self.simulation.note_start_call(self.record, order)
        return self.call("start", order, seconds)

    def stop(self, order, seconds):
        return self.call("stop", order, seconds)

    def pace(self, order, seconds):
        return self.call("pace", order, seconds)

    def look(self, order, seconds):
        reply = self.call("look", order, seconds)
        if isinstance(reply, Reply):
            return PollResult(reply)
        reply, answer = reply
        return self.decoder.decode_poll_reply(answer, reply)

    def close(self):
        """Do nothing: there are no connections."""

    def call(self, kind, order, seconds):
        """Call the incarnation that has the address when the call arrives.

        One that keeps the id of the incarnation that the call was sent to does not
        get it: the connection ends with the incarnation that took it.
        """
        if self.simulation.network.happens(self.simulation.network.fault_rate / 4):
            return Reply(ReplyKind.NOT_SENT)
        answer = AsyncResult()
        delays = self.simulation.network.draw_delays()
        if delays.request is not None:
            gevent.spawn_later(
                delays.request,
                self.arrive,
                self.simulation.incarnation_by_address.get(self.address),
                lease_seconds(),
                kind,
                order,
                answer,
                delays.answer,
            )
        try:
            return answer.get(timeout=seconds)
        except gevent.Timeout:
            return Reply(ReplyKind.UNSURE, detail="no answer in time")

    def arrive(self, called, called_at, kind, order, answer, answer_seconds):
        present = self.simulation.incarnation_by_address.get(self.address)
        if present is None or not present.is_up:
            return
        if called is not present and called.id == present.id:
            return
        present.called_at = called_at
        reply = present.refusal(self.life, order.fence)
        if reply is None:
            reply = getattr(present, kind)(order)
        if answer_seconds is not None and present.is_up:
            gevent.spawn_later(answer_seconds, answer.set, reply)
