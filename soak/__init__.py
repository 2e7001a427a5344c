"""
soak
~~~~

Fault tests that last long: injects series of faults into real processes and
checks the promises made to callers, minions and operators.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""
