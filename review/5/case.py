"""
review.5.case
~~~~~~~~~~~~~

A sound job is shown as failed because minions crashed under it, although none of its
runs has ended `failed`.
"""

import asyncio
import time
from pathlib import Path

from review.second.deployment import main

JOB = "4c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"

#: How long the task takes, and has worked when its minion crashes, in seconds.
TASK_SECONDS = 25
WORKED_SECONDS = 3.0

#: How often a minion crashes, and how long it is down, in seconds.
CRASHES = 5
DOWN_SECONDS = 4.5


async def strike(site):
    """Crash the minion on which the task is at work; let it come back later."""
    if not await site.wait(lambda: site.minion_of(TASK), 20, "the task runs"):
        return False
    minion = site.minion_of(TASK)
    await asyncio.sleep(WORKED_SECONDS)
    if site.minion_of(TASK) is not minion:
        return False
    await minion.crash()
    await asyncio.sleep(DOWN_SECONDS)
    await minion.come_back()
    return True


async def case(site):
    """Hand in a job, let minions crash, and look at the job's state."""
    await site.submit(JOB, {"ms": TASK_SECONDS * 1000}, 1)
    for _ in range(CRASHES if site.has_trouble else 0):
        await strike(site)
    until = time.monotonic() + TASK_SECONDS + 8
    while time.monotonic() < until:
        state = await site.state(JOB)
        if state in ("failed", "cancelled"):
            failed = len(site.ends(JOB, "failed"))
            return f"shown as {state} after {failed} ends `failed`, attempts is 3"
        if state == "succeeded":
            return None
        await asyncio.sleep(0.5)
    return None


if __name__ == "__main__":
    main(case, Path(__file__).parent)
