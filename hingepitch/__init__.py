"""
hingepitch
~~~~~~~~~~

Fleet capacity and maintenance manager.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

__version__ = "0.1.0"
