"""
standin.taskminion
~~~~~~~~~~~~~~~~~~

A stub of a minion of the users' platform, over HTTP: runs tasks under
leases, with fault injection.

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

__all__ = ["InjectedFaults", "TaskMinion"]

ID_NUMBERS = itertools.count(1)

#: Reading of the clock of an incarnation when it begins, in seconds.
FIRST_CLOCK_SECONDS = 5.0


@dataclass
class InjectedFaults:
    """The faults of the next calls; each call takes the first of its list.

    `starts`, `stops`, `looks`
        Faults of the calls that start a run, stop a run or poll the status.
        `late`: the call is executed after `late_seconds` and not answered.
        `lost`: it is executed, and the answer is lost. `dropped`: it is neither
        executed nor answered. A number: it is refused with this HTTP status.
        None: no fault.
    `late_seconds`
        Delay of a `late` call. Default: 0.3.
    """

    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    looks: list = field(default_factory=list)
    late_seconds: float = 0.3


@dataclass
class ActiveRun:
    """A run in progress.

    `lease_until`
        End of the minion's lease when the run started, in ms of its clock.
    `saved`
        Saved progress. Default: none.
    """

    task: str
    run: int
    lease_until: float
    saved: str = ""


class Dropped(Exception):
    """Signals that the connection ends without an answer; never raised."""


class TaskMinion:
    """One minion; `restart` gives it a new incarnation at the same address.

    `life`
        Id of the minion.
    `born`
        When the incarnation began, in ms since the epoch; tells the incarnations
        of one id apart.
    `task_seconds`
        How long each task runs; None: until it is stopped. Default: None.
    `capacity`
        Capacity in millicores; each run takes 1000, and a start beyond it is
        refused. Default: 16,000.
    `faults`
        The `InjectedFaults` of the next calls.
    `starts`
        Task, run and body of each call that started a run.
    `calls`
        Kind and body of each call, also refused ones.
    """

    def __init__(self, task_seconds=None, capacity=16_000):
        self.task_seconds = task_seconds
        self.capacity = capacity
        self.faults = InjectedFaults()
        self.starts = []
        self.calls = []
        self.begin_incarnation()
        self.listen(0)
        self.address = f"127.0.0.1:{self.server.server.server_port}"

    def listen(self, port):
        """Serve calls on a port; 0 chooses a free one."""
        api = falcon.App()
        for path in ("run-start", "run-stop", "hold", "pace"):
            suffix = path.replace("-", "_")
            api.add_route(f"/-/{path}", self, suffix=suffix)
        self.server = HttpServer("127.0.0.1:1", api)
        self.server.server.set_listener(("127.0.0.1", port))
        self.server.start()
        self.is_up = True

    def begin_incarnation(self, id=None):
        """Begin an incarnation with no runs, no fencing token and all counts anew.

        `id`
            The id that it keeps. Default: a new one.
        """
        self.life = id or f"i-{next(ID_NUMBERS)}"
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - FIRST_CLOCK_SECONDS
        self.sequence = 0
        self.is_draining = False
        self.fence = 0
        self.running = {}
        self.ended = []
        self.end_numbers = itertools.count(1)
        self.barred_run_by_task = {}
        self.lease_until = 0.0
        self.run_end_event = Event()

    def restart(self, id=None):
        """Crash and come back at once as a new incarnation; see `begin_incarnation`."""
        self.begin_incarnation(id)

    def crash(self, down_seconds, id=None):
        """Crash: close all connections; come back after `down_seconds`.

        The new incarnation listens on the same port; `id` as in
        `begin_incarnation`.
        """
        if not self.is_up:
            return
        self.is_up = False
        port = self.server.server.server_port
        self.begin_incarnation(id)
        # No grace period: a crash must leave the calls in progress unanswered.
        self.server.server.stop(timeout=0)
        gevent.spawn_later(down_seconds, self.listen, port)

    def close(self):
        """Stop the server."""
        self.server.stop()

    def clock_ms(self):
        """Return the clock of the incarnation in ms."""
        return int((time.monotonic() - self.clock_zero) * 1000)

    def heartbeat(self, vm, pool):
        """Return the body of the next heartbeat, as the platform's protocol has it."""
        self.sequence += 1
        return {
            "service": pool,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "capacity": {"cpu": self.capacity, "mem_mb": 32_768, "gpu": 0},
            "labels": ["a", "r1"],
            "machine": vm,
            "clock_ms": self.clock_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    def end(self, task, how):
        """End a run and add it to the list of ended runs."""
        run = self.running.pop(task)
        self.barred_run_by_task[task] = max(
            self.barred_run_by_task.get(task, 0), run.run
        )
        number = next(self.end_numbers)
        self.ended.append([number, task, run.run, how, run.saved])
        self.run_end_event.set()
        self.run_end_event = Event()

    def expire_runs(self):
        """End all runs if the minion's lease has expired."""
        if self.clock_ms() > self.lease_until:
            for task in list(self.running):
                self.end(task, "lapsed")

    def read_call(self, req, resp, kind):
        """Record a call and return its body.

        Raises status 421 if the call is meant for another incarnation.
        """
        body = msgspec.json.decode(req.bounded_stream.read())
        self.calls.append((kind, body))
        if req.get_header("Expect-Instance") != self.life:
            raise falcon.HTTPStatus(421)
        return body

    def answer(self, resp, status, **fields):
        """Answer with the fields and the minion's clock."""
        resp.status = status
        resp.data = msgspec.json.encode({"clock_ms": self.clock_ms(), **fields})

    def execute_with_fault(self, faults, resp, function, body):
        """Execute a call and answer it, subject to the next of `faults`."""
        fault = faults.pop(0) if faults else None
        if isinstance(fault, int):
            raise falcon.HTTPStatus(fault)
        if fault == "dropped":
            gevent.sleep(30)
        if fault == "late":
            seconds = self.faults.late_seconds
            gevent.spawn_later(seconds, self.execute_late, function, body, self.born)
            gevent.sleep(30)
        status, fields = function(body)
        if fault == "lost":
            gevent.sleep(30)
        self.answer(resp, status, **fields)

    def execute_late(self, function, body, born):
        """Execute a call that was left unanswered, unless a crash came before.

        The next incarnation holds nothing of what the one before was told.
        """
        if self.is_up and self.born == born:
            function(body)

    def is_fenced(self, body):
        """Whether a call has a stale fencing token; remember a newer token."""
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def on_post_run_start(self, req, resp):
        """Handle a call that starts a run."""
        body = self.read_call(req, resp, "start")
        self.execute_with_fault(self.faults.starts, resp, self.start_run, body)

    def start_run(self, body):
        """Start a run; return the HTTP status and the fields of the answer."""
        self.expire_runs()
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.run == run:
            return 200, {}
        if run <= self.barred_run_by_task.get(task, 0) or present is not None:
            return 409, {"reason": "old"}
        if body["until_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self.lease_until = max(self.lease_until, body["until_ms"])
        if len(self.running) * 1000 >= self.capacity:
            return 409, {"reason": "room"}
        self.running[task] = ActiveRun(task, run, self.lease_until)
        self.starts.append((task, run, body))
        if self.task_seconds is not None:
            gevent.spawn_later(self.task_seconds, self.finish, self.life, task, run)
        return 200, {}

    def finish(self, life, task, run, how="done"):
        """End a run with the result `how`, if it is still active.

        Does nothing after a crash or restart, when `life` is no longer current.
        """
        present = self.running.get(task)
        if life == self.life and present is not None and present.run == run:
            self.end(task, how)

    def on_post_run_stop(self, req, resp):
        """Handle a call that stops a run."""
        body = self.read_call(req, resp, "stop")
        self.execute_with_fault(self.faults.stops, resp, self.stop_run, body)

    def stop_run(self, body):
        """Stop a run; return the HTTP status and the fields of the answer."""
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        self.barred_run_by_task[task] = max(self.barred_run_by_task.get(task, 0), run)
        present = self.running.get(task)
        if present is not None and present.run <= run:
            self.end(task, "stopped")
        return 200, {}

    def on_post_pace(self, req, resp):
        """Handle a call that sets the pace of a run; only fencing is simulated."""
        body = self.read_call(req, resp, "pace")
        status, fields = (
            (409, {"reason": "fence"}) if self.is_fenced(body) else (200, {})
        )
        self.answer(resp, status, **fields)

    def on_post_hold(self, req, resp):
        """Handle a status poll, which also renews the lease."""
        body = self.read_call(req, resp, "look")
        self.execute_with_fault(self.faults.looks, resp, self.poll, body)

    def poll(self, body):
        """Renew the lease; return the HTTP status and the active and ended runs.

        With nothing to report, wait up to `wait_ms` for the end of a run.
        """
        self.expire_runs()
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        self.lease_until = max(self.lease_until, body.get("until_ms", 0))
        seen = body.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("wait_ms"):
            self.run_end_event.wait(body["wait_ms"] / 1000)
        rows = [[one.task, one.run, one.saved, 100, 0] for one in self.running.values()]
        lists = {"running": rows, "finished": self.ended[:500]}
        return 200, {"born": self.born, **lists}
