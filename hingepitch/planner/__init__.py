"""
hingepitch.planner
~~~~~~~~~~~~~~~~~~

The planner: maintenance waves, pool moves and placement of jobs.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
