"""
standin.relay
~~~~~~~~~~~~~

A TCP relay that simulates network partitions.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import socket
import threading

CHUNK_BYTES = 65_536
ACCEPT_SECONDS = 0.2


class Relay:
    """Forwards connections to `target`, `IP:port`, unless it is cut.

    While it is cut, connections stay open and data is dropped. Healing closes
    them, so that no data from before the partition arrives after it.

    `address`
        `IP:port` on which the relay listens.
    `bytes_passed`
        Number of bytes forwarded, in both directions.
    """

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.open = threading.Event()
        self.open.set()
        self.closing = False
        self.socket_pairs = set()
        self.stalled = set()
        self.bytes_passed = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept connections until closed."""
        self.listener.settimeout(ACCEPT_SECONDS)
        while not self.closing:
            try:
                client_sock, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(
                target=self.connect, args=(client_sock,), daemon=True
            ).start()

    def connect(self, client_sock):
        """Connect to the target and start forwarding in both directions."""
        host, port = self.target.rsplit(":", 1)
        try:
            target_sock = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            client_sock.close()
            return
        for sock in (client_sock, target_sock):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket_pairs.add((client_sock, target_sock))
        for pair in ((client_sock, target_sock), (target_sock, client_sock)):
            threading.Thread(target=self.forward, args=pair, daemon=True).start()

    def forward(self, source, sink):
        """Forward bytes in one direction; drop them while cut or stalled."""
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.open.is_set() and source not in self.stalled:
                    sink.sendall(data)
                    self.bytes_passed += len(data)
        except OSError:
            pass
        for sock in (source, sink):
            self.close_socket(sock)

    def close_socket(self, sock):
        """Shut down and close a socket; it may be closed already."""
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def cut(self):
        """Drop all data; connections stay open."""
        self.open.clear()

    def stall_connections(self):
        """Drop the data of the open connections from now on; new ones work."""
        for pair in self.socket_pairs:
            self.stalled.update(pair)

    def heal(self):
        """End a cut: close the old connections and forward new ones."""
        socket_pairs, self.socket_pairs = self.socket_pairs, set()
        for client_sock, target_sock in socket_pairs:
            self.close_socket(client_sock)
            self.close_socket(target_sock)
        self.open.set()

    def close(self):
        """Close the listener and all connections."""
        self.closing = True
        self.listener.close()
        self.heal()
