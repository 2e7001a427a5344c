"""
hingepitch.model
~~~~~~~~~~~~~~~~

The replicated state machine: records, commands, rules, codec and input
validation.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
