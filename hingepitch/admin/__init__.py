"""
hingepitch.admin
~~~~~~~~~~~~~~~~

The admin part of hingepitch.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
