"""
case
~~~~

A machine of the core is lost for good and replaced by an empty one. Once the new one
has had its time to catch up, two others lose their disks right after a configuration
was acknowledged.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import os
import sys
import time
from pathlib import Path

from standins import BOUNDS, Record, System, TaskKind, config_body, wait_for

SERVICE = "counter-svc"
PREFIX = "/rapu30/"
JOB = "5c0e7a21d94b36f8"
MINIONS = 8

#: Pause until the empty machine starts; the bench's own is 1 s.
REPLACE_SECONDS = 1.0

#: Time beyond `catch_up_s` until the next loss.
MARGIN_SECONDS = 0.5

#: How long the two machines are down.
DOWN_SECONDS = 1.1

#: How long is waited beyond `recovery_s`.
PATIENCE_SECONDS = 10.0

STEP = {
    "count": 5,
    "cpu": 1300,
    "mem_mb": 3400,
    "estimate_ms": 700,
    "long_running": True,
}


def run(system, has_trouble):
    """Play the case; return the exit code."""
    system.add_minions(SERVICE, MINIONS, 4)
    if not system.start(config_body(3, [(PREFIX, SERVICE)], [SERVICE])):
        return 2
    if not system.submit(PREFIX, JOB, [STEP], TaskKind()):
        return 2
    if not wait_for(lambda: len(system.runs()) == STEP["count"], 10):
        return 2
    time.sleep(BOUNDS["catch_up_s"])
    lost, first, second, *_ = system.control_ips
    if has_trouble:
        system.kill(lost)
        time.sleep(REPLACE_SECONDS)
        system.start_process(system.add_control())
    time.sleep(BOUNDS["catch_up_s"] + MARGIN_SECONDS)
    config = config_body(4, [(PREFIX, SERVICE), ("/probe/", SERVICE)], [SERVICE])
    if not wait_for(lambda: system.put_config(config) == 200, 8):
        return 2
    if has_trouble:
        for ip in (first, second):
            system.kill(ip)
            system.lose_disk(ip)
        time.sleep(DOWN_SECONDS)
        for ip in (first, second):
            system.start_process(ip)
    return judge(system)


def judge(system):
    """Read back what was acknowledged, for longer than the recovery may take."""
    time.sleep(BOUNDS["recovery_s"])
    wait_for(lambda: system.read_config() >= 4, PATIENCE_SECONDS)
    newest = system.read_config()
    answers = [
        system.ask("GET", PREFIX + JOB, entry=entry)
        for entry in range(len(system.entry_ips))
    ]
    is_known = any(status == 200 for status, _ in answers)
    going = len(system.runs())
    system.record.note("result", config=newest, job_known=is_known, tasks=going)
    if system.check_processes():
        return 2
    return 0 if newest >= 4 and is_known else 1


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
