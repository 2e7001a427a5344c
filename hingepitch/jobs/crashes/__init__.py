"""
hingepitch.jobs.crashes
~~~~~~~~~~~~~~~~~~~~~~~

Tasks and minions in trouble: crashes, who is blamed, isolation, and health.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
