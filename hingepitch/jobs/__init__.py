"""
hingepitch.jobs
~~~~~~~~~~~~~~~

Jobs of several steps: their queues, their replicated state, where and
when their tasks run.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
