"""
review.6.case
~~~~~~~~~~~~~

A job that its client cancelled, and that does not exist by the answer to that, starts
afterwards and runs for good: an entry that stood still passes on the old call.
"""

import asyncio
import json
import signal
import time
from pathlib import Path

from review.second.deployment import HOST, CannotRun, main
from review.second.wire import call

JOB = "6c0e7a21d94b36f8"

#: How long the entry stands still, and the client waits for its answer, in seconds.
FREEZE_SECONDS = 4.0
DEADLINE_SECONDS = 3.0

#: Longest time from the cancelling until nothing of the job may start, and then until
#: nothing of it may run; and the time for which a disruption counts as near.
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.4
CONTACT_SECONDS = 3.0

#: How long after all of these the tasks are looked for.
SPARE_SECONDS = 4.0


async def hand_in(site, entry):
    """Hand in a job whose tasks last, at one entry; return the status, or 0."""
    spec = {"lasts": True, "cpu": 1300}
    step = {"count": 5, "cpu": 1300, "mem_mb": 3400, "estimate_ms": 700}
    body = {"spec": json.dumps(spec), "steps": [{**step, "long_running": True}]}
    headers = {"Host": HOST, "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))}
    path = f"/q/{JOB}"
    status, _ = await call(entry, "POST", path, body, headers, DEADLINE_SECONDS)
    site.note("client", call="POST", job=JOB, entry=entry, status=status)
    return status


async def case(site):
    """Hand in a job, cancel it, and look for its tasks."""
    frozen = site.entries[0]
    thawed = time.monotonic()
    if site.has_trouble:
        process = site.process_by_ip[frozen]
        process.send_signal(signal.SIGSTOP)
        site.note("freeze", entry=frozen)
        asyncio.get_running_loop().call_later(
            FREEZE_SECONDS, process.send_signal, signal.SIGCONT
        )
        thawed += FREEZE_SECONDS
        await asyncio.sleep(0.2)
    await hand_in(site, f"{frozen}:{site.port}")
    site.entries = site.entries[1:]
    status, _ = await site.client("DELETE", JOB)
    cancelled = time.monotonic()
    if not (200 <= status < 300 or status == 410):
        raise CannotRun(f"the cancelling was answered with {status}")
    calm = max(cancelled, thawed + CONTACT_SECONDS)
    gone = calm + CANCEL_SECONDS + STOP_SECONDS + SPARE_SECONDS
    await asyncio.sleep(gone - time.monotonic())
    starts = [event[0] - cancelled for event in site.ends(JOB, "start")]
    running = sum(JOB in task for one in site.fleet.minions for task in one.runs)
    state = await site.state(JOB)
    site.note("end", starts_after=starts, running=running, state=state)
    if running:
        return (
            f"{running} tasks run {gone - cancelled:.0f} s after the cancelling was "
            f"answered with {status}; the job is shown as {state}"
        )
    return None


if __name__ == "__main__":
    main(case, Path(__file__).parent)
