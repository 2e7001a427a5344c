"""
hingepitch.admin
~~~~~~~~~~~~~~~~

The operators' command line.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
