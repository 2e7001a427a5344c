"""
hingepitch.patch
~~~~~~~~~~~~~~~~

Patches the standard library for gevent; called before other imports.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from gevent import config, monkey

__all__ = ["patch_program", "unpatched_poll"]

#: Makes a poll that asks the system itself. A patched one waits in the hub until
#: no other greenlet is ready, even for no time.
unpatched_poll = monkey.get_original("select", "poll")


def patch_program():
    """Choose libev with epoll and patch the standard library."""
    config.loop = "libev-cext"
    config.libev_backend = "epoll"
    monkey.patch_all()
