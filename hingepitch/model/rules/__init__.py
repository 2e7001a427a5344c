"""
hingepitch.model.rules
~~~~~~~~~~~~~~~~~~~~~~

The rules of the state machine, grouped by subject. Importing this package
registers all of them.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from hingepitch.model.rules import claim, declaration, job, maintenance

__all__ = ["RULES"]

#: All modules with rules.
RULES = (claim, declaration, job, maintenance)
