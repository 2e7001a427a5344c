"""
hingepitch.control
~~~~~~~~~~~~~~~~~~

The control replica: replicated log, data folder and APIs.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
