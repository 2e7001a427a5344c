"""
hingepitch.jobs.answer
~~~~~~~~~~~~~~~~~~~~~~

How long a minion's answers take, and so how long one is waited for.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__all__ = ["AnswerTime"]

#: Wait for an answer before any was seen, and the longest wait, in seconds.
#: Source: stops were answered within 5 ms on the day looked at; where answers
#: get lost, each second of waiting for one is a second in which no end is seen.
MOST_SECONDS = 0.4

#: Shortest wait, in seconds. Source: a leader that plans a burst holds its own
#: loop for tens of milliseconds, in which it reads no answer.
LEAST_SECONDS = 0.1

#: Weight of a new answer in the mean and in the deviation, and the deviations
#: beyond the mean that are waited for. Source: RFC 6298, section 2.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4


class AnswerTime:
    """The time that the answers of one minion take, as seen lately.

    Calls that got no answer are not counted: they say nothing about how long
    an answer takes.
    """

    def __init__(self):
        self.mean = None
        self.deviation = 0.0

    def note(self, seconds):
        """Take an answer into account that came after `seconds`."""
        if self.mean is None:
            self.mean = seconds
            self.deviation = seconds / 2
            return
        off = abs(seconds - self.mean)
        self.deviation += DEVIATION_GAIN * (off - self.deviation)
        self.mean += MEAN_GAIN * (seconds - self.mean)

    @property
    def limit_seconds(self):
        """Return after which time an answer is hardly to be expected."""
        if self.mean is None:
            return MOST_SECONDS
        expected = self.mean + DEVIATIONS * self.deviation
        return min(MOST_SECONDS, max(LEAST_SECONDS, expected))
