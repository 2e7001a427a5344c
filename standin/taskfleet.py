"""
standin.taskfleet
~~~~~~~~~~~~~~~~~

Runs stub minions that send heartbeats to a system, all in one process.

Run as python -m standin.taskfleet FILE; FILE is JSON with the addresses of the
control replicas, the minions, the duration of tasks, the file in which to record
the start and end of every run, and the seed of restarts, or null for none.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import json
import random
import sys
import time

import gevent

from hingepitch.error import HingepitchError
from hingepitch.jsoncall import call_json
from standin.site import CRASHING_PREFIX, FAILING_PREFIX
from standin.taskminion import TaskMinion

__all__ = ["main"]

HEARTBEAT_SECONDS = 0.5

#: Delay from the start of a crashing task to the crash of its minion, and how long
#: the minion is then unavailable.
CRASH_DELAY_SECONDS = 0.01
DOWN_SECONDS = 1.5

#: Pause after a call that a control replica did not acknowledge, in seconds.
CALL_PAUSE_SECONDS = 0.05


class ReportingMinion(TaskMinion):
    """A minion that records its runs and sends heartbeats to the system."""

    def __init__(self, name, pool, fleet, task_seconds):
        super().__init__(task_seconds)
        self.name = name
        self.pool = pool
        self.fleet = fleet

    def start_run(self, body):
        """Start a run and record it if it is new; some tasks crash the minion."""
        before = len(self.starts)
        result = super().start_run(body)
        if len(self.starts) > before:
            self.fleet.note("start", self, body["task"], body["run"])
            if body["task"].startswith(CRASHING_PREFIX) and body["task"][-2:] == ".0":
                gevent.spawn_later(CRASH_DELAY_SECONDS, self.crash, DOWN_SECONDS)
        return result

    def execute_late(self, function, body, born):
        """Record that a call is carried out late, and do so."""
        self.fleet.note("late", self, body["task"], body["run"])
        super().execute_late(function, body, born)

    def crash(self, down_seconds, id=None):
        """Crash; record the runs, and the ends not yet acknowledged, that are lost."""
        if self.is_up:
            for task, one in self.running.items():
                self.fleet.note("crashed", self, task, one.run)
            for _, task, run, how, _ in self.ended:
                if how == "done":
                    self.fleet.note("forgotten", self, task, run)
            self.fleet.note("crash", self)
        super().crash(down_seconds, id)

    def finish(self, life, task, run, how="done"):
        """End a run as completed, or as failed if its job always fails."""
        if task.startswith(FAILING_PREFIX):
            how = "failed"
        super().finish(life, task, run, how)

    def end(self, task, how):
        """End a run and record it."""
        run = self.running[task].run
        super().end(task, how)
        self.fleet.note(how, self, task, run)

    def report(self):
        """Send heartbeats forever, to any control replica that accepts them."""
        while True:
            if self.is_up:
                self.send_heartbeat()
            gevent.sleep(HEARTBEAT_SECONDS)

    def send_heartbeat(self):
        """Send one heartbeat to the control replicas in turn; return whether acked.

        Records the acknowledgement of a heartbeat that says that the minion leaves.
        """
        born = self.born
        body = self.heartbeat(self.name, self.pool)
        is_acked = self.fleet.call("PUT", self.life, body)
        if is_acked and body["state"] == "draining" and self.born == born:
            self.fleet.note("leaving", self)
        return is_acked


class Fleet:
    """All minions of one description.

    `description`
        The decoded FILE, as `Site.make_fleet` writes it.
    """

    def __init__(self, description):
        self.controls = description["controls"]
        self.notes = open(description["notes"], "a", buffering=1)
        self.minions = [
            ReportingMinion(name, pool, self, description["task_seconds"])
            for name, pool in description["minions"].items()
        ]
        self.restarts = None
        if description["restart_seed"] is not None:
            self.restarts = Restarts(self, description["restart_seed"])

    def note(self, what, minion, task="", run=0):
        """Append an event to the notes file as a line of JSON."""
        row = [time.monotonic(), what, minion.name, task, run]
        self.notes.write(json.dumps(row) + "\n")

    def call(self, method, life, body=None):
        """Call the control replicas in turn about a minion; return whether acked."""
        for _ in self.controls:
            path = f"/-/instances/{life}"
            try:
                status, _ = call_json(self.controls[0], method, path, body, None, 1.0)
            except HingepitchError:
                status = 0  # Unreachable: try another replica.
            if status == 200:
                return True
            self.controls.append(self.controls.pop(0))
            gevent.sleep(CALL_PAUSE_SECONDS)
        return False

    def run(self):
        """Send heartbeats until killed."""
        greenlets = [gevent.spawn(one.report) for one in self.minions]
        if self.restarts is not None:
            greenlets.append(gevent.spawn(self.restarts.run))
        gevent.joinall(greenlets)


class Restarts:
    """Lets minions crash or leave, and start again, most of them under their ids.

    Some of their heartbeats and deletes arrive late, and some starts are carried out
    late. Ends after `SECONDS`, so that all jobs can end.

    `seed`
        Seed of what happens when.
    """

    SECONDS = 25.0
    MEAN_GAP_SECONDS = 1.0
    SAME_ID_RATE = 0.8
    DOWN_SECONDS = (0.1, 2.0)
    LEAVE_SECONDS = (0.5, 5.0)
    LATE_SECONDS = (0.5, 4.0)
    MAX_DRAIN_HEARTBEATS = 10

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)

    def run(self):
        """Begin events for `SECONDS`."""
        until = time.monotonic() + self.SECONDS
        events = (self.crash, self.crash, self.leave, self.delay_start)
        while time.monotonic() < until:
            gevent.sleep(self.random.expovariate(1 / self.MEAN_GAP_SECONDS))
            minion = self.random.choice(self.fleet.minions)
            if minion.is_up and not minion.is_draining:
                gevent.spawn(self.random.choice(events), minion)

    def crash(self, minion):
        """Let a minion crash and start again; a heartbeat of before may come late."""
        if self.random.random() < 0.5:
            late = minion.heartbeat(minion.name, minion.pool)
            self.call_late("PUT", minion.life, late)
        self.restart(minion)

    def leave(self, minion):
        """Let a minion drain, leave and start again; its delete may come late."""
        born = minion.born
        minion.is_draining = True
        for _ in range(self.MAX_DRAIN_HEARTBEATS):
            if minion.send_heartbeat():
                gevent.sleep(self.random.uniform(*self.LEAVE_SECONDS))
                break
        if minion.born == born:
            self.call_late("DELETE", minion.life)
            self.restart(minion)

    def delay_start(self, minion):
        """Let a minion leave its next start unanswered and carry it out late."""
        minion.faults.late_seconds = self.random.uniform(*self.LATE_SECONDS)
        minion.faults.starts.append("late")

    def restart(self, minion):
        """Let a minion crash and start again."""
        id = minion.life if self.random.random() < self.SAME_ID_RATE else None
        minion.crash(self.random.uniform(*self.DOWN_SECONDS), id)

    def call_late(self, method, life, body=None):
        """Call the system some seconds later, in half of the cases at once."""
        late = self.random.random() < 0.5
        seconds = self.random.uniform(*self.LATE_SECONDS) if late else 0
        gevent.spawn_later(seconds, self.fleet.call, method, life, body)


def main():
    """Run the minions that the JSON file named as argument describes."""
    with open(sys.argv[1], encoding="utf-8") as file:
        Fleet(json.load(file)).run()


if __name__ == "__main__":
    main()
