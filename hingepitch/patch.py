"""
hingepitch.patch
~~~~~~~~~~~~~~~~

Patches the standard library for gevent, before other imports.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from gevent import config, events, monkey

__all__ = ["patch_program", "unpatched_poll"]

#: Unpatched `select.poll`. The patched one switches to the hub until no other
#: greenlet is ready, even with a timeout of 0.
unpatched_poll = monkey.get_original("select", "poll")


def patch_program():
    """Select libev with epoll as event loop and patch the standard library."""
    config.loop = "libev-cext"
    config.libev_backend = "epoll"
    notify = events.notify_and_call_entry_points
    # gevent searches all installed packages for plug-ins at each step of the patch.
    # The programs have none, and the search slows their start.
    events.notify_and_call_entry_points = events.notify
    try:
        monkey.patch_all()
    finally:
        events.notify_and_call_entry_points = notify
