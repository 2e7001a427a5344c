"""
hingepitch.load
~~~~~~~~~~~~~~~

The load generator, which sends requests to entries and measures latencies.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
