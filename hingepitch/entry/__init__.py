"""
hingepitch.entry
~~~~~~~~~~~~~~~~

The entry: ingress proxy that forwards callers' requests to minions.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
