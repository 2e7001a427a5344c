"""
hingepitch.jobs.agents.replytime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Adaptive reply timeout of one minion, estimated from its recent reply times.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["ReplyTime"]

#: Timeout before the first reply, and the maximum timeout, in seconds. Stops are
#: normally answered within 5 ms; where replies get lost, no end is seen for as
#: long as the leader waits for one.
MAX_TIMEOUT_SECONDS = 0.4

#: Minimum timeout, in seconds. A leader that plans a burst blocks its own event
#: loop for tens of milliseconds, in which it reads no reply.
MIN_TIMEOUT_SECONDS = 0.1

#: Weights of a new sample in the mean and in the deviation, and the number of
#: deviations beyond the mean in the timeout, from RFC 6298, section 2.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4


class ReplyTime:
    """Moving estimate of the time that replies of one minion take.

    Calls without a reply are not counted, as they give no sample of a reply time.
    """

    def __init__(self):
        self.mean = None
        self.deviation = 0.0

    def note(self, seconds):
        """Add a reply that took `seconds` to the estimate."""
        if self.mean is None:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        error = abs(seconds - self.mean)
        self.deviation += DEVIATION_GAIN * (error - self.deviation)
        self.mean += MEAN_GAIN * (seconds - self.mean)

    @property
    def timeout_seconds(self):
        """Timeout after which a reply is unlikely to arrive."""
        if self.mean is None:
            return MAX_TIMEOUT_SECONDS
        expected = self.mean + DEVIATIONS * self.deviation
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, expected))
