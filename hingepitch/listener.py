"""
hingepitch.listener
~~~~~~~~~~~~~~~~~~~

Listening sockets that a program opens before it has loaded its parts. Callers that
connect meanwhile wait for the server instead of being refused.

Imports nothing that takes long, and nothing of gevent, which is patched later.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import socket

__all__ = ["BACKLOG", "open_listener", "take_listener"]

#: Limit of connections that wait to be accepted.
BACKLOG = 1024

#: Sockets that no server has taken over yet, by `IP:port`.
LISTENER_BY_ADDRESS = {}


def open_listener(address):
    """Listen on `address`, an `IP:port`; raise OSError or ValueError if that fails."""
    host, _, text = address.rpartition(":")
    port = int(text)
    if not 0 < port < 65536:
        raise ValueError(f"invalid port: {port}")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except BaseException:
        listener.close()
        raise
    LISTENER_BY_ADDRESS[address] = listener


def take_listener(address):
    """Return the file descriptor of the socket on `address`, or None without one.

    The caller owns it from then on.
    """
    listener = LISTENER_BY_ADDRESS.pop(address, None)
    return listener.detach() if listener is not None else None
