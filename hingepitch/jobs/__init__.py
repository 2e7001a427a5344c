"""
hingepitch.jobs
~~~~~~~~~~~~~~~

Scheduling of multi-step jobs: their queues and replicated state, and the placement
and dispatch of their tasks on minions.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
