"""
review.second.minions
~~~~~~~~~~~~~~~~~~~~~

Stand-ins for minions, as the users' pages describe them.

The `spec` of a job is JSON that says how its tasks behave: `ms` is the time that a
task works, `fails` lets each run end `failed` by its own fault.
"""

import asyncio
import itertools
import json
import time

from review.second.wire import Server, call

__all__ = ["Minion", "Fleet"]

#: How many rows of `finished` one answer holds at most.
MAX_ROWS = 500

#: Interval at which a minion looks at its leases and its work, in seconds.
STEP_SECONDS = 0.02


class Run:
    """One run of a task on a minion.

    `since`
        When it began to work, on the steady clock; None while its gang is not complete.
    """

    def __init__(self, task, number, spec, until_ms):
        self.task = task
        self.number = number
        self.spec = spec
        self.until_ms = until_ms
        self.began = time.monotonic()
        self.since = None

    @property
    def group(self):
        """Job, time and step of the task, and the number of the run."""
        return self.task.rpartition(".")[0], self.number


class Minion:
    """A machine and its present life.

    `is_grey`
        Whether everything that works here ends `failed`, while the health check is
        good.
    """

    ids = itertools.count(1)

    def __init__(self, fleet, machine, service, address, rack):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.address = address
        self.rack = rack
        self.is_grey = False
        self.server = None
        self.is_up = False
        self.begin_life()

    def begin_life(self):
        """Begin a life that runs nothing and has seen no fencing token."""
        self.id = f"i-{next(Minion.ids):08x}"
        self.zero = time.monotonic() - 5.0
        self.sequence = 0
        self.fence = 0
        self.runs = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self.barred = {}
        self.ended_event = asyncio.Event()
        self.until_ms = 0
        self.has_lapsed = True

    def clock_ms(self):
        """Return the steady clock of this life in milliseconds."""
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        """Listen, and begin to beat."""
        self.server = Server(self.address, self.answer)
        await self.server.start()
        self.is_up = True

    async def crash(self):
        """Crash: everything that runs here dies, and nothing is said.

        The machine is gone for good unless `come_back` follows.
        """
        self.is_up = False
        await self.server.stop()
        for run in self.runs.values():
            self.fleet.record("died", run.task, run.number, self)
        self.fleet.record("crashed", "", 0, self)
        self.begin_life()

    async def come_back(self):
        """Begin to serve again, as a new life at the same address."""
        await self.start()
        self.fleet.record("back", "", 0, self)

    def beat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "amman-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_ms": 0,
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", self.rack],
            "machine": self.machine,
            "clock_ms": self.clock_ms(),
            "seq": self.sequence,
        }

    async def answer(self, method, path, headers, body):
        """Answer one call; return the status and the body."""
        if path == "/health":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        handler = {
            "/-/run-start": self.on_start,
            "/-/run-stop": self.on_stop,
            "/-/hold": self.on_hold,
            "/-/pace": self.on_pace,
        }.get(path)
        if handler is None:
            return 404, {}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        life = self.id
        status, answer = await handler(body)
        if self.id != life:
            return None
        return status, {"clock_ms": self.clock_ms(), **answer}

    async def on_start(self, body):
        """Start a run."""
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {}
        if body["until_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["until_ms"])
        if number <= self.barred.get(task, 0) or present is not None:
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        used = sum(run.spec.get("cpu", 1000) for run in self.runs.values())
        if used + spec.get("cpu", 1000) > 16000:
            return 409, {"reason": "room"}
        self.runs[task] = Run(task, number, spec, body["until_ms"])
        self.fleet.record("start", task, number, self)
        return 200, {}

    async def on_stop(self, body):
        """Stop a run, and refuse it and earlier ones from now on."""
        task, number = body["task"], body["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        present = self.runs.get(task)
        if present is not None and present.number <= number:
            self.end(present, "stopped")
        return 200, {}

    async def on_pace(self, body):
        """Take a pace, which the tasks of these scripts do without."""
        return 200, {}

    async def on_hold(self, body):
        """Renew the lease, and list what runs and what has ended."""
        if "until_ms" in body:
            self.extend(body["until_ms"])
        seen = body.get("last_seen", 0)
        for row in self.ended:
            if row[0] <= seen:
                self.fleet.record("noted", row[1], row[2], self)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("wait_ms"):
            event = self.ended_event
            try:
                await asyncio.wait_for(event.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", self.percent(run), 0]
            for run in self.runs.values()
        ]
        return 200, {"running": running, "finished": self.ended[:MAX_ROWS]}

    def extend(self, until_ms):
        """Extend the lease of everything that runs here."""
        self.until_ms = max(self.until_ms, until_ms)
        self.has_lapsed = False
        for run in self.runs.values():
            run.until_ms = max(run.until_ms, until_ms)

    def percent(self, run):
        """Return how much of its work a run has done; 100: it is at work for good."""
        if run.since is None:
            return 0
        worked_ms = (time.monotonic() - run.since) * 1000
        if run.spec.get("lasts"):
            return 100 if worked_ms >= 300 else 0
        return min(99, int(100 * worked_ms / run.spec["ms"]))

    def end(self, run, how):
        """End a run and list its end."""
        del self.runs[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        number = next(self.end_numbers)
        self.ended.append([number, run.task, run.number, how, ""])
        self.fleet.record(how, run.task, run.number, self)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def step(self):
        """Advance the work of the runs; end those that are over."""
        if not self.has_lapsed and self.clock_ms() > self.until_ms:
            self.has_lapsed = True
            self.fleet.record("lease_lapsed", "", 0, self)
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if self.clock_ms() > run.until_ms:
                self.end(run, "lapsed")
            elif run.since is None and self.fleet.is_complete(run):
                run.since = time.monotonic()
                self.fleet.record("works", run.task, run.number, self)
            elif run.since is not None:
                self.work(run)

    def work(self, run):
        """End a run that is done or has failed."""
        worked_ms = (time.monotonic() - run.since) * 1000
        has_failed = self.is_grey or run.spec.get("fails")
        if has_failed and worked_ms >= min(run.spec.get("ms", 400), 400):
            self.fleet.end_run(run, "failed", self)
        elif not run.spec.get("lasts") and worked_ms >= run.spec["ms"]:
            self.fleet.end_run(run, "done", self)


class Fleet:
    """All minions of a deployment.

    `controls`
        Addresses of the processes that serve control.
    `record`
        Function that writes one line of the record.
    """

    def __init__(self, controls, note):
        self.controls = controls
        self.note = note
        self.minions = []
        self.events = []

    def record(self, what, task, number, minion):
        """Record an event of a run or of a minion."""
        self.events.append((time.monotonic(), what, task, number, minion.id))
        self.note(what, task=task, run=number, minion=minion.id, vm=minion.machine)

    def members(self, run):
        """Return the runs of the gang of `run`, with their minions."""
        return [
            (other, minion)
            for minion in self.minions
            for other in list(minion.runs.values())
            if other.group == run.group
        ]

    def is_complete(self, run):
        """Whether a run may work: it has no gang, or all of its gang are present."""
        gang = run.spec.get("gang", 0)
        return not gang or len(self.members(run)) >= gang

    def end_run(self, run, how, minion):
        """End a run; the other members of a gang end with it.

        All members on a minion that fails everything end `failed`, those elsewhere
        `broken`.
        """
        if not run.spec.get("gang"):
            minion.end(run, how)
            return
        for other, at in self.members(run):
            is_hit = how == "done" or at is minion
            at.end(other, how if is_hit else "broken")

    async def run(self):
        """Let the minions work and beat until cancelled."""
        beats = [asyncio.create_task(self.keep_beating(one)) for one in self.minions]
        try:
            while True:
                for minion in self.minions:
                    if minion.is_up:
                        minion.step()
                await asyncio.sleep(STEP_SECONDS)
        finally:
            for beat in beats:
                beat.cancel()

    async def keep_beating(self, minion):
        """Send the heartbeats of one minion to the first node that takes them."""
        nodes = list(self.controls)
        while True:
            if minion.is_up:
                for _ in range(len(nodes)):
                    path = f"/-/instances/{minion.id}"
                    body = minion.beat()
                    status, _ = await call(nodes[0], "PUT", path, body, seconds=1.0)
                    if 200 <= status < 300:
                        break
                    nodes.append(nodes.pop(0))
                    if not minion.is_up:
                        break
            await asyncio.sleep(1.5)
