"""
standin.taskminion
~~~~~~~~~~~~~~~~~~

A stand-in for a minion of the users' platform, over HTTP: runs tasks
under leases, and misbehaves on request.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import itertools
import time
from dataclasses import dataclass, field

import falcon
import gevent
import msgspec
from gevent.event import Event

from hingepitch.httpd import HttpServer

__all__ = ["Misbehaviour", "TaskMinion"]

LIFE_NUMBERS = itertools.count(1)


@dataclass
class Misbehaviour:
    """What goes wrong; each list is used up from its start.

    `starts`, `stops`, `looks`
        For the next calls of that kind: `late` leaves it unanswered and
        carries it out after `late_seconds`, `lost` carries it out and loses
        the answer, `dropped` does neither, a number is a status.
    """

    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    looks: list = field(default_factory=list)
    late_seconds: float = 0.3


@dataclass
class Running:
    """A run that goes on."""

    task: str
    run: int
    until: float
    saved: str = ""


class Dropped(Exception):
    """The connection ends without an answer."""


class TaskMinion:
    """One minion; `restart` gives it another life at the same address.

    `task_seconds`
        How long each task runs, or None: until it is stopped.
    `capacity`
        Millicores; a start over it is refused.
    """

    def __init__(self, task_seconds=None, capacity=16_000):
        self.task_seconds = task_seconds
        self.capacity = capacity
        self.faults = Misbehaviour()
        self.starts = []
        self.calls = []
        self.begin_life()
        self.listen(0)
        self.address = f"127.0.0.1:{self.server.server.server_port}"

    def listen(self, port):
        """Serve the calls at a port; 0: any free one."""
        api = falcon.App()
        for path in ("run-start", "run-stop", "hold", "pace"):
            suffix = path.replace("-", "_")
            api.add_route(f"/-/{path}", self, suffix=suffix)
        self.server = HttpServer("127.0.0.1:1", api)
        self.server.server.set_listener(("127.0.0.1", port))
        self.server.start()
        self.is_up = True

    def begin_life(self):
        """Begin a life with nothing running and no fence seen."""
        self.life = f"i-{next(LIFE_NUMBERS)}"
        self.fence = 0
        self.running = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self.barred_runs = {}
        self.until = 0.0
        self.news = Event()

    def restart(self):
        """Crash, and come back as another life."""
        self.begin_life()

    def crash(self, down_seconds):
        """Crash: connections end, and another life is back after a while."""
        if not self.is_up:
            return
        self.is_up = False
        port = self.server.server.server_port
        self.begin_life()
        # At once: a crash answers nothing that is under way.
        self.server.server.stop(timeout=0)
        gevent.spawn_later(down_seconds, self.listen, port)

    def close(self):
        """Stop the server."""
        self.server.stop()

    # The clock and the leases.

    def clock_ms(self):
        """The minion's steady clock; far from ours."""
        return int(time.monotonic() * 1000) + 5_000_000

    def end(self, task, how):
        """End a run, and list it."""
        run = self.running.pop(task)
        self.barred_runs[task] = max(self.barred_runs.get(task, 0), run.run)
        number = next(self.end_numbers)
        self.ended.append([number, task, run.run, how, run.saved])
        self.news.set()
        self.news = Event()

    def lapse(self):
        """End everything whose lease is over."""
        if self.clock_ms() > self.until:
            for task in list(self.running):
                self.end(task, "lapsed")

    # The calls.

    def begin(self, req, resp, kind):
        """Return the body of a call, after the misbehaviour that is due."""
        body = msgspec.json.decode(req.bounded_stream.read())
        self.calls.append((kind, body))
        if req.get_header("Expect-Instance") != self.life:
            raise falcon.HTTPStatus(421)
        return body

    def answer(self, resp, status, **fields):
        """Answer with the clock."""
        resp.status = status
        resp.data = msgspec.json.encode({"clock_ms": self.clock_ms(), **fields})

    def carry_out(self, faults, resp, function, body):
        """Carry out a call, as the next of `faults` says."""
        fault = faults.pop(0) if faults else None
        if isinstance(fault, int):
            raise falcon.HTTPStatus(fault)
        if fault == "dropped":
            gevent.sleep(30)
        if fault == "late":
            gevent.spawn_later(self.faults.late_seconds, function, body)
            gevent.sleep(30)
        status, fields = function(body)
        if fault == "lost":
            gevent.sleep(30)
        self.answer(resp, status, **fields)

    def is_fenced(self, body):
        """Whether an order is of an earlier leader; note a later one."""
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def on_post_run_start(self, req, resp):
        """Start a run."""
        body = self.begin(req, resp, "start")
        self.carry_out(self.faults.starts, resp, self.start_run, body)

    def start_run(self, body):
        """Start a run; return the status and the fields of the answer."""
        self.lapse()
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.run == run:
            return 200, {}
        if run <= self.barred_runs.get(task, 0) or present is not None:
            return 409, {"reason": "old"}
        if body["until_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self.until = max(self.until, body["until_ms"])
        if len(self.running) * 1000 >= self.capacity:
            return 409, {"reason": "room"}
        self.running[task] = Running(task, run, self.until)
        self.starts.append((task, run, body))
        if self.task_seconds is not None:
            gevent.spawn_later(self.task_seconds, self.finish, self.life, task, run)
        return 200, {}

    def finish(self, life, task, run, how="done"):
        """End a run by itself, if it still goes on."""
        present = self.running.get(task)
        if life == self.life and present is not None and present.run == run:
            self.end(task, how)

    def on_post_run_stop(self, req, resp):
        """Stop a run."""
        body = self.begin(req, resp, "stop")
        self.carry_out(self.faults.stops, resp, self.stop_run, body)

    def stop_run(self, body):
        """Stop a run; return the status and the fields of the answer."""
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        self.barred_runs[task] = max(self.barred_runs.get(task, 0), run)
        present = self.running.get(task)
        if present is not None and present.run <= run:
            self.end(task, "stopped")
        return 200, {}

    def on_post_pace(self, req, resp):
        """Take the pace of a run."""
        body = self.begin(req, resp, "pace")
        status, fields = (
            (409, {"reason": "fence"}) if self.is_fenced(body) else (200, {})
        )
        self.answer(resp, status, **fields)

    def on_post_hold(self, req, resp):
        """Renew the lease, and list what runs and what ended."""
        body = self.begin(req, resp, "look")
        self.carry_out(self.faults.looks, resp, self.look, body)

    def look(self, body):
        """Return the status and the lists of a look."""
        self.lapse()
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        self.until = max(self.until, body.get("until_ms", 0))
        seen = body.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("wait_ms"):
            self.news.wait(body["wait_ms"] / 1000)
        rows = [[one.task, one.run, one.saved, 100, 0] for one in self.running.values()]
        return 200, {"running": rows, "finished": self.ended[:500]}
