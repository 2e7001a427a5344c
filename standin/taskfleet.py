"""
standin.taskfleet
~~~~~~~~~~~~~~~~~

Runs stub minions that send heartbeats to a system, all in one process.

Run as python -m standin.taskfleet FILE; FILE is JSON with the addresses of the
control replicas, the minions, the duration of tasks and the file in which to
record the start and end of every run.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.patch import patch_program

patch_program()

import json
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


class ReportingMinion(TaskMinion):
    """A minion that records its runs and sends heartbeats to the system."""

    def __init__(self, name, pool, fleet, task_seconds):
        super().__init__(task_seconds)
        self.name = name
        self.pool = pool
        self.fleet = fleet
        self.sequence = 0

    def start_run(self, body):
        """Start a run and record it if it is new; some tasks crash the minion."""
        before = len(self.starts)
        result = super().start_run(body)
        if len(self.starts) > before:
            self.fleet.note("start", self, body["task"], body["run"])
            if body["task"].startswith(CRASHING_PREFIX) and body["task"][-2:] == ".0":
                gevent.spawn_later(CRASH_DELAY_SECONDS, self.crash, DOWN_SECONDS)
        return result

    def crash(self, down_seconds):
        """Crash and record the runs that the crash ends."""
        for task, one in self.running.items():
            self.fleet.note("crashed", self, task, one.run)
        super().crash(down_seconds)

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
        controls = list(self.fleet.controls)
        while True:
            if not self.is_up:
                gevent.sleep(HEARTBEAT_SECONDS)
                continue
            self.sequence += 1
            body = {
                "service": self.pool,
                "address": self.address,
                "zone": "hall-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "capacity": {"cpu": self.capacity, "mem_mb": 32_768, "gpu": 0},
                "labels": ["a", "r1"],
                "machine": self.name,
                "clock_ms": self.clock_ms(),
                "seq": self.sequence,
            }
            path = f"/-/instances/{self.life}"
            try:
                status, _ = call_json(controls[0], "PUT", path, body, None, 1.0)
            except HingepitchError:
                status = 0  # Unreachable: try another replica.
            if status != 200:
                controls.append(controls.pop(0))
            gevent.sleep(HEARTBEAT_SECONDS if status == 200 else 0.05)


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

    def note(self, what, minion, task, run):
        """Append an event to the notes file as a line of JSON."""
        row = [time.monotonic(), what, minion.name, task, run]
        self.notes.write(json.dumps(row) + "\n")

    def run(self):
        """Send heartbeats until killed."""
        gevent.joinall([gevent.spawn(one.report) for one in self.minions])


def main():
    """Run the minions that the JSON file named as argument describes."""
    with open(sys.argv[1], encoding="utf-8") as file:
        Fleet(json.load(file)).run()


if __name__ == "__main__":
    main()
