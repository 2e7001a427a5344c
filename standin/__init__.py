"""
standin
~~~~~~~

Stand-ins for what lies outside: platform, minions; and a local
cluster.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
