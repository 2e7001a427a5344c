"""
review.second.wire
~~~~~~~~~~~~~~~~~~

HTTP/1.1 for the stand-ins: a server, and a client for single calls.
"""

import asyncio
import json

__all__ = ["Server", "call"]


async def read_message(reader):
    """Return the first line, the headers and the body of the next message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class Server:
    """Answers calls with JSON bodies at one address.

    `answer`
        Coroutine function of method, path, headers and body, which returns status and
        body, or None to close the connection without an answer.
    """

    def __init__(self, address, answer):
        self.address = address
        self.answer = answer
        self.server = None
        self.writers = set()

    async def start(self):
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def stop(self):
        """Stop to listen, and reset the connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Answer the calls on one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                decoded = json.loads(body) if body else {}
                result = await self.answer(method, path, headers, decoded)
                if result is None:
                    return
                data = json.dumps(result[1]).encode()
                head = (
                    f"HTTP/1.1 {result[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, seconds=3.0):
    """Make one call; return status and body, or 0 and None without an answer."""
    try:
        return await asyncio.wait_for(
            exchange(address, method, path, body, headers or {}), seconds
        )
    except (TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return 0, None


async def exchange(address, method, path, body, headers):
    """Make one call on a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {headers.get('Host', address)}"]
        if data:
            lines.append("Content-Type: application/json")
        lines += [
            f"{name}: {value}" for name, value in headers.items() if name != "Host"
        ]
        lines += [f"Content-Length: {len(data)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        await writer.drain()
        first, _, answer = await read_message(reader)
        return int(first.split(" ")[1]), json.loads(answer) if answer else None
    finally:
        writer.close()
