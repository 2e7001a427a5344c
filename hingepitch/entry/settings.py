"""
hingepitch.entry.settings
~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of an entry.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from typing import Annotated

from pydantic import Field

from hingepitch.setting import Address, DaemonSettings

__all__ = ["EntrySettings"]


class EntrySettings(DaemonSettings):
    """Settings of `hingepitch-entry`.

    `control`
        Addresses of the control replicas, `IP:port`.
    `connections`
        Limit of concurrent connections of callers. Default: 2000.
    `drain_seconds`
        How long a stopping entry serves requests after its health check
        starts to fail, so that load balancers can stop routing to it.
        Default: 2.
    `seed`
        Seed of the random choice of minions. Default: 0.
    """

    control: Annotated[list[Address], Field(min_length=1)]
    connections: Annotated[int, Field(ge=1, le=100_000)] = 2000
    drain_seconds: Annotated[float, Field(ge=0, le=120)] = 2.0
    seed: int = 0
