"""
hingepitch.setting
~~~~~~~~~~~~~~~~~~

Loading and validation of settings files.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

import hashlib
import ipaddress
from typing import Annotated

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hingepitch.error import HingepitchError

__all__ = [
    "Address",
    "DaemonSettings",
    "FILE_ERRORS",
    "PeerSettings",
    "Settings",
    "check_address",
    "hash_token",
    "load_settings",
    "parse_address",
    "format_validation_errors",
]

#: Errors raised for a YAML file that cannot be read or parsed. PyYAML raises
#: ValueError and AttributeError for malformed dates and numbers.
FILE_ERRORS = (OSError, yaml.YAMLError, ValueError, AttributeError, RecursionError)

MIN_SHARED_KEY_CHARS = 16


def parse_address(text):
    """Return `(ip, port)` of the text `IP:port`; raise ValueError if malformed."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError("expected IP:port") from None
    if not 0 < number < 65536:
        raise ValueError("expected IP:port")
    return host.strip("[]"), number


def check_address(text):
    """Return `text` if it has the form `IP:port`; raise ValueError otherwise."""
    parse_address(text)
    return text


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class Settings(BaseModel):
    """Base of every settings model; refuses unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PeerSettings(Settings):
    """Another process of the control group."""

    name: Name
    address: Address
    hall: Name


class DaemonSettings(Settings):
    """Settings that every daemon has.

    `name`
        Name of this process, unique in the system.
    `hall`
        Hall of this process.
    `http_address`
        `IP:port` on which this process serves HTTP.
    `shared_key`
        Secret with which the processes authenticate each other.
    `log_level`
        Lowest level that is logged. Default: INFO.
    """

    name: Name
    hall: Name
    http_address: Address
    shared_key: Annotated[str, Field(min_length=MIN_SHARED_KEY_CHARS)]
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def hash_token(token):
    """Return the SHA-256 digest of an operator's token, as settings hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


def format_path(location):
    """Return the path of a validation error, like `control.peers[1].address`."""
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "(file)"


def format_validation_errors(error):
    """Yield one line for each error in a pydantic ValidationError."""
    for fault in error.errors():
        message = fault["msg"].removeprefix("Value error, ")
        yield f"{format_path(fault['loc'])}: {message}"


def load_settings(model, path):
    """Return the settings in the YAML file `path` as an instance of `model`.

    Raises `HingepitchError` (`bad_settings`) with one line for each error.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except FILE_ERRORS as error:
        raise HingepitchError("bad_settings", f"{path}: {error}") from None
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise HingepitchError(
            "bad_settings", "\n".join(format_validation_errors(error))
        ) from None
