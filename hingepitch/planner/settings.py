"""
hingepitch.planner.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a planner.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from typing import Annotated

from pydantic import Field

from hingepitch.setting import Address, DaemonSettings

__all__ = ["PlannerSettings"]


class PlannerSettings(DaemonSettings):
    """Settings of `hingepitch-planner`.

    `control`
        `IP:port` of each control replica.
    `platform`
        `IP:port` of the platform's API.
    `lease_seconds`
        Duration of the planner lease, in seconds. Default: 5.
    `pass_seconds`
        Longest time between two passes, in seconds; a change starts a pass at
        once. Default: 1.
    `platform_seconds`
        Interval of polling the platform's lists, in seconds. Default: 2.
    `full_pass_seconds`
        Time between two passes over all pools, in seconds. Default: 60.
    `lost_after_seconds`
        Time after which a VM that the platform reports as unhealthy counts as
        lost, in seconds. Default: 2.
    """

    control: Annotated[list[Address], Field(min_length=1)]
    platform: Address
    lease_seconds: Annotated[int, Field(ge=1, le=600)] = 5
    pass_seconds: Annotated[float, Field(ge=0.01, le=60)] = 1.0
    platform_seconds: Annotated[float, Field(ge=0.01, le=600)] = 2.0
    full_pass_seconds: Annotated[float, Field(ge=0.1, le=3600)] = 60.0
    lost_after_seconds: Annotated[float, Field(ge=0, le=3600)] = 2.0
