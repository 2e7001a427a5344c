"""An entry listens for callers before it has loaded its parts.

After a loss of power all entries load at once; callers that were refused meanwhile ran
out of retries before the first entry listened.
"""

import socket

import falcon
import gevent.socket
import pytest

from adapter.early import SETTINGS_VARIABLE, listen_early
from hingepitch.httpd import HttpServer
from hingepitch.listener import LISTENER_BY_ADDRESS, open_listener, take_listener
from standin.cluster import free_ports

SECONDS = 5
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@pytest.fixture
def address():
    address = f"127.0.0.1:{free_ports(1)[0]}"
    yield address
    listener = LISTENER_BY_ADDRESS.pop(address, None)
    if listener is not None:
        listener.close()


@pytest.fixture
def settings(tmp_path, monkeypatch):
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), SECONDS)


# Guards against callers that are refused while an entry loads, and against a server
# that listens on a second socket, so that those who waited get no answer.
def test_a_caller_that_connected_early_is_answered(address, settings):
    settings.write_text(f"listen: {{front: '{address}'}}\n")
    listen_early(["entry"])
    with connect(address) as caller:
        caller.sendall(REQUEST)
        server = HttpServer(address, falcon.App())
        server.start()
        caller.setblocking(False)
        gevent.socket.wait_read(caller.fileno(), SECONDS)
        assert caller.recv(100).startswith(b"HTTP/1.1 404")
        server.stop()
    with pytest.raises(ConnectionRefusedError):
        connect(address)


# Guards against a replica whose address takes connections before it can answer: other
# processes would wait for it instead of asking the next replica.
def test_only_an_entry_listens_early(address, settings):
    settings.write_text(f"listen: {{front: '{address}'}}\n")
    for arguments in (["control"], [], ["entry", "--check"]):
        listen_early(arguments)
    assert take_listener(address) is None


# Guards against a program that ends with a traceback instead of the report on its
# settings, or instead of waiting for an address that is in use.
@pytest.mark.parametrize(
    "text",
    [
        *("", "listen", "listen: {}", "listen: {front: 7}", "listen: {front: x}", "{"),
        *(f"listen: {{front: '127.0.0.1:{port}'}}" for port in (70000, 0, -1)),
    ],
)
def test_settings_that_cannot_be_used_are_left_to_the_program(settings, text):
    settings.write_text(text)
    listen_early(["entry"])
    settings.unlink()
    listen_early(["entry"])
    assert not LISTENER_BY_ADDRESS


def test_an_address_in_use_is_left_to_the_program(address, settings):
    settings.write_text(f"listen: {{front: '{address}'}}\n")
    open_listener(address)
    first = LISTENER_BY_ADDRESS[address]
    listen_early(["entry"])
    assert LISTENER_BY_ADDRESS[address] is first
