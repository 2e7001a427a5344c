"""
soak.client
~~~~~~~~~~~

Base of the clients of a soak: a thread that calls until it is stopped.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import threading
import traceback

from soak.link import Link

__all__ = ["Client"]


#: Pause after a call that was not served.
UNSERVED_SECONDS = 0.05


class Client:
    """Calls `step()` again and again in a thread of its own.

    `addresses`
        Of the processes it calls.
    `record`
        The `Record` of the run.
    `seconds`
        Longest wait for an answer.
    `pause_seconds`
        Between two steps.
    """

    def __init__(self, addresses, record, seconds, pause_seconds):
        self.link = Link(addresses, seconds)
        self.record = record
        self.pause_seconds = pause_seconds
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Begin to call."""
        self.thread.start()

    def run(self):
        """Call until stopped."""
        try:
            pause = self.pause_seconds
            while not self.stopping.wait(pause):
                is_served = self.step()
                pause = self.pause_seconds if is_served else UNSERVED_SECONDS
        except Exception:
            # A client that is gone checks nothing: the run must not pass.
            self.record.check("clients work", False, traceback.format_exc())

    def step(self):
        """Make one call, check what it tells; return whether it was served."""
        raise NotImplementedError

    def stop(self):
        """Stop calling, and close the connections."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join()
        self.link.close()
