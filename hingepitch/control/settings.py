"""
hingepitch.control.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a control replica.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from typing import Annotated

from pydantic import Field

from hingepitch.setting import Address, DaemonSettings, Name, PeerSettings, Settings

__all__ = ["REPLACEMENT_SECONDS", "ControlSettings", "OperatorSettings"]

#: Default of the time from the start of a new replica by which it has to have replaced
#: a lost voter, in seconds.
REPLACEMENT_SECONDS = 4.0


class OperatorSettings(Settings):
    """An operator; the settings hold only the SHA-256 of the token."""

    name: Name
    partner: Name
    token_sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


class ControlSettings(DaemonSettings):
    """Settings of `hingepitch-control`.

    `rpc_address`
        Address at which this replica accepts calls of other processes.
    `data_folder`
        Folder of all persistent data.
    `peers`
        The initial members of the group, including this replica.
    `operators`
        The operators who may use the HTTP API.
    `lease_seconds`
        Duration of an entry's lease. Default: 3.
    `voters`
        Number of voters that the group maintains automatically: new replicas
        join as learners, and those that have caught up replace lost voters.
        0: only operators change the members. Default: 0.
    `halls_tolerated`
        Number of halls whose loss must leave a quorum. With 1 or more, the
        automatically maintained voters are spread so that the loss of any one hall
        does, if there are enough halls. Default: 0.
    `replacement_seconds`
        Time from the start of a new replica by which it should have replaced a lost
        voter, also if the leader is lost meanwhile. Default: 4.
    `audit_megabytes`
        Size of the audit trail beyond which its oldest part is removed.
        Default: 1000.
    `seed`
        Seed of the random election timeouts. Default: 0.
    """

    rpc_address: Address
    data_folder: str
    peers: Annotated[list[PeerSettings], Field(min_length=1)]
    operators: list[OperatorSettings] = []
    lease_seconds: Annotated[float, Field(ge=0.5, le=60)] = 3.0
    audit_megabytes: Annotated[int, Field(ge=1)] = 1000
    seed: int = 0
    voters: Annotated[int, Field(ge=0, le=9)] = 0
    halls_tolerated: Annotated[int, Field(ge=0)] = 0
    replacement_seconds: Annotated[float, Field(ge=0, allow_inf_nan=False)] = (
        REPLACEMENT_SECONDS
    )
