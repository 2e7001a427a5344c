"""
hingepitch.jobs.usage
~~~~~~~~~~~~~~~~~~~~~

The resources that runs use on a minion.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["ResourceUsage"]


@dataclass(slots=True)
class ResourceUsage:
    """The resources that the runs on a minion use."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, run, sign=1):
        """Add the resources of a run, or subtract them with `sign` -1."""
        self.cpu_millicores += sign * run.counted_millicores
        self.memory_mb += sign * run.memory_mb
        self.accelerators += sign * run.accelerators

    def fits(self, minion, step):
        """Whether `minion` has free capacity for one more task of `step`."""
        return (
            self.cpu_millicores + step.counted_millicores <= minion.cpu_millicores
            and self.memory_mb + step.memory_mb <= minion.memory_mb
            and self.accelerators + step.accelerators <= minion.accelerators
        )

    def exceeds(self, minion):
        """Whether the runs use more than the present capacity of `minion`."""
        return (
            self.cpu_millicores > minion.cpu_millicores
            or self.memory_mb > minion.memory_mb
            or self.accelerators > minion.accelerators
        )
