"""The description of a replica's storage faults on the command line."""

import pytest

from hingepitch.admin.program import describe_storage_fault

SOUND = {"storage_fault": "", "unread": "", "set_aside": ""}


@pytest.mark.parametrize(
    ("fields", "fault"),
    [
        ({}, ""),
        ({"storage_fault": "no space left"}, "no space left"),
        ({"unread": "entry 7: not a command"}, "cannot read entry 7: not a command"),
        (
            {"set_aside": "no entry 4", "storage_fault": "no space left"},
            "no space left; log set aside: no entry 4",
        ),
    ],
)
def test_each_storage_fault_is_described(fields, fault):
    assert describe_storage_fault({**SOUND, **fields}) == fault
