"""
hingepitch.jobs.agents
~~~~~~~~~~~~~~~~~~~~~~

The leader's agents, one for each minion, and what they send and know.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
