"""
hingepitch.model.validation
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validates the objects that operators submit, by kind, and turns them into
commands.

:copyright: Copyright 2026 by the hingepitch maintainers.
:license: BSD, see LICENSE for details.
"""

from typing import Annotated, ClassVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hingepitch.error import HingepitchError
from hingepitch.model import command as commands
from hingepitch.model.selector import parse_selector
from hingepitch.setting import Name, format_validation_errors

__all__ = ["FORM_BY_KIND", "parse_object"]

MAX_LABELS = 64


def check_selector(text):
    """Return `text` if it is a valid selector; raise ValueError otherwise."""
    try:
        parse_selector(text)
    except HingepitchError as error:
        raise ValueError(f"expected a selector: {error.detail}") from None
    return text


Selector = Annotated[str, AfterValidator(check_selector)]
LabelKey = Annotated[str, Field(pattern=r"^[A-Za-z0-9][\w./-]{0,62}$")]
LabelValue = Annotated[str, Field(pattern=r"^[A-Za-z0-9][\w.-]{0,62}$")]
Port = Annotated[int, Field(ge=1, le=65535)]
Count = Annotated[int, Field(ge=0, le=1_000_000)]


class Form(BaseModel):
    """Base class of the forms; it refuses unknown keys.

    `command`
        Class of the command that the form is turned into.
    """

    model_config = ConfigDict(extra="forbid")
    command: ClassVar = None

    def to_command(self):
        """Return the command with the fields of this form."""
        return self.command(**self.model_dump())


class VmForm(Form):
    """Form of a VM."""

    command: ClassVar = commands.PutVm
    name: Name
    pool: Name
    hall: Name
    rack: Name
    ip: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]{3,45}$")]
    labels: Annotated[dict[LabelKey, LabelValue], Field(max_length=MAX_LABELS)] = {}
    cores: Count = 0
    memory_gb: Count = 0
    accelerators: Count = 0


class PoolForm(Form):
    """Form of a pool."""

    command: ClassVar = commands.PutPool
    name: Name
    selector: Selector = ""
    gives: Selector = ""
    floor: Count = 0


class ServiceForm(Form):
    """Form of a service."""

    command: ClassVar = commands.PutService
    name: Name
    pool: Name
    port: Port
    selector: Selector = ""
    max_down: Count = 1
    repeatable: bool = True
    deadline_ms: Annotated[int, Field(ge=10, le=600_000)] = 2000
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 500
    max_body_bytes: Annotated[int, Field(ge=0, le=64_000_000)] = 1_000_000


class TeamForm(Form):
    """Form of a team."""

    command: ClassVar = commands.PutTeam
    name: Name
    quota_cores: Count
    quota_accelerators: Count = 0


class CampaignForm(Form):
    """Form of a maintenance campaign."""

    command: ClassVar = commands.PutCampaign
    name: Name
    selector: Selector = ""
    every_seconds: Annotated[int, Field(ge=0, le=400 * 86400)] = 0


class JobForm(Form):
    """Form of a job."""

    command: ClassVar = commands.SubmitJob
    name: Name
    team: Name
    pool: Name
    selector: Selector = ""
    cores: Annotated[int, Field(ge=1, le=100_000)] = 1
    memory_gb: Annotated[int, Field(ge=0, le=1_000_000)] = 1
    accelerators: Count = 0
    urgent: bool = False
    run_seconds: Annotated[int, Field(ge=1, le=30 * 86400)] = 1


FORM_BY_KIND = {
    "vm": VmForm,
    "pool": PoolForm,
    "service": ServiceForm,
    "team": TeamForm,
    "campaign": CampaignForm,
    "job": JobForm,
}


def parse_object(document):
    """Return the command for `document`, a mapping with a `kind`.

    Raises `HingepitchError` (`bad_object`), with one line for each invalid field.
    """
    if not isinstance(document, dict) or document.get("kind") not in FORM_BY_KIND:
        kinds = ", ".join(FORM_BY_KIND)
        raise HingepitchError("bad_object", f"kind: expected one of {kinds}")
    fields = {key: value for key, value in document.items() if key != "kind"}
    try:
        return FORM_BY_KIND[document["kind"]].model_validate(fields).to_command()
    except ValidationError as error:
        raise HingepitchError(
            "bad_object", "\n".join(format_validation_errors(error))
        ) from None
