"""
case
~~~~

A rack falls silent just before some jobs come that must run there.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
import sys
import time
from pathlib import Path

from standins import BOUNDS, Record, System, TaskKind, config_body

SERVICE = "counter-svc"
PREFIX = "/rapu30/"
MINIONS = 8
PER_RACK = 4
RACK = "r-0"
JOBS = ("5c0e7a21d94b36f8", "6d1f8b32ea5c4709", "7e209c43fb6d581a")

#: How long the rack is silent, as in the site's own day `trouble-2`.
DARK_SECONDS = 7.0

STEP = {
    "count": 1,
    "cpu": 900,
    "mem_mb": 1300,
    "estimate_ms": 900,
    "requirements": RACK,
}


def run(system, has_trouble):
    """Play the case; return the exit code."""
    system.add_minions(SERVICE, MINIONS, PER_RACK)
    victims = [one for one in system.minions if one.rack == RACK]
    config = config_body(3, [(PREFIX, SERVICE)], [SERVICE])
    if not system.start(config):
        return 2
    time.sleep(2)
    if has_trouble:
        for victim in victims:
            victim.fall_silent()
    dark_at = time.monotonic()
    accepted_at = {}
    for job in JOBS:
        if not system.submit(PREFIX, job, [STEP], TaskKind(seconds=1.0)):
            return 2
        accepted_at[job] = time.monotonic()
    broken = []
    limit = BOUNDS["visible_ms"] / 1000 + 2
    is_dark = has_trouble
    deadline = dark_at + 16
    while time.monotonic() < deadline:
        if is_dark and time.monotonic() - dark_at > DARK_SECONDS:
            for victim in victims:
                victim.wake()
            is_dark = False
        judge(system, accepted_at, limit, broken)
        time.sleep(0.2)
    system.record.note("result", broken=len(broken))
    if system.check_processes():
        return 2
    return 1 if broken else 0


def judge(system, accepted_at, limit, broken):
    """Ask every entry for `pending` and compare it with what has not begun."""
    for entry in range(len(system.entry_ips)):
        sent = time.monotonic()
        waiting = [
            job
            for job, at in accepted_at.items()
            if sent - at > limit and job not in system.begun
        ]
        status, body = system.ask("GET", PREFIX, entry=entry)
        still = [job for job in waiting if job not in system.begun]
        if status == 200 and 2 * body["pending"] < len(still):
            text = f"{body['pending']} of {len(still)} are said to be pending"
            broken.append(text)
            system.record.note("MIXED", entry=entry, broken=text, jobs=still)


def main():
    """Run the case and exit with its code."""
    record = Record(Path(__file__).with_name("record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    system = System(record)
    try:
        code = run(system, has_trouble)
    finally:
        system.close()
    record.note("exit", code=code, trouble=int(has_trouble))
    sys.exit(code)


if __name__ == "__main__":
    main()
