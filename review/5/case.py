"""
review.5.case
~~~~~~~~~~~~~

Tasks that have ended `done` run once more after a kill of the core: their ends wait at
the minion behind the first 1,000, and the leader takes their runs for lost.
"""

import asyncio
import json
import signal
import time
from collections import Counter
from pathlib import Path

from review.second.deployment import CannotRun, main

#: The first job has longer tasks than the others, which come after it.
FIRST_JOB = "5000000000000000"
FIRST_TASKS = 60
FIRST_SECONDS = 8.4

#: The other jobs: when each comes after the first, and how many tasks each has. Their
#: tasks are the shorter, the later they come.
JOBS = 22
TASKS = 70
GAP_SECONDS = 0.25
END_SECONDS = 7.0
SHORTER_SECONDS = 0.2

#: What each task asks for.
MILLICORES = 8
MEGABYTES = 16

#: When the core is killed after the first job was handed in, and for how long it is
#: away, in seconds.
KILL_SECONDS = 6.8
DOWN_SECONDS = 0.9


async def submit(site, job, count, seconds):
    """Hand in one job of light tasks."""
    spec = {"ms": int(seconds * 1000), "cpu": MILLICORES}
    step = {"count": count, "cpu": MILLICORES, "mem_mb": MEGABYTES}
    step["estimate_ms"] = spec["ms"]
    body = {"spec": json.dumps(spec), "steps": [step]}
    status, _ = await site.client("POST", job, body, seconds=10)
    if not 200 <= status < 300:
        raise CannotRun(f"job {job} was not accepted: {status}")


async def kill_core(site):
    """Kill all processes of the core at the same moment; start them again."""
    site.note("kill", core="all")
    for ip in site.controls:
        site.process_by_ip[ip].send_signal(signal.SIGKILL)
    for ip in site.controls:
        site.process_by_ip[ip].wait()
    await asyncio.sleep(DOWN_SECONDS)
    for ip in site.controls:
        site.start_process(ip)
    site.note("started", core="all")


def find_doubled(events):
    """Return the runs that were started after an end `done` that was taken note of.

    Ends of which the minion's lease lapsed before they were taken note of don't count.
    """
    done = {}
    noted = set()
    started = []
    for _, what, task, run, minion in events:
        if what == "done" and task not in done:
            done[task] = (run, minion)
        elif what == "lease_lapsed":
            lapsed = {key for key, end in done.items() if end[1] == minion}
            for key in lapsed - noted:
                done[key] = None
        elif what == "noted" and done.get(task) == (run, minion):
            noted.add(task)
        elif what == "start" and done.get(task):
            started.append((task, run))
    return [one for one in started if one[0] in noted]


async def case(site):
    """Hand in the jobs, kill the core as their tasks end, and look for second runs."""
    began = time.monotonic()
    await submit(site, FIRST_JOB, FIRST_TASKS, FIRST_SECONDS)
    calls = []
    for number in range(1, JOBS + 1):
        await asyncio.sleep(max(0.0, began + number * GAP_SECONDS - time.monotonic()))
        seconds = END_SECONDS - number * SHORTER_SECONDS
        calls.append(
            asyncio.create_task(submit(site, f"5{number:015x}", TASKS, seconds))
        )
    await asyncio.gather(*calls)
    await asyncio.sleep(max(0.0, began + KILL_SECONDS - time.monotonic()))
    if site.has_trouble:
        await kill_core(site)
    tasks = FIRST_TASKS + JOBS * TASKS
    until = time.monotonic() + 45
    while time.monotonic() < until:
        states = Counter(event[1] for event in site.fleet.events)
        if states["noted"] >= tasks and time.monotonic() > began + 20:
            break
        await asyncio.sleep(0.5)
    doubled = find_doubled(site.fleet.events)
    counts = Counter(event[1] for event in site.fleet.events)
    site.note("end", tasks=tasks, doubled=len(doubled), **counts)
    for task, run in doubled:
        site.note("doubled", task=task, run=run)
    if doubled:
        return f"{len(doubled)} tasks were started after their end `done` was noted"
    return None


if __name__ == "__main__":
    main(case, Path(__file__).parent)
