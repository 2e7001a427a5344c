"""
hingepitch.jobs.halls
~~~~~~~~~~~~~~~~~~~~~

Cordons of halls, the emptying of a hall, and what operators see of each.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
