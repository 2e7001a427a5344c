"""
hingepitch.load
~~~~~~~~~~~~~~~

The load part of hingepitch.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
