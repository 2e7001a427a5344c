"""
soak
~~~~

Faults in series on real processes, and what callers, minions and the
operator must still see.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
