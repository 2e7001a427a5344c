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

__all__ = ["ControlSettings", "OperatorSettings"]


class OperatorSettings(Settings):
    """An operator: the token lies here only as its SHA-256."""

    name: Name
    partner: Name
    token_sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


class ControlSettings(DaemonSettings):
    """Settings of `hingepitch-control`.

    `rpc_address`
        Where this replica takes the calls of other processes.
    `data_folder`
        Folder for everything that must survive.
    `peers`
        The founding members, this one included.
    `operators`
        Who may read and change what.
    `lease_seconds`
        Lease of an entry. Default: 3.
    `voters`
        Voters that the group keeps up by itself: newcomers join, and those
        that have caught up replace the ones that are gone. 0: members change
        only by an operator's hand. Default: 0.
    `audit_megabytes`
        Size of the audit trail beyond which its oldest part is removed.
        Default: 1000.
    `seed`
        Seed of the election timeouts. Default: 0.
    """

    rpc_address: Address
    data_folder: str
    peers: Annotated[list[PeerSettings], Field(min_length=1)]
    operators: list[OperatorSettings] = []
    lease_seconds: Annotated[float, Field(ge=0.5, le=60)] = 3.0
    audit_megabytes: Annotated[int, Field(ge=1)] = 1000
    seed: int = 0
    voters: Annotated[int, Field(ge=0, le=9)] = 0
