"""
hingepitch.load
~~~~~~~~~~~~~~~

The load generator.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
