"""
hingepitch.patch
~~~~~~~~~~~~~~~~

Patches the standard library for gevent; called before other imports.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from gevent import config, monkey

__all__ = ["patch_program"]


def patch_program():
    """Choose libev with epoll and patch the standard library."""
    config.loop = "libev-cext"
    config.libev_backend = "epoll"
    monkey.patch_all()
