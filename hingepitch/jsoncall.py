"""
hingepitch.jsoncall
~~~~~~~~~~~~~~~~~~~

JSON request over HTTP, for API clients.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import json

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from hingepitch.error import HingepitchError
from hingepitch.setting import parse_address

__all__ = ["call_json"]

CONNECT_SECONDS = 2.0


def call_json(address, method, path, body=None, headers=None, timeout_seconds=30.0):
    """Send one request; return its status and its decoded JSON answer.

    Raises `HingepitchError` (`peer_failed`) if there is no complete, valid
    answer.
    """
    host, port = parse_address(address)
    data = b"" if body is None else json.dumps(body).encode()
    client = HTTPClient(
        host,
        port,
        connection_timeout=CONNECT_SECONDS,
        network_timeout=timeout_seconds,
    )
    try:
        response = client.request(
            method,
            path,
            body=data,
            headers={"Content-Type": "application/json", **(headers or {})},
        )
        return response.status_code, json.loads(response.read())
    except (OSError, ValueError, RecursionError, HTTPParseError) as error:
        raise HingepitchError("peer_failed", f"{address}: {error!r}") from None
    finally:
        client.close()
